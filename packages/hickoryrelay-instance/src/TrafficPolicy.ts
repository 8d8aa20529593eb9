import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { EndpointCall } from 'hickoryrelay-zone/EndpointCall';
import { EndpointPool } from 'hickoryrelay-zone/EndpointPool';
import { EndpointSubset } from 'hickoryrelay-zone/EndpointSubset';
import { SampledSelection } from 'hickoryrelay-zone/SampledSelection';

import { AdmissionQueue } from './AdmissionQueue.js';
import { CallCostModel } from './CallCost.js';
import { PoolCapacity } from './PoolCapacity.js';
import type { TokenRates, WorkObserver } from './CallCost.js';
import type { RemoteUse } from './RemoteUse.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { ClassOfWork } from 'hickoryrelay-contract/ClassOfWork';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';
import type { Fleet } from 'hickoryrelay-zone/Fleet';
import type { SelectionPolicy } from 'hickoryrelay-zone/SelectionPolicy';

/** What the policies of one instance are made of. */
export interface TrafficPolicyParts {
  readonly instanceName: string;
  readonly zone: string;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly remoteUse: RemoteUse;
  readonly classOf: (className: string) => ClassOfWork | undefined;
  /** Most calls that wait for admission. */
  readonly queueLimit: number;
  readonly observeWork?: WorkObserver;
}

/** The zones of a region are 1.5 ms apart. */
const OTHER_ZONE_MILLISECONDS = 3;
const DEFAULT_LATENESS_MILLISECONDS = 10_000;
const RATES_INTERVAL_MILLISECONDS = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** Rates before the first engine is known. */
const DEFAULT_RATES: TokenRates = { prefillMilliseconds: 0.05, decodeMilliseconds: 1.5 };

/** Admission and selection of one instance, over the endpoints that it uses. */
export class TrafficPolicy {
  readonly pool: EndpointPool;

  readonly costs: CallCostModel;

  readonly admission: AdmissionQueue;

  readonly selection: SelectionPolicy;

  private readonly parts: TrafficPolicyParts;

  private rates = DEFAULT_RATES;

  private ratesMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(parts: TrafficPolicyParts) {
    this.parts = parts;
    const { clock, fleet, random, remoteUse, zone } = parts;
    const latenessMilliseconds = (className: string) =>
      parts.classOf(className)?.latenessMilliseconds ?? DEFAULT_LATENESS_MILLISECONDS;
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
      remoteUse,
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
      crossZoneMilliseconds: OTHER_ZONE_MILLISECONDS,
    });
  }

  /** Begins an attempt to run the call at the endpoint. */
  begin(endpoint: Endpoint, call: Call): EndpointCall {
    const lateness = this.parts.classOf(call.className)?.targets.lateness ?? {};
    return new EndpointCall(endpoint, call, lateness, this.parts.clock);
  }

  /** The call may be sent to the engine with the best cached prefix, so that one counts. */
  private cachedTokens(call: Call): number {
    const keys = call.kind === WorkKind.Model ? (call.prefixKeys ?? []) : [];
    if (keys.length === 0) {
      return 0;
    }
    let most = 0;
    for (const endpoint of this.pool.membersFor(call)) {
      if (endpoint instanceof Engine) {
        most = Math.max(most, endpoint.prefixIndex.expectedCachedTokens(keys));
      }
    }
    return most;
  }

  /** The average over the engines in use. */
  private currentRates(): TokenRates {
    const now = this.parts.clock.monotonicMilliseconds();
    if (now - this.ratesMilliseconds >= RATES_INTERVAL_MILLISECONDS) {
      this.ratesMilliseconds = now;
      const loads = this.pool.members.flatMap((each) =>
        each instanceof Engine ? [each.load] : [],
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
