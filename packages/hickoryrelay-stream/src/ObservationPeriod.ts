/** Longest time for which a client may come back, and a leaving engine may still serve. */
export const HISTORY_MILLISECONDS = 20_000;

/** The reads of an instance, and since when there has been no longer gap between them than the bound. */
export class ObservationPeriod {
  readonly boundMilliseconds: number;

  private latestRequestMilliseconds = Number.NEGATIVE_INFINITY;

  private continuousSinceMilliseconds = Number.NEGATIVE_INFINITY;

  /**
   * @param boundMilliseconds Longest time between two reads of an instance whose view is current,
   *   including the time a read takes.
   */
  constructor(boundMilliseconds: number) {
    this.boundMilliseconds = boundMilliseconds;
  }

  /** When the latest read was requested. */
  get latestMilliseconds(): number {
    return this.latestRequestMilliseconds;
  }

  /** Records a read. Returns whether the gap since the previous one is within the bound. */
  recordRead(requestedMilliseconds: number): boolean {
    const gapMilliseconds = requestedMilliseconds - this.latestRequestMilliseconds;
    const isContinuous = gapMilliseconds <= this.boundMilliseconds;
    if (!isContinuous) {
      this.restart(requestedMilliseconds);
    }
    this.latestRequestMilliseconds = Math.max(
      this.latestRequestMilliseconds,
      requestedMilliseconds,
    );
    return isContinuous;
  }

  /** Begins anew, as after a gap. */
  restart(milliseconds: number): void {
    this.continuousSinceMilliseconds = milliseconds;
  }

  /** True if the latest read is current and nothing of the last `HISTORY_MILLISECONDS` was missed. */
  coversHistory(nowMilliseconds: number): boolean {
    const isCurrent = nowMilliseconds - this.latestRequestMilliseconds <= this.boundMilliseconds;
    return isCurrent && nowMilliseconds - this.continuousSinceMilliseconds >= HISTORY_MILLISECONDS;
  }
}
