import { addUses } from './AccountUse.js';

import type { AccountUse, AccountUseReport } from './AccountUse.js';

/** Time after which a report is discarded. Tolerates the loss of several messages. */
const REPORT_LIFETIME_MILLISECONDS = 1000;

/** Time for which the figures of an account hold that incomplete reports leave out. */
const LEFT_OUT_LIFETIME_MILLISECONDS = 8000;

interface ReceivedUse {
  readonly use: AccountUse;
  readonly atMilliseconds: number;
}

interface ReceivedReport {
  readonly instances: number;
  readonly atMilliseconds: number;
  readonly accounts: Map<number, ReceivedUse>;
}

/** Sums the latest reports of several senders. A report that is received twice counts once. */
export class AccountUseSums {
  private readonly reports = new Map<string, ReceivedReport>();

  /** Replaces the report of a sender. Figures that are not plausible leave the previous ones. */
  receive(
    sender: string,
    { instances, isComplete, accounts }: AccountUseReport,
    isPlausible: (use: AccountUse) => boolean,
    now: number,
  ): void {
    const previous = this.reports.get(sender)?.accounts ?? new Map<number, ReceivedUse>();
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
    this.reports.set(sender, { instances, atMilliseconds: now, accounts: received });
  }

  /** Discards the reports of all senders. */
  clear(): void {
    this.reports.clear();
  }

  /** The sums of the reports that have not expired, with the number of their instances. */
  sumAt(now: number): { instances: number; accounts: Map<number, AccountUse> } {
    const sums = new Map<number, AccountUse>();
    let total = 0;
    for (const [sender, { instances, atMilliseconds, accounts }] of this.reports) {
      if (now - atMilliseconds > REPORT_LIFETIME_MILLISECONDS) {
        this.reports.delete(sender);
      } else {
        total += instances;
        for (const { use } of accounts.values()) {
          const sum = sums.get(use.account);
          sums.set(use.account, sum === undefined ? use : addUses(sum, use));
        }
      }
    }
    return { instances: total, accounts: sums };
  }
}
