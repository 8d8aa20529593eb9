import { AdmissionQueue } from 'hickoryrelay-admission/AdmissionQueue';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { EndpointCall } from 'hickoryrelay-zone/EndpointCall';
import { EndpointPool } from 'hickoryrelay-zone/EndpointPool';
import { EndpointSubset } from 'hickoryrelay-zone/EndpointSubset';
import { SampledSelection } from 'hickoryrelay-zone/SampledSelection';

import { CallCostModel } from './CallCostModel.js';
import { PoolCapacity } from './PoolCapacity.js';
import type { TokenRates, WorkObserver } from './CallCostModel.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { RemoteUsage } from 'hickoryrelay-admission/RemoteUsage';
import type { ClassOfWork } from 'hickoryrelay-contract/ClassOfWork';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';
import type { Fleet } from 'hickoryrelay-zone/Fleet';
import type { SelectionPolicy } from 'hickoryrelay-zone/SelectionPolicy';

/** Dependencies and limits of an instance's traffic policy. */
export interface TrafficPolicyParts {
  readonly instanceName: string;
  readonly zone: string;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly remoteUsage: RemoteUsage;
  readonly classOf: (className: string) => ClassOfWork | undefined;
  /** Maximum number of calls queued for admission. */
  readonly queueLimit: number;
  readonly observeWork?: WorkObserver;
}

/** Round trip between zones of a region, which are 1.5 ms apart one way. */
const CROSS_ZONE_ROUND_TRIP_MILLISECONDS = 3;
const DEFAULT_LATENESS_MILLISECONDS = 10_000;
const RATES_REFRESH_INTERVAL_MILLISECONDS = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** Used until the first engine is known. */
const DEFAULT_RATES: TokenRates = { prefillMilliseconds: 0.05, decodeMilliseconds: 1.5 };

/** Admission control and endpoint selection of one instance, over its subset of the endpoints. */
export class TrafficPolicy {
  readonly pool: EndpointPool;

  readonly costs: CallCostModel;

  readonly admission: AdmissionQueue<Call>;

  readonly selection: SelectionPolicy;

  private readonly parts: TrafficPolicyParts;

  private rates = DEFAULT_RATES;

  private ratesUpdatedMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(parts: TrafficPolicyParts) {
    this.parts = parts;
    const { clock, fleet, random, remoteUsage, zone } = parts;
    const latenessMilliseconds = (className: string) =>
      parts.classOf(className)?.latenessTargetMilliseconds ?? DEFAULT_LATENESS_MILLISECONDS;
    this.pool = new EndpointPool(new EndpointSubset(parts.instanceName, zone), fleet);
    this.costs = new CallCostModel(
      () => this.currentRates(),
      (call) => this.cachedTokens(call),
      parts.observeWork,
    );
    this.admission = new AdmissionQueue({
      clock,
      costs: this.costs,
      capacity: new PoolCapacity(this.pool, fleet, clock),
      remoteUsage,
      latenessMilliseconds,
      limit: parts.queueLimit,
    });
    this.selection = new SampledSelection({
      pool: this.pool,
      localZone: zone,
      clock,
      random,
      latenessMilliseconds,
      decodeTokens: (call) => this.costs.decodeTokens(call),
      crossZoneMilliseconds: CROSS_ZONE_ROUND_TRIP_MILLISECONDS,
    });
  }

  /** Starts tracking an attempt to run the call at the endpoint. */
  beginAttempt(endpoint: Endpoint, call: Call): EndpointCall {
    const lateness = this.parts.classOf(call.className)?.targets.lateness ?? {};
    return new EndpointCall(endpoint, call, lateness, this.parts.clock);
  }

  /**
   * Length of the longest cached prefix, since the call may be routed to the engine that holds it.
   */
  private cachedTokens(call: Call): number {
    const keys = call.kind === WorkKind.Model ? (call.prefixKeys ?? []) : [];
    if (keys.length === 0) {
      return 0;
    }
    let longestPrefix = 0;
    for (const endpoint of this.pool.membersFor(call)) {
      if (endpoint instanceof Engine) {
        longestPrefix = Math.max(longestPrefix, endpoint.prefixIndex.expectedCachedTokens(keys));
      }
    }
    return longestPrefix;
  }

  /** Average rates of the engines in use, refreshed at most once per interval. */
  private currentRates(): TokenRates {
    const now = this.parts.clock.monotonicMilliseconds();
    if (now - this.ratesUpdatedMilliseconds >= RATES_REFRESH_INTERVAL_MILLISECONDS) {
      this.ratesUpdatedMilliseconds = now;
      const loads = this.pool.members.flatMap((endpoint) =>
        endpoint instanceof Engine ? [endpoint.load] : [],
      );
      if (loads.length > 0) {
        const average = (rates: number[]) =>
          rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
        this.rates = {
          prefillMilliseconds:
            MILLISECONDS_PER_SECOND / average(loads.map(({ prefillRate }) => prefillRate)),
          decodeMilliseconds:
            MILLISECONDS_PER_SECOND / average(loads.map(({ decodeRate }) => decodeRate)),
        };
      }
    }
    return this.rates;
  }
}
