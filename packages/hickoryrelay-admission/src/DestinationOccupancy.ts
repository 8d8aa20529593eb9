/** Peaks cover the current and the previous interval, and so the last 5 to 10 s. */
const INTERVAL_MILLISECONDS = 5000;

/** Calls of one account, and the recent peak of all other accounts' calls. */
class AccountOccupancy {
  /** Queued and running calls of the account. */
  currentCalls = 0;

  /** Last interval in which the account had calls. */
  lastActiveInterval = 0;

  private peakOfOthers = 0;

  private previousPeakOfOthers = 0;

  /** Peak of the others' concurrent calls in the current and previous interval. */
  get recentPeakOfOthers(): number {
    return Math.max(this.previousPeakOfOthers, this.peakOfOthers);
  }

  /** @param total queued and running calls of all accounts. */
  observe(total: number): void {
    const others = total - this.currentCalls;
    if (others > this.peakOfOthers) {
      this.peakOfOthers = others;
    }
  }

  /** No call began or ended in a skipped interval, so the current number of calls is its peak. */
  startInterval(total: number, isNextInterval: boolean): void {
    const others = total - this.currentCalls;
    this.previousPeakOfOthers = isNextInterval ? this.peakOfOthers : others;
    this.peakOfOthers = others;
  }

  clone(): AccountOccupancy {
    return Object.assign(new AccountOccupancy(), this);
  }
}

/**
 * Concurrent calls of each account to one destination, queued or running, and their recent peaks.
 */
export class DestinationOccupancy {
  private readonly records = new Map<string, AccountOccupancy>();

  /**
   * The values of `records`. Iterating an array takes a fraction of the time of iterating a map.
   */
  private list: AccountOccupancy[] = [];

  /** Shared by all accounts without calls in the last two intervals, whose peak covers all calls. */
  private readonly unknown = new AccountOccupancy();

  private total = 0;

  private interval = 0;

  begin(account: string, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    let occupancy = this.records.get(account);
    if (occupancy === undefined) {
      occupancy = this.unknown.clone();
      this.records.set(account, occupancy);
      this.list.push(occupancy);
    }
    occupancy.currentCalls += 1;
    occupancy.lastActiveInterval = this.interval;
    this.total += 1;
    this.unknown.observe(this.total);
    for (const record of this.list) {
      record.observe(this.total);
    }
  }

  end(account: string, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    const occupancy = this.records.get(account);
    if (occupancy !== undefined) {
      occupancy.currentCalls -= 1;
      this.total -= 1;
    }
  }

  /** Recent peak of the concurrent calls of all other accounts, as of the last refresh. */
  peakOfOthers(account: string): number {
    return (this.records.get(account) ?? this.unknown).recentPeakOfOthers;
  }

  /** Advances to the interval that contains the given time. */
  refresh(nowMilliseconds: number): void {
    const interval = Math.floor(nowMilliseconds / INTERVAL_MILLISECONDS);
    if (interval === this.interval) {
      return;
    }
    const isNextInterval = interval === this.interval + 1;
    this.interval = interval;
    this.unknown.startInterval(this.total, isNextInterval);
    for (const [account, record] of this.records) {
      record.startInterval(this.total, isNextInterval);
      if (record.currentCalls > 0) {
        record.lastActiveInterval = interval;
      } else if (record.lastActiveInterval < interval - 1) {
        this.records.delete(account);
      }
    }
    this.list = [...this.records.values()];
  }
}
