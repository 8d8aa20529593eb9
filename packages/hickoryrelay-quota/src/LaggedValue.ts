interface Sample {
  readonly atMilliseconds: number;
  value: number;
}

/** Of values recorded closer together than this, the last one is kept. */
const SAMPLE_SPACING_MILLISECONDS = 50;

/** A value as it was some time ago. */
export class LaggedValue {
  private readonly lagMilliseconds: number;

  private readonly samples: Sample[] = [];

  constructor(lagMilliseconds: number) {
    this.lagMilliseconds = lagMilliseconds;
  }

  /** Records the current value. */
  record(value: number, now: number): void {
    const last = this.samples.at(-1);
    if (last === undefined || now - last.atMilliseconds >= SAMPLE_SPACING_MILLISECONDS) {
      this.samples.push({ atMilliseconds: now, value });
    } else {
      last.value = value;
    }
  }

  /** The value before the lag; 0 if none was recorded then. */
  at(now: number): number {
    const before = now - this.lagMilliseconds;
    while ((this.samples[1]?.atMilliseconds ?? Number.POSITIVE_INFINITY) <= before) {
      this.samples.shift();
    }
    const first = this.samples[0];
    return first !== undefined && first.atMilliseconds <= before ? first.value : 0;
  }
}
