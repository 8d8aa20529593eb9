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
  /** The instance that sent the report. */
  readonly sender: string;
  readonly instances: number;
  readonly sentMilliseconds: number;
  readonly atMilliseconds: number;
  readonly accounts: Map<number, ReceivedUse>;
}

/** The use of several instances. */
export interface UseSums {
  /** Number of instances that are not silent. */
  readonly instances: number;
  readonly accounts: ReadonlyMap<number, AccountUse>;
}

/** The source of a report. */
export interface ReportSource {
  /** What the report covers, such as an instance or a zone. A later report replaces it. */
  readonly scope: string;
  /** The instance that sent it, by whose clock its reports are ordered. */
  readonly sender: string;
}

/** Sums the latest reports of several scopes. A report that is received twice counts once. */
export class AccountUseSums {
  private readonly reports = new Map<string, ReceivedReport>();

  /**
   * Replaces the report on a scope, unless its sender sent it before the last one. Figures that are
   * not plausible leave the previous ones.
   */
  receive(
    { scope, sender }: ReportSource,
    { instances, sentMilliseconds, isComplete, accounts }: AccountUseReport,
    isPlausible: (use: AccountUse) => boolean,
    now: number,
  ): void {
    const lastReport = this.reports.get(scope);
    if (
      sender === lastReport?.sender &&
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
    this.reports.set(scope, {
      sender,
      instances,
      sentMilliseconds,
      atMilliseconds: now,
      accounts: received,
    });
  }

  /** Discards the reports on all scopes. */
  clear(): void {
    this.reports.clear();
  }

  /**
   * The sums of the reports that have not expired, with the number of instances that are not silent.
   * Silent instances have no part in the agreed use.
   */
  sumAt(now: number): UseSums {
    const sums = new Map<number, AccountUse>();
    let total = 0;
    for (const [scope, { instances, atMilliseconds, accounts }] of this.reports) {
      const age = now - atMilliseconds;
      if (age > REPORT_LIFETIME_MILLISECONDS) {
        this.reports.delete(scope);
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
