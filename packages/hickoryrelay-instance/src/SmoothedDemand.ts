import type { WorkSums } from './ZoneWork.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Times over which demand is observed, in milliseconds. */
export interface DemandTimes {
  /** Time constant of the moving average. */
  readonly smoothingMilliseconds: number;
  /** Demand is unknown until it has been observed for this long. */
  readonly leastObservedMilliseconds: number;
  /** A longer gap between samples starts the observation anew. */
  readonly longestGapMilliseconds: number;
}

/** Chosen, not measured: shifts of the mix take minutes, and digest rows are seconds late. */
export const DEFAULT_DEMAND_TIMES: DemandTimes = {
  smoothingMilliseconds: 10_000,
  leastObservedMilliseconds: 20_000,
  longestGapMilliseconds: 15_000,
};

interface Sample {
  readonly atMilliseconds: number;
  readonly totals: ReadonlyMap<string, number>;
}

function totalsOf({ prefill, decode, classes }: WorkSums): Map<string, number> {
  const byClass = [...classes].map(([tag, total]) => [`class ${tag}`, total] as const);
  return new Map([['prefill', prefill], ['decode', decode], ...byClass]);
}

/** The demand for work, as moving averages of its rates. */
export class SmoothedDemand {
  private readonly work: WorkSums;

  private readonly clock: Clock;

  private readonly times: DemandTimes;

  private readonly rates = new Map<string, number>();

  /** Part of the averages that comes from samples; the rest is their start at zero. */
  private weight = 0;

  private observedMilliseconds = 0;

  private last: Sample | undefined;

  constructor(work: WorkSums, clock: Clock, times: DemandTimes = DEFAULT_DEMAND_TIMES) {
    this.work = work;
    this.clock = clock;
    this.times = times;
  }

  /** True if the demand has been observed for long enough, and until just now. */
  get isKnown(): boolean {
    return (
      this.last !== undefined &&
      this.observedMilliseconds >= this.times.leastObservedMilliseconds &&
      this.clock.monotonicMilliseconds() - this.last.atMilliseconds <=
        this.times.longestGapMilliseconds
    );
  }

  /** Prefill work in engines that it keeps fully occupied. */
  get prefill(): number {
    return this.rate('prefill');
  }

  get decode(): number {
    return this.rate('decode');
  }

  ofClass(tag: number): number {
    return this.rate(`class ${tag}`);
  }

  reset(): void {
    this.last = undefined;
    this.rates.clear();
    this.weight = 0;
    this.observedMilliseconds = 0;
  }

  sample(): void {
    const atMilliseconds = this.clock.monotonicMilliseconds();
    const { last } = this;
    const elapsed = last === undefined ? 0 : atMilliseconds - last.atMilliseconds;
    if (last !== undefined && elapsed <= 0) {
      return;
    }
    if (elapsed > this.times.longestGapMilliseconds) {
      this.reset();
    }
    const totals = totalsOf(this.work);
    if (this.last !== undefined) {
      this.average(this.last.totals, totals, elapsed);
    }
    this.last = { atMilliseconds, totals };
  }

  private average(
    before: ReadonlyMap<string, number>,
    totals: ReadonlyMap<string, number>,
    elapsed: number,
  ): void {
    const kept = Math.exp(-elapsed / this.times.smoothingMilliseconds);
    for (const [key, total] of totals) {
      const rate = (total - (before.get(key) ?? 0)) / elapsed;
      this.rates.set(key, (this.rates.get(key) ?? 0) * kept + rate * (1 - kept));
    }
    this.weight = this.weight * kept + 1 - kept;
    this.observedMilliseconds += elapsed;
  }

  /** Corrections of estimates can make a rate negative for a moment. */
  private rate(key: string): number {
    return this.weight === 0 ? 0 : Math.max(0, (this.rates.get(key) ?? 0) / this.weight);
  }
}
