import type { WorkSums } from './ZoneWork.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Time parameters of the moving averages, in milliseconds. */
export interface DemandSmoothing {
  /** Time constant of the exponential decay. */
  readonly timeConstantMilliseconds: number;
  /** Demand is unknown until it has been observed for this long. */
  readonly minimumObservationMilliseconds: number;
  /** A longer gap between samples resets the averages. */
  readonly maximumGapMilliseconds: number;
}

/** Shifts of the workload mix take minutes, and digest rows arrive seconds late. */
export const DEFAULT_DEMAND_SMOOTHING: DemandSmoothing = {
  timeConstantMilliseconds: 10_000,
  minimumObservationMilliseconds: 20_000,
  maximumGapMilliseconds: 15_000,
};

interface Sample {
  readonly atMilliseconds: number;
  readonly totals: ReadonlyMap<string, number>;
}

function totalsOf({ prefill, decode, classes }: WorkSums): Map<string, number> {
  const byClass = [...classes].map(([tag, total]) => [`class ${tag}`, total] as const);
  return new Map([['prefill', prefill], ['decode', decode], ...byClass]);
}

/** Demand for prefill and decode work, as exponentially weighted moving averages. */
export class SmoothedDemand {
  private readonly work: WorkSums;

  private readonly clock: Clock;

  private readonly smoothing: DemandSmoothing;

  private readonly rates = new Map<string, number>();

  /**
   * Weight of the samples in the averages, which start at zero. Corrects the bias of that start.
   */
  private weight = 0;

  private observedMilliseconds = 0;

  private lastSample: Sample | undefined;

  constructor(work: WorkSums, clock: Clock, smoothing: DemandSmoothing = DEFAULT_DEMAND_SMOOTHING) {
    this.work = work;
    this.clock = clock;
    this.smoothing = smoothing;
  }

  /** True if demand has been observed for the minimum time and the last sample is recent. */
  get isKnown(): boolean {
    return (
      this.lastSample !== undefined &&
      this.observedMilliseconds >= this.smoothing.minimumObservationMilliseconds &&
      this.clock.monotonicMilliseconds() - this.lastSample.atMilliseconds <=
        this.smoothing.maximumGapMilliseconds
    );
  }

  /** Prefill demand as the number of engines that it keeps fully busy. */
  get prefill(): number {
    return this.rate('prefill');
  }

  /** Decode demand as the number of engines that it keeps fully busy. */
  get decode(): number {
    return this.rate('decode');
  }

  forClass(tag: number): number {
    return this.rate(`class ${tag}`);
  }

  reset(): void {
    this.lastSample = undefined;
    this.rates.clear();
    this.weight = 0;
    this.observedMilliseconds = 0;
  }

  sample(): void {
    const atMilliseconds = this.clock.monotonicMilliseconds();
    const { lastSample } = this;
    const elapsed = lastSample === undefined ? 0 : atMilliseconds - lastSample.atMilliseconds;
    if (lastSample !== undefined && elapsed <= 0) {
      return;
    }
    if (elapsed > this.smoothing.maximumGapMilliseconds) {
      this.reset();
    }
    const totals = totalsOf(this.work);
    if (this.lastSample !== undefined) {
      this.updateRates(this.lastSample.totals, totals, elapsed);
    }
    this.lastSample = { atMilliseconds, totals };
  }

  private updateRates(
    previousTotals: ReadonlyMap<string, number>,
    totals: ReadonlyMap<string, number>,
    elapsed: number,
  ): void {
    const retained = Math.exp(-elapsed / this.smoothing.timeConstantMilliseconds);
    for (const [key, total] of totals) {
      const rate = (total - (previousTotals.get(key) ?? 0)) / elapsed;
      this.rates.set(key, (this.rates.get(key) ?? 0) * retained + rate * (1 - retained));
    }
    this.weight = this.weight * retained + 1 - retained;
    this.observedMilliseconds += elapsed;
  }

  /** Corrections of cost estimates can make a rate negative temporarily. */
  private rate(key: string): number {
    return this.weight === 0 ? 0 : Math.max(0, (this.rates.get(key) ?? 0) / this.weight);
  }
}
