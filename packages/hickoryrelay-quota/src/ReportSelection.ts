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

  /** Returns as many accounts as a message takes. The first accounts in the given order are preferred. */
  select(accounts: readonly AccountUse[]): Pick<AccountUseReport, 'isComplete' | 'accounts'> {
    if (accounts.length <= FIRST_ACCOUNTS + ROTATING_ACCOUNTS) {
      return { isComplete: true, accounts };
    }
    const others = accounts.slice(FIRST_ACCOUNTS);
    const start = this.position % others.length;
    this.position = start + ROTATING_ACCOUNTS;
    const turn = [...others.slice(start), ...others.slice(0, start)].slice(0, ROTATING_ACCOUNTS);
    return {
      isComplete: false,
      accounts: [...accounts.slice(0, FIRST_ACCOUNTS), ...turn],
    };
  }
}
