const TIME_CONSTANT_MILLISECONDS = 5000;
const LEAST_OBSERVED_MILLISECONDS = 500;

/** Cost that leaves the queue in a millisecond, measured only while calls wait. */
export class DrainRate {
  private drained = 0;

  private observed = 0;

  private lastMilliseconds = 0;

  private isBusy = false;

  /** Records the state of the queue up to now; `isBusy` tells whether calls wait from now on. */
  observe(nowMilliseconds: number, isBusy: boolean): void {
    if (this.isBusy) {
      const elapsed = nowMilliseconds - this.lastMilliseconds;
      const decay = Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
      this.drained *= decay;
      this.observed = this.observed * decay + elapsed;
    }
    this.lastMilliseconds = nowMilliseconds;
    this.isBusy = isBusy;
  }

  record(cost: number): void {
    this.drained += cost;
  }

  /** Undefined until calls have waited for long enough to tell. */
  get costPerMillisecond(): number | undefined {
    return this.observed < LEAST_OBSERVED_MILLISECONDS || this.drained === 0
      ? undefined
      : this.drained / this.observed;
  }
}
