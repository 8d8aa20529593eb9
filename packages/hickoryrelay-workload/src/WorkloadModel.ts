import { EndpointSpeed } from './EndpointSpeed.js';
import { isPlausibleRate, MAXIMUM_REPORT_WEIGHT, RateKind, ReportAge } from './RateReport.js';
import { RateReportQueue } from './RateReportQueue.js';
import { ServiceWork } from './ServiceWork.js';

import type { MedianRates } from './EndpointSpeed.js';
import type { Estimate } from './Estimate.js';
import type { RateReport } from './RateReport.js';

/** The time of a smaller prefill depends more on the network than on the engine. */
const MINIMUM_PREFILL_TOKENS = 2000;

/** Network time within the duration of a remote prefill. */
const PREFILL_NETWORK_MILLISECONDS = 8;

/** The mean gap of a shorter stream depends more on the network than on the engine. */
const MINIMUM_EVENT_GAPS = 8;

/** With fewer known endpoints of a service, the median says nothing about the others. */
const MINIMUM_KNOWN_ENDPOINTS = 3;

/** Minimum time between two computations of the median rates, which sort all known rates. */
const UPDATE_PERIOD_MILLISECONDS = 250;

/** The computation takes 2.3 ms for 7,200 endpoints, so the time grows with them to about 1 s. */
const UPDATE_PERIOD_MILLISECONDS_PER_ENDPOINT = 0.15;

/** An observation that differs more from the median is a fault, in octaves. */
const MAXIMUM_DEVIATION_OCTAVES = 5;

/** Learned rates are sent for this long after the number of instances has grown. */
const ANNOUNCEMENT_MILLISECONDS = 3000;

/** Learned speeds between these fractions of the endpoints make up the spread. */
const SPREAD_FRACTIONS = { low: 0.1, high: 0.9 } as const;

/** Callers choose the instances of their zone at random, so that their requests vary about as much. */
const OWN_ZONE_DEMAND_ERROR = 0.3;

const NO_LOAD: Estimate = {
  value: 0,
  ageMilliseconds: Number.POSITIVE_INFINITY,
  relativeError: 1,
};

const KINDS: readonly RateKind[] = Object.values(RateKind);

const MILLISECONDS_PER_SECOND = 1000;

/** Load of all instances on an endpoint. */
export interface EndpointLoadEstimates {
  /** Requests in flight, including the estimate of unreported ones. */
  estimateRunning(now: number): Estimate;
  /** Prompt tokens being prefilled. */
  estimatePrefillTokens(now: number): Estimate;
}

/** Counts for operators. */
export interface SpeedSummary {
  readonly learnedEndpoints: number;
  /** Endpoints for which the default speed is used. */
  readonly defaultEndpoints: number;
  /** Ratio of the 90th to the 10th percentile of the learned speeds; 1 without any. */
  readonly spread: number;
}

/**
 * What this instance knows of the work and the free capacity of endpoints, from its own observations
 * and from the reports of its peers. Figures without enough information are defaults. Designed for
 * 7,200 endpoints whose speeds differ by a factor of three and change for less than a second at a time.
 */
export class WorkloadModel {
  private speeds = new Map<number, EndpointSpeed>();

  private byService = new Map<string, EndpointSpeed[]>();

  private medians = new Map<string, MedianRates>();

  private readonly pending = new RateReportQueue();

  private readonly works = new Map<string, ServiceWork>();

  private peers = 0;

  /** Instances by zone, including this one. */
  private instances: ReadonlyMap<string, number> = new Map();

  private zone: string | undefined;

  private readonly findLoad: (endpointHash: number) => EndpointLoadEstimates | undefined;

  private announcesUntilMilliseconds = Number.NEGATIVE_INFINITY;

  /** Learned rates that are yet to be sent in the current rotation. */
  private rotation: Iterator<RateReport, void> | undefined;

  private updatedAtMilliseconds = Number.NEGATIVE_INFINITY;

  private isStale = false;

  /** @param findLoad Returns the load on an endpoint; undefined if it is not registered. */
  constructor(
    findLoad: (endpointHash: number) => EndpointLoadEstimates | undefined = () => undefined,
  ) {
    this.findLoad = findLoad;
  }

  /** Registers an endpoint. Returns its speed, which is updated with new observations. */
  track(endpointHash: number, service: string): EndpointSpeed {
    const known = this.speeds.get(endpointHash);
    if (known !== undefined && known.service === service) {
      return known;
    }
    const speed = new EndpointSpeed(endpointHash, service, this.workOf(service));
    this.speeds.set(endpointHash, speed);
    const others = this.byService.get(service) ?? [];
    this.byService.set(service, [
      ...others.filter(({ endpoint }) => endpoint !== endpointHash),
      speed,
    ]);
    return speed;
  }

  /** Discards the endpoints that are not among the given ones. */
  retain(endpointHashes: { has(endpointHash: number): boolean }): void {
    let hasDiscarded = false;
    for (const endpoint of this.speeds.keys()) {
      if (!endpointHashes.has(endpoint)) {
        this.speeds.delete(endpoint);
        hasDiscarded = true;
      }
    }
    if (hasDiscarded) {
      this.byService = new Map(
        [...this.byService]
          .map(
            ([service, speeds]) =>
              [
                service,
                speeds.filter((speed) => this.speeds.get(speed.endpoint) === speed),
              ] as const,
          )
          .filter(([, speeds]) => speeds.length > 0),
      );
      this.isStale = true;
    }
  }

  /** Speed relative to the median endpoint of its service; 1 while unknown. */
  speedOf(endpointHash: number, now: number): Estimate {
    return this.estimateOf(endpointHash, now, ({ relative }) => relative);
  }

  /** Current slowdown factor, at least 1. */
  slowdownOf(endpointHash: number, now: number): Estimate {
    return this.estimateOf(endpointHash, now, (speed) => speed.slowdown(now));
  }

  /** Requests in flight of all instances, including the estimate of unreported ones. */
  runningAt(endpointHash: number, now: number): Estimate {
    return this.findLoad(endpointHash)?.estimateRunning(now) ?? NO_LOAD;
  }

  /** Prompt tokens being read, of all instances. */
  prefillTokensAt(endpointHash: number, now: number): Estimate {
    return this.findLoad(endpointHash)?.estimatePrefillTokens(now) ?? NO_LOAD;
  }

  /** Requests a second that arrive for a service in a zone. */
  demandOf(service: string, zone: string, now: number): Estimate {
    const perMillisecond = this.works.get(service)?.requestsPerMillisecond(now) ?? 0;
    return this.zoneEstimate(perMillisecond, zone);
  }

  /** Prompt tokens a second that arrive for a service in a zone. */
  promptDemandOf(service: string, zone: string, now: number): Estimate {
    const perMillisecond = this.works.get(service)?.promptTokensPerMillisecond(now) ?? 0;
    return this.zoneEstimate(perMillisecond, zone);
  }

  /** Records a remote prefill that had no other prefill queued before it. */
  recordPrefill(endpointHash: number, tokens: number, milliseconds: number, now: number): void {
    if (tokens >= MINIMUM_PREFILL_TOKENS) {
      const duration = Math.max(1, milliseconds - PREFILL_NETWORK_MILLISECONDS);
      this.recordOwn(endpointHash, RateKind.Prefill, tokens / duration, now);
    }
  }

  /** Records a stream of events, with the time between its first and its last event. */
  recordStream(endpointHash: number, gaps: number, milliseconds: number, now: number): void {
    if (gaps >= MINIMUM_EVENT_GAPS) {
      this.recordOwn(endpointHash, RateKind.Decode, gaps / Math.max(1, milliseconds), now);
    }
  }

  /** Records the time of a complete response of a service without engines. */
  recordResponse(endpointHash: number, milliseconds: number, now: number): void {
    this.recordOwn(endpointHash, RateKind.Response, 1 / Math.max(1, milliseconds), now);
  }

  /** Applies the reports of peers. Ignores unknown endpoints and implausible rates. */
  receive(reports: readonly RateReport[], now: number): void {
    for (const report of reports) {
      const speed = this.speeds.get(report.endpoint);
      if (speed !== undefined && this.isPlausible(speed, report.kind, report.logRate)) {
        if (report.age === ReportAge.Learned) {
          speed.adopt(report, now);
        } else {
          const isFresh = report.age === ReportAge.Fresh;
          speed.add(report.kind, report.logRate, report.weight, isFresh, now);
        }
        this.isStale = true;
      }
    }
    this.update(now);
  }

  /** Removes and returns own observations to send to peers, up to the limit. */
  takeReports(maximumReports: number, now: number): RateReport[] {
    return this.pending.take(maximumReports, now);
  }

  /**
   * Sets the zones of the other instances and of this one. Learned rates are announced when there are
   * more instances than before.
   */
  setInstances(peerZones: Iterable<string>, zone: string, now: number): void {
    const instances = new Map([[zone, 1]]);
    let peers = 0;
    for (const peerZone of peerZones) {
      instances.set(peerZone, (instances.get(peerZone) ?? 0) + 1);
      peers += 1;
    }
    if (peers > this.peers) {
      this.announcesUntilMilliseconds = now + ANNOUNCEMENT_MILLISECONDS;
    }
    this.peers = peers;
    this.instances = instances;
    this.zone = zone;
    for (const work of this.works.values()) {
      work.zonePeers = this.zonePeers;
    }
  }

  /**
   * Returns learned rates to send along with a number of observed ones, in rotation. While the number
   * of instances grows, these are as many as the limit; afterwards one for each message with observed
   * rates, for instances that missed the others.
   */
  takeLearnedReports(maximumReports: number, observedReports: number, now: number): RateReport[] {
    const isAnnouncing = now <= this.announcesUntilMilliseconds;
    const count = isAnnouncing ? maximumReports : Math.min(1, observedReports);
    const reports: RateReport[] = [];
    if (count > 0) {
      this.rotation ??= this.learnedReports();
      while (reports.length < count) {
        const next = this.rotation.next();
        if (next.done === true) {
          this.rotation = undefined;
          break;
        }
        reports.push(next.value);
      }
    }
    return reports;
  }

  /** Computes the speeds from new observations, at most once in the update period. */
  update(now: number): void {
    const period = Math.max(
      UPDATE_PERIOD_MILLISECONDS,
      this.speeds.size * UPDATE_PERIOD_MILLISECONDS_PER_ENDPOINT,
    );
    if (!this.isStale || now - this.updatedAtMilliseconds < period) {
      return;
    }
    this.isStale = false;
    this.updatedAtMilliseconds = now;
    for (const [service, speeds] of this.byService) {
      const medians = KINDS.map((kind) => WorkloadModel.medianOf(speeds, kind));
      this.medians.set(service, medians);
      speeds.forEach((speed) => speed.update(medians, now));
    }
  }

  /** Requests that endpoints have rejected, by service: errors of the estimated load. */
  *rejections(): Generator<[service: string, count: number], void, void> {
    for (const [service, { rejections }] of this.works) {
      yield [service, rejections];
    }
  }

  /** The endpoints whose speeds have been learned. */
  *learnedSpeeds(): Generator<EndpointSpeed, void, void> {
    for (const speed of this.speeds.values()) {
      if (speed.isLearned) {
        yield speed;
      }
    }
  }

  /** Counts the endpoints with learned and with default speeds. */
  summarize(): SpeedSummary {
    const learned = [...this.learnedSpeeds()]
      .map(({ relative }) => relative)
      .toSorted((left, right) => left - right);
    const at = (fraction: number) => learned[Math.floor((learned.length - 1) * fraction)] ?? 1;
    return {
      learnedEndpoints: learned.length,
      defaultEndpoints: this.speeds.size - learned.length,
      spread: at(SPREAD_FRACTIONS.high) / at(SPREAD_FRACTIONS.low),
    };
  }

  private *learnedReports(): Generator<RateReport, void, void> {
    for (const speed of [...this.speeds.values()]) {
      const { endpoint, isLearned } = speed;
      if (isLearned) {
        for (const kind of KINDS) {
          const estimate = speed.estimateOf(kind);
          if (estimate !== undefined && estimate.weight > 0) {
            const { logRate } = estimate;
            const weight = Math.min(MAXIMUM_REPORT_WEIGHT, estimate.weight);
            yield { endpoint, kind, age: ReportAge.Learned, logRate, weight };
          }
        }
      }
    }
  }

  private recordOwn(endpoint: number, kind: RateKind, rate: number, now: number): void {
    const speed = this.speeds.get(endpoint);
    const logRate = Math.log2(rate);
    if (speed === undefined || !this.isPlausible(speed, kind, logRate)) {
      return;
    }
    speed.add(kind, logRate, 1, true, now);
    this.pending.add({ endpoint, kind, age: ReportAge.Fresh, logRate, weight: 1 }, now);
    this.isStale = true;
    this.update(now);
  }

  private workOf(service: string): ServiceWork {
    const work = this.works.get(service) ?? new ServiceWork();
    work.zonePeers = this.zonePeers;
    this.works.set(service, work);
    return work;
  }

  private get zonePeers(): number {
    return this.zone === undefined ? 0 : (this.instances.get(this.zone) ?? 1) - 1;
  }

  /** Assumes that each instance gets as many requests as this one, which holds best in its zone. */
  private zoneEstimate(perMillisecond: number, zone: string): Estimate {
    const isOwnZone = zone === this.zone;
    return {
      value: perMillisecond * MILLISECONDS_PER_SECOND * (this.instances.get(zone) ?? 0),
      ageMilliseconds: 0,
      relativeError: isOwnZone && perMillisecond > 0 ? OWN_ZONE_DEMAND_ERROR : 1,
    };
  }

  private isPlausible({ service }: EndpointSpeed, kind: RateKind, logRate: number): boolean {
    const median = this.medians.get(service)?.[kind] ?? logRate;
    return (
      isPlausibleRate(kind, logRate) && Math.abs(logRate - median) <= MAXIMUM_DEVIATION_OCTAVES
    );
  }

  private estimateOf(
    endpointHash: number,
    now: number,
    read: (speed: EndpointSpeed) => number,
  ): Estimate {
    const speed = this.speeds.get(endpointHash);
    const observedAt = speed?.observedAtMilliseconds;
    return speed === undefined || observedAt === undefined
      ? { value: 1, ageMilliseconds: Number.POSITIVE_INFINITY, relativeError: 1 }
      : {
          value: read(speed),
          ageMilliseconds: Math.max(0, now - observedAt),
          relativeError: speed.relativeError,
        };
  }

  /**
   * The rate of the median endpoint, as the mean of the middle half: where endpoints are of a few
   * distinct speeds, the median itself changes from one of them to the next with a single endpoint.
   */
  private static medianOf(speeds: readonly EndpointSpeed[], kind: RateKind): number | undefined {
    const rates = new Float64Array(speeds.length);
    let count = 0;
    for (const speed of speeds) {
      const estimate = speed.estimateOf(kind);
      if (estimate !== undefined && estimate.weight > 0) {
        rates[count] = estimate.logRate;
        count += 1;
      }
    }
    if (count < MINIMUM_KNOWN_ENDPOINTS) {
      return undefined;
    }
    const middle = rates
      .subarray(0, count)
      .toSorted()
      .subarray(Math.floor(count / 4), Math.ceil((count * 3) / 4));
    return middle.reduce((sum, rate) => sum + rate, 0) / middle.length;
  }
}
