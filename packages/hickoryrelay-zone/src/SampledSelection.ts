import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import { excludeEjected } from './OutlierEjection.js';
import { canAcceptCall, SelectionPolicy } from './SelectionPolicy.js';
import type { EndpointPool } from './EndpointPool.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call, ModelCall } from 'hickoryrelay-link/Call';

/** Collaborators and settings of a sampled selection. */
export interface SampledSelectionParts {
  readonly pool: EndpointPool;
  readonly localZone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time to first byte that a class of work allows, in milliseconds. */
  readonly latenessMilliseconds: (className: string) => number;
  readonly decodeTokens: (call: Call) => number;
  /** Additional round-trip time to an endpoint of another zone, in milliseconds. */
  readonly crossZoneMilliseconds: number;
}

/**
 * With larger samples, more instances choose the same endpoint that a shared, delayed load report
 * shows as idle.
 */
const LOCAL_ZONE_SAMPLES = 3;
const REMOTE_ZONE_SAMPLES = 2;

/** Engines with the best cached prefix always join the sample; the second is for a busy first one. */
const PREFIX_SAMPLES = 2;

/** Weight of the expected decode time relative to the time to first token. */
const DECODE_WEIGHT = 0.1;

/** Additional wait that a call that tolerates the loss of its engine accepts for a cheaper engine. */
const ON_DEMAND_PENALTY_MILLISECONDS = 100;

/** Keeps calls that do not tolerate the loss off reclaimable engines unless all others are full. */
const RECLAIMABLE_PENALTY_MILLISECONDS = 5000;

/** The platform announces a reclaim a few seconds ahead; a shorter call completes before it. */
const SHORT_CALL_MILLISECONDS = 3000;

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Samples a few endpoints of the pool at random and yields them by expected wait, then the remaining
 * endpoints, also by expected wait. Endpoints without free capacity are sampled only if none has any.
 */
export class SampledSelection extends SelectionPolicy {
  private readonly parts: SampledSelectionParts;

  constructor(parts: SampledSelectionParts) {
    super();
    this.parts = parts;
  }

  override *candidates(call: Call): Generator<Endpoint, void, void> {
    const nowMilliseconds = this.parts.clock.monotonicMilliseconds();
    const eligible = this.parts.pool.membersFor(call).filter((each) => canAcceptCall(each, call));
    const usable = excludeEjected(eligible, nowMilliseconds);
    const withFreeCapacity = usable.filter((endpoint) => endpoint.freeCapacity > 0);
    const sampled = this.sample(call, withFreeCapacity.length > 0 ? withFreeCapacity : usable);
    yield* this.sortByScore(call, sampled, nowMilliseconds);
    const remaining = usable.filter((endpoint) => !sampled.has(endpoint));
    yield* this.sortByScore(call, remaining, nowMilliseconds);
  }

  /** Expected time to first token in milliseconds, plus penalties in the same unit. Lower is better. */
  scoreOf(call: Call, endpoint: Endpoint, nowMilliseconds: number): number {
    const isLocalZone = endpoint.location.zone === this.parts.localZone;
    const networkDelay = isLocalZone ? 0 : this.parts.crossZoneMilliseconds;
    const endpointDelay =
      endpoint instanceof Engine && call.kind === WorkKind.Model
        ? this.engineMilliseconds(call, endpoint, nowMilliseconds)
        : endpoint.callsInFlight;
    return networkDelay + endpointDelay + this.lossPenalty(call, endpoint, nowMilliseconds);
  }

  private engineMilliseconds(call: ModelCall, engine: Engine, nowMilliseconds: number): number {
    const { load, prefixIndex } = engine;
    const cachedTokens = prefixIndex.expectedCachedTokens(call.prefixKeys ?? []);
    const prefillTokens = Math.max(0, call.promptTokens - cachedTokens);
    const prefill = (prefillTokens / load.prefillRate) * MILLISECONDS_PER_SECOND;
    const decode = load.decodeMilliseconds(this.parts.decodeTokens(call));
    return load.queueWaitMilliseconds(nowMilliseconds) + prefill + decode * DECODE_WEIGHT;
  }

  private lossPenalty(call: Call, endpoint: Endpoint, nowMilliseconds: number): number {
    const { reclaimable } = endpoint.kind;
    if (this.toleratesLoss(call, endpoint, nowMilliseconds)) {
      return reclaimable ? 0 : ON_DEMAND_PENALTY_MILLISECONDS;
    }
    return reclaimable ? RECLAIMABLE_PENALTY_MILLISECONDS : 0;
  }

  /**
   * Returns whether the call stays within its target if the endpoint is reclaimed: it completes
   * within the reclaim notice, or the target leaves time to repeat the prefill elsewhere. A call that
   * is not idempotent cannot be repeated.
   */
  private toleratesLoss(call: Call, endpoint: Endpoint, nowMilliseconds: number): boolean {
    if (!call.isIdempotent) {
      return false;
    }
    if (call.kind !== WorkKind.Model || !(endpoint instanceof Engine)) {
      return true;
    }
    const { load } = endpoint;
    const prefill = (call.promptTokens / load.prefillRate) * MILLISECONDS_PER_SECOND;
    const duration = prefill + load.decodeMilliseconds(this.parts.decodeTokens(call));
    const target = this.parts.latenessMilliseconds(call.className);
    const slack = call.arrivalMilliseconds + target - nowMilliseconds;
    return duration <= SHORT_CALL_MILLISECONDS || slack >= 2 * prefill;
  }

  private sample(call: Call, endpoints: readonly Endpoint[]): Set<Endpoint> {
    const local: Endpoint[] = [];
    const remote: Endpoint[] = [];
    for (const endpoint of endpoints) {
      (endpoint.location.zone === this.parts.localZone ? local : remote).push(endpoint);
    }
    const sampled = new Set(this.pickRandom(local, LOCAL_ZONE_SAMPLES));
    for (const endpoint of this.pickRandom(remote, REMOTE_ZONE_SAMPLES)) {
      sampled.add(endpoint);
    }
    for (const endpoint of SampledSelection.withBestPrefix(call, endpoints)) {
      sampled.add(endpoint);
    }
    return sampled;
  }

  /** Partial Fisher-Yates shuffle in place: moves a random sample to the front and returns it. */
  private pickRandom(endpoints: Endpoint[], count: number): Endpoint[] {
    const shuffled = endpoints;
    const end = Math.min(count, shuffled.length);
    for (let index = 0; index < end; index += 1) {
      const randomIndex = index + this.parts.random.integerBelow(shuffled.length - index);
      const [left, right] = [shuffled[index], shuffled[randomIndex]];
      if (left !== undefined && right !== undefined) {
        shuffled[index] = right;
        shuffled[randomIndex] = left;
      }
    }
    return shuffled.slice(0, end);
  }

  private sortByScore(
    call: Call,
    endpoints: Iterable<Endpoint>,
    nowMilliseconds: number,
  ): Endpoint[] {
    return [...endpoints]
      .map((endpoint) => ({ endpoint, score: this.scoreOf(call, endpoint, nowMilliseconds) }))
      .sort((left, right) => left.score - right.score)
      .map(({ endpoint }) => endpoint);
  }

  private static withBestPrefix(call: Call, endpoints: readonly Endpoint[]): Endpoint[] {
    const keys = call.kind === WorkKind.Model ? (call.prefixKeys ?? []) : [];
    if (keys.length === 0) {
      return [];
    }
    return endpoints
      .map((endpoint) => ({
        endpoint,
        cachedTokens:
          endpoint instanceof Engine ? endpoint.prefixIndex.expectedCachedTokens(keys) : 0,
      }))
      .filter(({ cachedTokens }) => cachedTokens > 0)
      .sort((left, right) => right.cachedTokens - left.cachedTokens)
      .slice(0, PREFIX_SAMPLES)
      .map(({ endpoint }) => endpoint);
  }
}
