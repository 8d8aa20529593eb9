/** Peaks are those of the present slot of time and the one before, so of the last 5 to 10 s. */
const SLOT_MILLISECONDS = 5000;

interface AccountOccupancy {
  /** Calls of the account that run. */
  running: number;
  /** Last slot in which calls of the account ran. */
  usedSlot: number;
  /** Most calls that the other accounts had at once in the present slot. */
  peakOfOthers: number;
  /** The same in the slot before. */
  earlierPeakOfOthers: number;
}

/** How many calls of one lane the accounts run at once, now and lately. */
export class LaneOccupancy {
  private readonly records = new Map<string, AccountOccupancy>();

  /** Stands for every account without calls in the last two slots: all calls are those of others. */
  private readonly unknown: AccountOccupancy = {
    running: 0,
    usedSlot: 0,
    peakOfOthers: 0,
    earlierPeakOfOthers: 0,
  };

  private total = 0;

  private slot = 0;

  begin(account: string, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    let own = this.records.get(account);
    if (own === undefined) {
      own = { ...this.unknown };
      this.records.set(account, own);
    }
    own.running += 1;
    own.usedSlot = this.slot;
    this.total += 1;
    this.unknown.peakOfOthers = Math.max(this.unknown.peakOfOthers, this.total);
    for (const record of this.records.values()) {
      const others = this.total - record.running;
      if (others > record.peakOfOthers) {
        record.peakOfOthers = others;
      }
    }
  }

  end(account: string, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    const own = this.records.get(account);
    if (own !== undefined) {
      own.running -= 1;
      this.total -= 1;
    }
  }

  /** Most calls that the accounts other than the given one had at once lately. */
  peakOfOthers(account: string, nowMilliseconds: number): number {
    this.refresh(nowMilliseconds);
    const { earlierPeakOfOthers, peakOfOthers } = this.records.get(account) ?? this.unknown;
    return Math.max(earlierPeakOfOthers, peakOfOthers);
  }

  /** Calls that the accounts other than the given one run now. */
  runningOfOthers(account: string): number {
    return this.total - (this.records.get(account)?.running ?? 0);
  }

  private refresh(nowMilliseconds: number): void {
    const slot = Math.floor(nowMilliseconds / SLOT_MILLISECONDS);
    if (slot === this.slot) {
      return;
    }
    const isNext = slot === this.slot + 1;
    this.slot = slot;
    this.moveOn(this.unknown, isNext);
    for (const [account, record] of this.records) {
      this.moveOn(record, isNext);
      if (record.running > 0) {
        record.usedSlot = slot;
      } else if (record.usedSlot < slot - 1) {
        this.records.delete(account);
      }
    }
  }

  /** Nothing began or ended in slots that were passed over, so what runs now is their peak. */
  private moveOn(record: AccountOccupancy, isNext: boolean): void {
    const others = this.total - record.running;
    record.earlierPeakOfOthers = isNext ? record.peakOfOthers : others;
    record.peakOfOthers = others;
  }
}
