/** Time constant of the lasting rate. */
const LASTING_MILLISECONDS = 20_000;

/** Time constant of a temporary slowdown: engines were seen slower for 600 ms at a time. */
const SLOWDOWN_MILLISECONDS = 500;

/** Weight of a new observation in the temporary slowdown. One may be due to an unreported queue. */
const SLOWDOWN_WEIGHT = 0.35;

/** Largest temporary slowdown, in octaves. */
const MAXIMUM_SLOWDOWN_OCTAVES = 1.3;

/**
 * Deviations in the range of normal variation are not a slowdown, in octaves. With 0.3, unreported
 * queues at equal engines counted as slowdowns.
 */
const TOLERATED_OCTAVES = 0.6;

/** The median of this many first observations is the initial rate, so that a slow one has no effect. */
const INITIAL_OBSERVATIONS = 5;

/** Limits the effect of one observation after a time without any. */
const MAXIMUM_GAIN = 0.2;

/**
 * Limits on the deviation of an observation that the lasting rate follows, in octaves. Unreported
 * requests before an observed one make it slower but never faster, so the lower limit is closer.
 */
const MAXIMUM_SLOWER_OCTAVES = 0.4;
const MAXIMUM_FASTER_OCTAVES = 0.8;

/** Weight of an observation in the average deviation. */
const DEVIATION_WEIGHT = 0.2;

const INITIAL_DEVIATION_OCTAVES = 0.5;

/** Limits the number of observations that are counted. */
const MAXIMUM_WEIGHT = 63;

/**
 * The rate of one kind of work at one endpoint: the lasting rate, which a few slow observations do
 * not change, and a temporary slowdown. Rates are binary logarithms, so that differences are factors.
 */
export class RateEstimate {
  /** Binary logarithm of the lasting rate. */
  logRate = 0;

  /** Number of observations. */
  weight = 0;

  /** Time of the newest observation. */
  atMilliseconds = 0;

  /** Average deviation of observations from the lasting rate, in octaves. */
  deviation = INITIAL_DEVIATION_OCTAVES;

  private initial: number[] | undefined = [];

  private slowdownOctaves = 0;

  private slowdownAtMilliseconds = 0;

  /** Adds an observation, or the mean of several. */
  add(logRate: number, weight: number, now: number): void {
    if (this.initial !== undefined) {
      this.addInitial(this.initial, logRate, weight);
    } else {
      const elapsed = Math.max(0, now - this.atMilliseconds);
      const gain = Math.min(MAXIMUM_GAIN, 1 - Math.exp(-elapsed / LASTING_MILLISECONDS));
      const difference = logRate - this.logRate;
      this.deviation += (Math.min(1, Math.abs(difference)) - this.deviation) * DEVIATION_WEIGHT;
      this.logRate +=
        gain * Math.max(-MAXIMUM_SLOWER_OCTAVES, Math.min(MAXIMUM_FASTER_OCTAVES, difference));
    }
    this.weight = Math.min(MAXIMUM_WEIGHT, this.weight + weight);
    this.atMilliseconds = Math.max(this.atMilliseconds, now);
  }

  /** Adds a fresh observation to the temporary slowdown. */
  addSlowdown(logRate: number, now: number): void {
    const current = this.slowdown(now);
    const octaves = Math.max(0, this.logRate - logRate - TOLERATED_OCTAVES);
    const sample = Math.min(MAXIMUM_SLOWDOWN_OCTAVES, octaves);
    this.slowdownOctaves = current + (sample - current) * SLOWDOWN_WEIGHT;
    this.slowdownAtMilliseconds = now;
  }

  /** Takes over the rate that a peer has learned, unless this instance knows more. */
  adopt(logRate: number, weight: number, now: number): void {
    if (this.weight < INITIAL_OBSERVATIONS && this.weight * 2 < weight) {
      this.logRate = logRate;
      this.weight = weight;
      this.atMilliseconds = now;
      this.initial = weight >= INITIAL_OBSERVATIONS ? undefined : [logRate];
    }
  }

  /** Temporary slowdown in octaves, at least 0. */
  slowdown(now: number): number {
    return this.slowdownOctaves === 0
      ? 0
      : this.slowdownOctaves *
          Math.exp(Math.min(0, this.slowdownAtMilliseconds - now) / SLOWDOWN_MILLISECONDS);
  }

  private addInitial(initial: number[], logRate: number, weight: number): void {
    for (let count = 0; count < Math.min(weight, INITIAL_OBSERVATIONS); count += 1) {
      initial.push(logRate);
    }
    initial.sort((left, right) => left - right);
    // Of an even number, the faster of the two in the middle.
    this.logRate = initial[Math.floor(initial.length / 2)] ?? logRate;
    if (initial.length >= INITIAL_OBSERVATIONS) {
      this.initial = undefined;
    }
  }
}
