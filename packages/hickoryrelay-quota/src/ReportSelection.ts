import type { AccountUse, AccountUseReport } from './AccountUse.js';

/**
 * Accounts that are in each message, and places in it at which all other accounts take turns. A
 * message to each instance every 100 ms may use part of 9 KB/s.
 */
const FIRST_ACCOUNTS = 16;
const ROTATING_ACCOUNTS = 16;

/** Selects the accounts of each message so that its size is bounded. */
export class ReportSelection {
  private position = 0;

  /** Returns as many accounts as a message takes. Those with the highest pressure are preferred. */
  select(
    accounts: readonly AccountUse[],
    pressureOf: (use: AccountUse) => number,
  ): Pick<AccountUseReport, 'isComplete' | 'accounts'> {
    if (accounts.length <= FIRST_ACCOUNTS + ROTATING_ACCOUNTS) {
      return { isComplete: true, accounts };
    }
    const ordered = accounts
      .map((use) => ({ use, pressure: pressureOf(use) }))
      .toSorted((left, right) => right.pressure - left.pressure)
      .map(({ use }) => use);
    const first = ordered.slice(0, FIRST_ACCOUNTS);
    const preferred = new Set(first);
    // In the order of the sums, so that changes of pressure do not move an account past its turn.
    const others = accounts.filter((use) => !preferred.has(use));
    const start = this.position % others.length;
    this.position = start + ROTATING_ACCOUNTS;
    const turn = [...others.slice(start), ...others.slice(0, start)].slice(0, ROTATING_ACCOUNTS);
    return { isComplete: false, accounts: [...first, ...turn] };
  }
}
