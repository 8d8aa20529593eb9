interface Sample {
  readonly atMilliseconds: number;
  readonly value: number;
}

/** The highest value of a smoothed series within a sliding window of the monotonic clock. */
export class PeakWindow {
  private readonly smoothingMilliseconds: number;

  private readonly windowMilliseconds: number;

  private smoothed: Sample | undefined;

  /** Samples that no later one exceeds, so their values decrease. */
  private readonly peaks: Sample[] = [];

  constructor(smoothingMilliseconds: number, windowMilliseconds: number) {
    this.smoothingMilliseconds = smoothingMilliseconds;
    this.windowMilliseconds = windowMilliseconds;
  }

  /** Adds a sample. Returns the highest smoothed value in the window. */
  observe(value: number, now: number): number {
    const smoothed = this.smooth(value, now);
    while ((this.peaks.at(-1)?.value ?? Number.POSITIVE_INFINITY) <= smoothed.value) {
      this.peaks.pop();
    }
    this.peaks.push(smoothed);
    while ((this.peaks[0]?.atMilliseconds ?? now) < now - this.windowMilliseconds) {
      this.peaks.shift();
    }
    return this.peaks[0]?.value ?? smoothed.value;
  }

  private smooth(value: number, now: number): Sample {
    const { smoothed } = this;
    const weight =
      smoothed === undefined
        ? 1
        : 1 - Math.exp((smoothed.atMilliseconds - now) / this.smoothingMilliseconds);
    const previous = smoothed?.value ?? value;
    const current = { atMilliseconds: now, value: previous + (value - previous) * weight };
    this.smoothed = current;
    return current;
  }
}
