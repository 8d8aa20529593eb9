import { RateEstimate } from './RateEstimate.js';
import { RateKind } from './RateReport.js';
import { ServiceWork } from './ServiceWork.js';

import type { RateReport } from './RateReport.js';

const KINDS: readonly RateKind[] = Object.values(RateKind);

/**
 * Information in one observation of each kind. A prefill is long and depends on little but the engine;
 * the gaps between events depend on the batch, and the time of a response on the request.
 */
const KIND_WEIGHTS: readonly number[] = [4, 1, 1];

/** Further observations of one kind do not increase its weight against the other kinds. */
const MAXIMUM_KIND_OBSERVATIONS = 8;

/** Weight of the default speed of 1 against the observations. */
const DEFAULT_WEIGHT = 2;

/** Total weight from which a speed counts as learned. */
const LEARNED_WEIGHT = 4;

/** A speed without new observations returns to 1, so that an avoided endpoint is tried again. */
const RETENTION_MILLISECONDS = 180_000;

/**
 * Deviations from the median up to the first limit are normal variation, and count as none; from the
 * second they count in full. In octaves.
 */
const IGNORED_OCTAVES = 0.2;
const FULL_OCTAVES = 0.35;

/** Speeds are at most this factor from the median, in octaves. */
const MAXIMUM_OCTAVES = 3;

/** The rates of the median endpoint of a service, as binary logarithms by kind. */
export type MedianRates = readonly (number | undefined)[];

function withoutVariation(octaves: number): number {
  const magnitude = Math.min(MAXIMUM_OCTAVES, Math.abs(octaves));
  const fraction = (magnitude - IGNORED_OCTAVES) / (FULL_OCTAVES - IGNORED_OCTAVES);
  return Math.sign(octaves) * magnitude * Math.max(0, Math.min(1, fraction));
}

/** The speed of one incarnation of an endpoint, from the observations of all instances. */
export class EndpointSpeed {
  readonly endpoint: number;

  readonly service: string;

  /** What is known of the requests for the service. */
  readonly work: ServiceWork;

  /** Speed relative to the median endpoint of the service; 1 while unknown. */
  relative = 1;

  /** Prefill rate in tokens per millisecond; undefined while too few engines are known. */
  prefillRate: number | undefined;

  /** Expected milliseconds of a response of a service without engines; undefined while unknown. */
  responseMilliseconds: number | undefined;

  private readonly estimates: (RateEstimate | undefined)[] = [];

  constructor(endpoint: number, service: string, work = new ServiceWork()) {
    this.endpoint = endpoint;
    this.service = service;
    this.work = work;
  }

  /** The estimate of a kind; undefined without observations. */
  estimateOf(kind: RateKind): RateEstimate | undefined {
    return this.estimates[kind];
  }

  /** Records an observation of this instance or, as a mean of one or more, of peers. */
  add(kind: RateKind, logRate: number, weight: number, isFresh: boolean, now: number): void {
    const estimate = this.estimateFor(kind);
    if (isFresh && estimate.weight > 0) {
      estimate.addSlowdown(logRate, now);
    }
    estimate.add(logRate, weight, now);
  }

  /** Takes over a rate that a peer has learned, unless this instance knows more. */
  adopt({ kind, logRate, weight }: RateReport, now: number): void {
    this.estimateFor(kind).adopt(logRate, weight, now);
  }

  /** Factor by which responses are slower for the moment, at least 1. */
  slowdown(now: number): number {
    let octaves = 0;
    for (const estimate of this.estimates) {
      if (estimate !== undefined) {
        octaves = Math.max(octaves, estimate.slowdown(now));
      }
    }
    return octaves === 0 ? 1 : 2 ** octaves;
  }

  /** True if enough was observed to rely on the speed. */
  get isLearned(): boolean {
    return this.totalWeight() >= LEARNED_WEIGHT;
  }

  /** Time of the newest observation; undefined if there is none. */
  get observedAtMilliseconds(): number | undefined {
    return this.estimates.reduce<number | undefined>(
      (latest, estimate) =>
        estimate === undefined ? latest : Math.max(latest ?? 0, estimate.atMilliseconds),
      undefined,
    );
  }

  /** Expected relative deviation of the speed; 1 while it is unknown. */
  get relativeError(): number {
    let error = 1;
    for (const estimate of this.estimates) {
      if (estimate !== undefined && estimate.weight > 0) {
        error = Math.min(error, estimate.deviation / Math.sqrt(estimate.weight));
      }
    }
    return error;
  }

  /** Computes the speed relative to the median endpoint. */
  update(medians: MedianRates, now: number): void {
    let sum = 0;
    let totalWeight = 0;
    for (const kind of KINDS) {
      const estimate = this.estimates[kind];
      const median = medians[kind];
      if (estimate !== undefined && median !== undefined) {
        const age = Math.max(0, now - estimate.atMilliseconds);
        const weight =
          Math.min(MAXIMUM_KIND_OBSERVATIONS, estimate.weight) *
          (KIND_WEIGHTS[kind] ?? 0) *
          Math.exp(-age / RETENTION_MILLISECONDS);
        sum += weight * (estimate.logRate - median);
        totalWeight += weight;
      }
    }
    this.relative = 2 ** withoutVariation(sum / (totalWeight + DEFAULT_WEIGHT));
    const { [RateKind.Prefill]: prefill, [RateKind.Response]: response } = medians;
    this.prefillRate = prefill === undefined ? undefined : 2 ** prefill * this.relative;
    this.responseMilliseconds = response === undefined ? undefined : 2 ** -response / this.relative;
  }

  private totalWeight(): number {
    return KINDS.reduce<number>(
      (sum, kind) => sum + (this.estimates[kind]?.weight ?? 0) * (KIND_WEIGHTS[kind] ?? 0),
      0,
    );
  }

  private estimateFor(kind: RateKind): RateEstimate {
    const estimate = this.estimates[kind] ?? new RateEstimate();
    this.estimates[kind] = estimate;
    return estimate;
  }
}
