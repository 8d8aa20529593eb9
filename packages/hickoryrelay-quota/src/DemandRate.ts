const MILLISECONDS_PER_SECOND = 1000;

/** Time constant of the average: as long as a few reports, and short against a window. */
const TIME_CONSTANT_MILLISECONDS = 1000;

/** Below this rate nothing has been requested for about ten time constants. */
const MINIMUM_PER_SECOND = 0.001;

/** Exponentially weighted average of the units requested per second. */
export class DemandRate {
  private perSecond = 0;

  private asOfMilliseconds = 0;

  at(now: number): number {
    this.decay(now);
    return this.perSecond;
  }

  add(units: number, now: number): void {
    this.decay(now);
    this.perSecond += (units / TIME_CONSTANT_MILLISECONDS) * MILLISECONDS_PER_SECOND;
  }

  private decay(now: number): void {
    const elapsed = Math.max(0, now - this.asOfMilliseconds);
    this.perSecond *= Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
    if (this.perSecond < MINIMUM_PER_SECOND) {
      this.perSecond = 0;
    }
    this.asOfMilliseconds = Math.max(this.asOfMilliseconds, now);
  }
}
