const TIME_CONSTANT_MILLISECONDS = 5000;
const MINIMUM_OBSERVATION_MILLISECONDS = 500;

/**
 * Decayed average of the cost that leaves a queue per millisecond, measured while it is not empty.
 */
export class DrainRate {
  private drainedCost = 0;

  private observedMilliseconds = 0;

  private lastObservationMilliseconds = 0;

  private isBusy = false;

  /** Accounts for the time since the last observation. `isBusy` is true if calls are queued now. */
  observe(nowMilliseconds: number, isBusy: boolean): void {
    if (this.isBusy) {
      const elapsed = nowMilliseconds - this.lastObservationMilliseconds;
      const decay = Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
      this.drainedCost *= decay;
      this.observedMilliseconds = this.observedMilliseconds * decay + elapsed;
    }
    this.lastObservationMilliseconds = nowMilliseconds;
    this.isBusy = isBusy;
  }

  recordDrained(cost: number): void {
    this.drainedCost += cost;
  }

  /** Undefined until the queue has been busy for the minimum observation time. */
  get costPerMillisecond(): number | undefined {
    return this.observedMilliseconds < MINIMUM_OBSERVATION_MILLISECONDS || this.drainedCost === 0
      ? undefined
      : this.drainedCost / this.observedMilliseconds;
  }
}
