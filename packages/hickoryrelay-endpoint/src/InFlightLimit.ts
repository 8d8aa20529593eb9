const FIRST_LIMIT = 4;
const LEAST_LIMIT = 1;
const HIGHEST_LIMIT = 256;
/** One decrease is in proportion to the excess, within these factors. */
const LEAST_DECREASE = 0.9;
const GREATEST_DECREASE = 0.5;
/** Latency above this part of the target stops growth, so that the limit settles below the target. */
const GROW_BELOW = 0.6;
/**
 * Classes with wide targets report low ratios while those with near targets are late, so growth
 * waits until no call has been late for this long.
 */
const HOLD_MILLISECONDS = 3000;

/** Calls sent under the old limit go on reporting its latency; one decrease waits for their end. */
const DECREASE_INTERVAL_MILLISECONDS = 1000;

/**
 * The number of calls that this instance may have in flight at an endpoint, learned from latency
 * against target: additive increase while the limit is in use and latency is well below the target,
 * multiplicative decrease above it.
 */
export class InFlightLimit {
  private limit = FIRST_LIMIT;

  private exceededMilliseconds = Number.NEGATIVE_INFINITY;

  private hasDecreased = false;

  private decreasedMilliseconds = Number.NEGATIVE_INFINITY;

  get value(): number {
    return Math.floor(this.limit);
  }

  /** @param ratio observed latency divided by its target. */
  record(ratio: number, callsInFlight: number, nowMilliseconds: number): void {
    if (ratio > 1) {
      this.exceededMilliseconds = nowMilliseconds;
      this.decrease(ratio, callsInFlight, nowMilliseconds);
    } else if (
      ratio < GROW_BELOW &&
      callsInFlight >= this.value - 1 &&
      nowMilliseconds - this.exceededMilliseconds >= HOLD_MILLISECONDS
    ) {
      const step = this.hasDecreased ? 1 / this.limit : 1;
      this.limit = Math.min(HIGHEST_LIMIT, this.limit + step);
    }
  }

  private decrease(ratio: number, callsInFlight: number, nowMilliseconds: number): void {
    if (nowMilliseconds - this.decreasedMilliseconds < DECREASE_INTERVAL_MILLISECONDS) {
      return;
    }
    this.decreasedMilliseconds = nowMilliseconds;
    this.hasDecreased = true;
    // A limit above what is in flight has no effect, so the decrease starts from what is.
    const inUse = Math.min(this.limit, Math.max(LEAST_LIMIT, callsInFlight));
    const factor = Math.min(LEAST_DECREASE, Math.max(GREATEST_DECREASE, 1 / ratio));
    this.limit = Math.max(LEAST_LIMIT, inUse * factor);
  }
}
