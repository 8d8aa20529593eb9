import { addUses, noUseOf } from './AccountUse.js';
import { REPORT_LIFETIME_MILLISECONDS, SILENCE_MILLISECONDS } from './ReportLifetimeConstants.js';

import type { AccountUse, AccountUseReport } from './AccountUse.js';

/** Time for which the figures of an account hold that incomplete reports leave out. */
const LEFT_OUT_LIFETIME_MILLISECONDS = 8000;

interface ReceivedUse {
  readonly use: AccountUse;
  readonly atMilliseconds: number;
}

interface ReceivedReport {
  readonly instances: number;
  readonly sentMilliseconds: number;
  readonly atMilliseconds: number;
  readonly accounts: Map<number, ReceivedUse>;
}

/** Sums the latest reports of several senders. A report that is received twice counts once. */
export class AccountUseSums {
  private readonly reports = new Map<string, ReceivedReport>();

  /**
   * Replaces the report of a sender, unless it was sent before the last one. Figures that are not
   * plausible leave the previous ones.
   */
  receive(
    sender: string,
    { instances, sentMilliseconds, isComplete, accounts }: AccountUseReport,
    isPlausible: (use: AccountUse) => boolean,
    now: number,
  ): void {
    const lastReport = this.reports.get(sender);
    if (
      lastReport !== undefined &&
      sentMilliseconds < lastReport.sentMilliseconds &&
      now - lastReport.atMilliseconds <= REPORT_LIFETIME_MILLISECONDS
    ) {
      return;
    }
    const previous = lastReport?.accounts ?? new Map<number, ReceivedUse>();
    const received = new Map<number, ReceivedUse>();
    if (!isComplete) {
      for (const [account, last] of previous) {
        if (now - last.atMilliseconds <= LEFT_OUT_LIFETIME_MILLISECONDS) {
          received.set(account, last);
        }
      }
    }
    for (const use of accounts) {
      const last = previous.get(use.account);
      if (isPlausible(use)) {
        received.set(use.account, { use, atMilliseconds: now });
      } else if (last !== undefined) {
        received.set(use.account, last);
      }
    }
    this.reports.set(sender, {
      instances,
      sentMilliseconds,
      atMilliseconds: now,
      accounts: received,
    });
  }

  /** Discards the reports of all senders. */
  clear(): void {
    this.reports.clear();
  }

  /**
   * The sums of the reports that have not expired, with the number of instances that are not silent.
   * Silent instances have no part in the agreed use.
   */
  sumAt(now: number): { instances: number; accounts: Map<number, AccountUse> } {
    const sums = new Map<number, AccountUse>();
    let total = 0;
    for (const [sender, { instances, atMilliseconds, accounts }] of this.reports) {
      const age = now - atMilliseconds;
      if (age > REPORT_LIFETIME_MILLISECONDS) {
        this.reports.delete(sender);
      } else {
        const isSilent = age > SILENCE_MILLISECONDS;
        total += isSilent ? 0 : instances;
        for (const { use } of accounts.values()) {
          const sum = sums.get(use.account) ?? noUseOf(use.account);
          sums.set(use.account, addUses(sum, isSilent ? { ...use, agreedUse: 0 } : use));
        }
      }
    }
    return { instances: total, accounts: sums };
  }
}
