const INITIAL_LIMIT = 4;
const MINIMUM_LIMIT = 1;
const MAXIMUM_LIMIT = 256;
/** A decrease multiplies the limit by the inverse of the latency ratio, within these bounds. */
const MAXIMUM_DECREASE_FACTOR = 0.9;
const MINIMUM_DECREASE_FACTOR = 0.5;
/**
 * The limit grows only while latency is below this fraction of the target, so that it settles at a
 * latency below the target.
 */
const GROWTH_RATIO_THRESHOLD = 0.6;
/**
 * Time without a late call before the limit grows. Classes with loose targets report low ratios
 * while classes with tight targets are already late.
 */
const GROWTH_COOLDOWN_MILLISECONDS = 3000;

/**
 * Minimum time between two decreases. Calls that were sent under the old limit still report its
 * latency and would otherwise cause further decreases.
 */
const DECREASE_INTERVAL_MILLISECONDS = 1000;

/**
 * Adaptive concurrency limit: the number of calls that this instance may have in flight at an
 * endpoint. Additive increase, multiplicative decrease (AIMD): the limit grows while it is in use
 * and latency is well below the target, and is reduced when latency exceeds the target. Before the
 * first decrease it grows by one per call, afterwards by its inverse.
 */
export class InFlightLimit {
  private limit = INITIAL_LIMIT;

  private lastExceededMilliseconds = Number.NEGATIVE_INFINITY;

  private hasDecreased = false;

  private lastDecreaseMilliseconds = Number.NEGATIVE_INFINITY;

  get value(): number {
    return Math.floor(this.limit);
  }

  /** @param latencyRatio observed latency divided by its target. */
  record(latencyRatio: number, callsInFlight: number, nowMilliseconds: number): void {
    if (latencyRatio > 1) {
      this.lastExceededMilliseconds = nowMilliseconds;
      this.decrease(latencyRatio, callsInFlight, nowMilliseconds);
    } else if (
      latencyRatio < GROWTH_RATIO_THRESHOLD &&
      callsInFlight >= this.value - 1 &&
      nowMilliseconds - this.lastExceededMilliseconds >= GROWTH_COOLDOWN_MILLISECONDS
    ) {
      const increment = this.hasDecreased ? 1 / this.limit : 1;
      this.limit = Math.min(MAXIMUM_LIMIT, this.limit + increment);
    }
  }

  private decrease(latencyRatio: number, callsInFlight: number, nowMilliseconds: number): void {
    if (nowMilliseconds - this.lastDecreaseMilliseconds < DECREASE_INTERVAL_MILLISECONDS) {
      return;
    }
    this.lastDecreaseMilliseconds = nowMilliseconds;
    this.hasDecreased = true;
    // A limit above the number of calls in flight has no effect, so the decrease starts from the
    // smaller of the two.
    const effectiveLimit = Math.min(this.limit, Math.max(MINIMUM_LIMIT, callsInFlight));
    const factor = Math.min(
      MAXIMUM_DECREASE_FACTOR,
      Math.max(MINIMUM_DECREASE_FACTOR, 1 / latencyRatio),
    );
    this.limit = Math.max(MINIMUM_LIMIT, effectiveLimit * factor);
  }
}
