import { build } from 'hdr-histogram-js';

import type { CallTrace } from './CallTrace.js';
import type { Histogram } from 'hdr-histogram-js';

const QUANTILES = [0.5, 0.9, 0.99] as const;
const PERCENT = 100;
const MAXIMUM_MILLISECONDS = 600_000;

/** One digit keeps histograms small, since there are two for each account and route. */
const SIGNIFICANT_DIGITS = 1;

/** Bounds the memory use; further series are counted together under `other`. */
const MAXIMUM_SERIES = 2000;

/** A value of a metric for one label value. */
export interface LabelledValue {
  readonly label: string;
  readonly value: number;
}

interface MetricFamily {
  readonly type: 'gauge' | 'counter';
  readonly labelName: string;
  readonly read: () => Iterable<LabelledValue>;
}

interface Series {
  readonly firstByte: Histogram;
  readonly completion: Histogram;
  readonly outcomes: Map<string, number>;
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

/** Counters and latency histograms of forwarded requests, by client account and route. */
export class ForwardingMetrics {
  private readonly series = new Map<string, Series>();

  private readonly gauges = new Map<string, () => number>();

  private readonly counters = new Map<string, () => number>();

  private readonly labelled = new Map<
    string,
    { type: string; read: () => Iterable<readonly [labels: string, value: number]> }
  >();

  /** Registers a metric that has a value for each value of a label, such as each account. */
  registerFamily(name: string, { type, labelName, read }: MetricFamily): void {
    this.registerSeries(name, type, () =>
      [...read()].map(({ label, value }) => [`${labelName}="${label}"`, value] as const),
    );
  }

  /** Registers a gauge whose value is read when the metrics are rendered. */
  registerGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Registers a counter whose value is read when the metrics are rendered. */
  registerCounter(name: string, read: () => number): void {
    this.counters.set(name, read);
  }

  /** Registers values by their labels, such as `service="desk"`, read when metrics are rendered. */
  registerSeries(
    name: string,
    type: 'counter' | 'gauge',
    read: () => Iterable<readonly [labels: string, value: number]>,
  ): void {
    this.labelled.set(name, { type, read });
  }

  /** Records a completed request. */
  record(trace: CallTrace, outcome: string, milliseconds: number): void {
    const series = this.seriesFor(trace);
    series.outcomes.set(outcome, (series.outcomes.get(outcome) ?? 0) + 1);
    series.completion.recordValue(Math.min(Math.max(1, milliseconds), MAXIMUM_MILLISECONDS));
    if (trace.firstByteMilliseconds !== undefined) {
      series.firstByte.recordValue(
        Math.min(Math.max(1, trace.firstByteMilliseconds), MAXIMUM_MILLISECONDS),
      );
    }
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    return [...this.lines(), ''].join('\n');
  }

  private seriesFor(trace: CallTrace): Series {
    const labels = `account="${trace.account ?? 'open'}",route="${trace.route || 'none'}"`;
    const key =
      this.series.has(labels) || this.series.size < MAXIMUM_SERIES
        ? labels
        : 'account="other",route="other"';
    let series = this.series.get(key);
    if (series === undefined) {
      series = { firstByte: makeHistogram(), completion: makeHistogram(), outcomes: new Map() };
      this.series.set(key, series);
    }
    return series;
  }

  private *lines(): Generator<string, void, void> {
    yield '# TYPE hickoryrelay_forwarded_total counter';
    for (const [labels, { outcomes }] of this.series) {
      for (const [outcome, count] of outcomes) {
        yield `hickoryrelay_forwarded_total{${labels},outcome="${outcome}"} ${count}`;
      }
    }
    for (const time of ['firstByte', 'completion'] as const) {
      const name = `hickoryrelay_${time === 'firstByte' ? 'first_byte' : 'completion'}_milliseconds`;
      yield `# TYPE ${name} summary`;
      for (const [labels, series] of this.series) {
        for (const quantile of QUANTILES) {
          const value = series[time].getValueAtPercentile(quantile * PERCENT);
          yield `${name}{${labels},quantile="${quantile}"} ${value}`;
        }
        yield `${name}_count{${labels}} ${series[time].totalCount}`;
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
    for (const [name, { type, read }] of this.labelled) {
      yield `# TYPE hickoryrelay_${name} ${type}`;
      for (const [labels, value] of read()) {
        yield `hickoryrelay_${name}{${labels}} ${value}`;
      }
    }
  }
}
