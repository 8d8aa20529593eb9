import { build } from 'hdr-histogram-js';

import type { Histogram } from 'hdr-histogram-js';
import type { Call } from 'hickoryrelay-link/Call';

/** Times recorded for each client account and class, in milliseconds. */
export const CallTime = {
  /** From arrival to the first byte of the response. */
  FirstToken: 'first_token',
  /** Between two chunks of a streamed response. */
  BetweenTokens: 'between_tokens',
  /** From arrival to the end of the response. */
  Completion: 'completion',
} as const;

export type CallTime = (typeof CallTime)[keyof typeof CallTime];

/** How a call ended: value of the `outcome` label of the call counter. */
export const CallOutcome = {
  Answered: 'answered',
  /** The endpoint responded with an error status. */
  EndpointError: 'endpoint_error',
  Refused: 'refused',
  Failed: 'failed',
  Cancelled: 'cancelled',
} as const;

export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

const QUANTILES = [0.5, 0.9, 0.95, 0.99] as const;
const PERCENT = 100;

/** One digit keeps a histogram near 2 KB. Histograms of 1,100 accounts must fit into 256 MB. */
const SIGNIFICANT_DIGITS = 1;
const MAXIMUM_MILLISECONDS = 3_600_000;

/**
 * Values are recorded in tenths of a millisecond, since times between tokens are often below 1 ms.
 */
const UNITS_PER_MILLISECOND = 10;

/** Maximum number of label sets. Calls beyond it are recorded under the account `other`. */
const MAXIMUM_SERIES = 4000;
const OTHER_ACCOUNT = 'other';
const OPEN_ACCOUNT = 'open';

/** Histograms and counters of one client account and class. */
export class CallSeries {
  readonly account: string;

  readonly className: string;

  private readonly histograms = new Map<CallTime, Histogram>();

  private readonly sums = new Map<CallTime, number>();

  private readonly outcomes = new Map<CallOutcome, number>();

  constructor(account: string, className: string) {
    this.account = account;
    this.className = className;
  }

  /** Records a time in milliseconds. */
  record(time: CallTime, milliseconds: number): void {
    let histogram = this.histograms.get(time);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAXIMUM_MILLISECONDS * UNITS_PER_MILLISECOND,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        bitBucketSize: 32,
        useWebAssembly: false,
      });
      this.histograms.set(time, histogram);
    }
    const clamped = Math.min(Math.max(milliseconds, 0), MAXIMUM_MILLISECONDS);
    histogram.recordValue(Math.round(clamped * UNITS_PER_MILLISECOND));
    this.sums.set(time, (this.sums.get(time) ?? 0) + clamped);
  }

  count(outcome: CallOutcome): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }

  /** Counters as lines of Prometheus text. */
  *counterLines(): Generator<string, void, void> {
    for (const [outcome, count] of this.outcomes) {
      yield `hickoryrelay_calls_total{${this.labels},outcome="${outcome}"} ${count}`;
    }
  }

  /** A time as lines of a Prometheus summary, in milliseconds. */
  *timeLines(time: CallTime): Generator<string, void, void> {
    const histogram = this.histograms.get(time);
    if (histogram === undefined) {
      return;
    }
    const name = `hickoryrelay_${time}_milliseconds`;
    for (const quantile of QUANTILES) {
      const value = histogram.getValueAtPercentile(quantile * PERCENT) / UNITS_PER_MILLISECOND;
      yield `${name}{${this.labels},quantile="${quantile}"} ${value}`;
    }
    yield `${name}_sum{${this.labels}} ${this.sums.get(time) ?? 0}`;
    yield `${name}_count{${this.labels}} ${histogram.totalCount}`;
  }

  private get labels(): string {
    return `account="${this.account}",class="${this.className}"`;
  }
}

/** Returns the current value of a gauge or counter. */
export type GaugeReader = () => number;

/** The metrics of an instance: histograms and counters per client account and class, and gauges. */
export class CallMetrics {
  private readonly series = new Map<string, CallSeries>();

  private readonly gauges = new Map<string, GaugeReader>();

  private readonly counters = new Map<string, GaugeReader>();

  /** Finds or creates the series of a call. */
  seriesFor(call: Call): CallSeries {
    const account = call.accountName ?? OPEN_ACCOUNT;
    return this.find(account, call.className) ?? this.find(OTHER_ACCOUNT, call.className, true);
  }

  /** Registers a gauge under the metric name `hickoryrelay_<name>`. */
  registerGauge(name: string, read: GaugeReader): void {
    this.gauges.set(name, read);
  }

  /** Registers a counter under the metric name `hickoryrelay_<name>`. */
  registerCounter(name: string, read: GaugeReader): void {
    this.counters.set(name, read);
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    return [...this.lines(), ''].join('\n');
  }

  private find(account: string, className: string, ignoresLimit: true): CallSeries;

  private find(account: string, className: string): CallSeries | undefined;

  private find(account: string, className: string, ignoresLimit = false): CallSeries | undefined {
    const key = `${account}/${className}`;
    let series = this.series.get(key);
    if (series === undefined && (ignoresLimit || this.series.size < MAXIMUM_SERIES)) {
      series = new CallSeries(account, className);
      this.series.set(key, series);
    }
    return series;
  }

  private *lines(): Generator<string, void, void> {
    yield '# TYPE hickoryrelay_calls_total counter';
    for (const series of this.series.values()) {
      yield* series.counterLines();
    }
    for (const time of Object.values(CallTime)) {
      yield `# TYPE hickoryrelay_${time}_milliseconds summary`;
      for (const series of this.series.values()) {
        yield* series.timeLines(time);
      }
    }
    for (const [type, metrics] of [
      ['gauge', this.gauges],
      ['counter', this.counters],
    ] as const) {
      for (const [name, read] of metrics) {
        yield `# TYPE hickoryrelay_${name} ${type}`;
        yield `hickoryrelay_${name} ${read()}`;
      }
    }
  }
}
