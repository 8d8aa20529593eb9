/** Peaks are those of the present slot of time and the one before, so of the last 5 to 10 s. */
const SLOT_MILLISECONDS = 5000;

/** The calls of one account, and those of all others. */
class AccountOccupancy {
  /** Calls of the account that wait or run. */
  present = 0;

  /** Last slot in which the account had calls. */
  usedSlot = 0;

  private peakOfOthers = 0;

  private earlierPeakOfOthers = 0;

  /** Most calls that the others had at once in the present slot and the one before. */
  get recentPeakOfOthers(): number {
    return Math.max(this.earlierPeakOfOthers, this.peakOfOthers);
  }

  /** @param total calls of all accounts that wait or run. */
  observe(total: number): void {
    const others = total - this.present;
    if (others > this.peakOfOthers) {
      this.peakOfOthers = others;
    }
  }

  /** Nothing began or ended in slots that were passed over, so what they have now is their peak. */
  moveOn(total: number, isNextSlot: boolean): void {
    const others = total - this.present;
    this.earlierPeakOfOthers = isNextSlot ? this.peakOfOthers : others;
    this.peakOfOthers = others;
  }

  copy(): AccountOccupancy {
    return Object.assign(new AccountOccupancy(), this);
  }
}

/** How many calls of one lane the accounts have at once, waiting or running, now and lately. */
export class LaneOccupancy {
  private readonly records = new Map<string, AccountOccupancy>();

  /** The records again: going through an array takes a fraction of the time of a map. */
  private list: AccountOccupancy[] = [];

  /** Stands for every account without calls in the last two slots: all calls are those of others. */
  private readonly unknown = new AccountOccupancy();

  private total = 0;

  private slot = 0;

  begin(account: string, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    let own = this.records.get(account);
    if (own === undefined) {
      own = this.unknown.copy();
      this.records.set(account, own);
      this.list.push(own);
    }
    own.present += 1;
    own.usedSlot = this.slot;
    this.total += 1;
    this.unknown.observe(this.total);
    for (const record of this.list) {
      record.observe(this.total);
    }
  }

  end(account: string, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    const own = this.records.get(account);
    if (own !== undefined) {
      own.present -= 1;
      this.total -= 1;
    }
  }

  /** Most calls that the accounts other than the given one had at once, as of the last refresh. */
  peakOfOthers(account: string): number {
    return (this.records.get(account) ?? this.unknown).recentPeakOfOthers;
  }

  /** Moves on to the slot of the given time. */
  refresh(nowMilliseconds: number): void {
    const slot = Math.floor(nowMilliseconds / SLOT_MILLISECONDS);
    if (slot === this.slot) {
      return;
    }
    const isNext = slot === this.slot + 1;
    this.slot = slot;
    this.unknown.moveOn(this.total, isNext);
    for (const [account, record] of this.records) {
      record.moveOn(this.total, isNext);
      if (record.present > 0) {
        record.usedSlot = slot;
      } else if (record.usedSlot < slot - 1) {
        this.records.delete(account);
      }
    }
    this.list = [...this.records.values()];
  }
}
