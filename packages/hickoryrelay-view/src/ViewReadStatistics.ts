import { build } from 'hdr-histogram-js';

import type { Histogram } from 'hdr-histogram-js';

const MAXIMUM_MILLISECONDS = 60_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENT = 100;

/** Times of one read. */
export interface ViewReadTimes {
  /** Time from the start of the read until its result had been applied. */
  readonly milliseconds: number;
  /** Time by which the timer of the read was late, which shows the delay of the event loop. */
  readonly delayMilliseconds: number;
}

function makeHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_MILLISECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
    useWebAssembly: false,
  });
}

function record(histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.min(Math.max(0, Math.round(milliseconds)), MAXIMUM_MILLISECONDS));
}

/** Statistics of the reads by which an instance keeps its view current. */
export class ViewReadStatistics {
  private readonly readTimes = makeHistogram();

  private readonly delays = makeHistogram();

  private failures = 0;

  recordRead({ milliseconds, delayMilliseconds }: ViewReadTimes): void {
    record(this.readTimes, milliseconds);
    record(this.delays, delayMilliseconds);
  }

  recordFailure({ delayMilliseconds }: Pick<ViewReadTimes, 'delayMilliseconds'>): void {
    this.failures += 1;
    record(this.delays, delayMilliseconds);
  }

  get failedReads(): number {
    return this.failures;
  }

  /** Time of successful reads at a quantile from 0 to 1, in milliseconds. */
  readQuantile(quantile: number): number {
    return this.readTimes.getValueAtPercentile(quantile * PERCENT);
  }

  /** Delay of timers at a quantile from 0 to 1, in milliseconds. */
  delayQuantile(quantile: number): number {
    return this.delays.getValueAtPercentile(quantile * PERCENT);
  }
}
