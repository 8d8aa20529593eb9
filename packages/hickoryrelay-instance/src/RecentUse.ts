const TIME_CONSTANT_MILLISECONDS = 10_000;

/** An account without use for this long leaves its part of the room to the others. */
const ACTIVE_MILLISECONDS = 10_000;

/** Totals over all accounts are kept for this long, since they go through every account. */
const TOTALS_MILLISECONDS = 100;

interface AccountRecord {
  cost: number;
  atMilliseconds: number;
}

function decayed(record: AccountRecord, nowMilliseconds: number): number {
  const elapsed = nowMilliseconds - record.atMilliseconds;
  return record.cost * Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
}

/** What the accounts used lately, here and at other instances, with more weight on newer use. */
export class RecentUse {
  private readonly records = new Map<string, AccountRecord>();

  private totalsMilliseconds = Number.NEGATIVE_INFINITY;

  private equalPart = 0;

  record(account: string, cost: number, nowMilliseconds: number): void {
    const known = this.records.get(account);
    const before = known === undefined ? 0 : decayed(known, nowMilliseconds);
    this.records.set(account, {
      cost: Math.max(0, before + cost),
      atMilliseconds: nowMilliseconds,
    });
  }

  /** 0 up to an equal part of the use of all active accounts, 1 from twice that part on. */
  excess(account: string, nowMilliseconds: number): number {
    const record = this.records.get(account);
    if (record === undefined) {
      return 0;
    }
    this.refreshTotals(nowMilliseconds);
    if (this.records.size < 2 || this.equalPart === 0) {
      return 0;
    }
    return Math.min(1, Math.max(0, decayed(record, nowMilliseconds) / this.equalPart - 1));
  }

  private refreshTotals(nowMilliseconds: number): void {
    if (nowMilliseconds - this.totalsMilliseconds < TOTALS_MILLISECONDS) {
      return;
    }
    this.totalsMilliseconds = nowMilliseconds;
    let total = 0;
    for (const [account, record] of this.records) {
      if (nowMilliseconds - record.atMilliseconds > ACTIVE_MILLISECONDS) {
        this.records.delete(account);
      } else {
        total += decayed(record, nowMilliseconds);
      }
    }
    this.equalPart = this.records.size === 0 ? 0 : total / this.records.size;
  }
}
