import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import { withoutEjected } from './Ejection.js';
import { canRun, SelectionPolicy } from './SelectionPolicy.js';
import type { EndpointPool } from './EndpointPool.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call, ModelCall } from 'hickoryrelay-link/Call';

/** What a sampled selection is made of. */
export interface SampledSelectionParts {
  readonly pool: EndpointPool;
  readonly ownZone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time until the first byte that a class of work allows, in milliseconds. */
  readonly latenessMilliseconds: (className: string) => number;
  readonly decodeTokens: (call: Call) => number;
  /** Extra time to an endpoint of another zone and back, in milliseconds. */
  readonly otherZoneMilliseconds: number;
}

/** More samples send more instances to the endpoint that a shared, late report shows as idle. */
const OWN_ZONE_SAMPLES = 3;
const OTHER_ZONE_SAMPLES = 2;

/** Engines with the best cached prefix are always looked at; a second one if the first is busy. */
const PREFIX_SAMPLES = 2;

/** Part of the expected decode time that is weighed against the wait for the first token. */
const DECODE_WEIGHT = 0.1;

/** A call that survives the loss of its engine waits this much longer for a cheaper one. */
const LASTING_PENALTY_MILLISECONDS = 100;

/** A call that does not survive it goes to a reclaimable engine only if the lasting ones are full. */
const RECLAIMABLE_PENALTY_MILLISECONDS = 5000;

/** A reclaim is announced a few seconds ahead; a call that ends by then is not touched by it. */
const SHORT_CALL_MILLISECONDS = 3000;

const MILLISECONDS_PER_SECOND = 1000;

/** Samples a few endpoints of the pool and yields them by the expected wait, then the others. */
export class SampledSelection extends SelectionPolicy {
  private readonly parts: SampledSelectionParts;

  constructor(parts: SampledSelectionParts) {
    super();
    this.parts = parts;
  }

  override *candidates(call: Call): Generator<Endpoint, void, void> {
    const now = this.parts.clock.monotonicMilliseconds();
    const members = this.parts.pool.membersFor(call).filter((each) => canRun(each, call));
    const usable = withoutEjected(members, now);
    const withRoom = usable.filter((endpoint) => endpoint.freeCapacity > 0);
    const sampled = this.sample(call, withRoom.length > 0 ? withRoom : usable);
    yield* this.byScore(call, sampled, now);
    const rest = usable.filter((endpoint) => !sampled.has(endpoint));
    yield* this.byScore(call, rest, now);
  }

  /** Expected time until the first token, with preferences in the same unit. */
  scoreOf(call: Call, endpoint: Endpoint, nowMilliseconds: number): number {
    const isOwnZone = endpoint.location.zone === this.parts.ownZone;
    const path = isOwnZone ? 0 : this.parts.otherZoneMilliseconds;
    const work =
      endpoint instanceof Engine && call.kind === WorkKind.Model
        ? this.engineMilliseconds(call, endpoint, nowMilliseconds)
        : endpoint.callsInFlight;
    return path + work + this.lossPenalty(call, endpoint, nowMilliseconds);
  }

  private engineMilliseconds(call: ModelCall, engine: Engine, nowMilliseconds: number): number {
    const { load, prefixIndex } = engine;
    const saved = prefixIndex.expectedCachedTokens(call.prefixKeys ?? []);
    const prefillTokens = Math.max(0, call.promptTokens - saved);
    const prefill = (prefillTokens / load.prefillRate) * MILLISECONDS_PER_SECOND;
    const decode = load.decodeMilliseconds(this.parts.decodeTokens(call));
    return load.queueWaitMilliseconds(nowMilliseconds) + prefill + decode * DECODE_WEIGHT;
  }

  private lossPenalty(call: Call, endpoint: Endpoint, nowMilliseconds: number): number {
    const { reclaimable } = endpoint.kind;
    if (this.survivesLoss(call, endpoint, nowMilliseconds)) {
      return reclaimable ? 0 : LASTING_PENALTY_MILLISECONDS;
    }
    return reclaimable ? RECLAIMABLE_PENALTY_MILLISECONDS : 0;
  }

  /** Short calls end within the notice; longer ones need time to start again elsewhere. */
  private survivesLoss(call: Call, endpoint: Endpoint, nowMilliseconds: number): boolean {
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
    const own: Endpoint[] = [];
    const others: Endpoint[] = [];
    for (const endpoint of endpoints) {
      (endpoint.location.zone === this.parts.ownZone ? own : others).push(endpoint);
    }
    const sampled = new Set(this.pick(own, OWN_ZONE_SAMPLES));
    for (const endpoint of this.pick(others, OTHER_ZONE_SAMPLES)) {
      sampled.add(endpoint);
    }
    for (const endpoint of SampledSelection.withPrefix(call, endpoints)) {
      sampled.add(endpoint);
    }
    return sampled;
  }

  /** Moves a random choice to the front of the list and returns it. */
  private pick(endpoints: Endpoint[], count: number): Endpoint[] {
    const picked = endpoints;
    const end = Math.min(count, picked.length);
    for (let index = 0; index < end; index += 1) {
      const other = index + this.parts.random.integerBelow(picked.length - index);
      const [left, right] = [picked[index], picked[other]];
      if (left !== undefined && right !== undefined) {
        picked[index] = right;
        picked[other] = left;
      }
    }
    return picked.slice(0, end);
  }

  private byScore(call: Call, endpoints: Iterable<Endpoint>, now: number): Endpoint[] {
    return [...endpoints]
      .map((endpoint) => ({ endpoint, score: this.scoreOf(call, endpoint, now) }))
      .sort((left, right) => left.score - right.score)
      .map(({ endpoint }) => endpoint);
  }

  private static withPrefix(call: Call, endpoints: readonly Endpoint[]): Endpoint[] {
    const keys = call.kind === WorkKind.Model ? (call.prefixKeys ?? []) : [];
    if (keys.length === 0) {
      return [];
    }
    return endpoints
      .map((endpoint) => ({
        endpoint,
        saved: endpoint instanceof Engine ? endpoint.prefixIndex.expectedCachedTokens(keys) : 0,
      }))
      .filter(({ saved }) => saved > 0)
      .sort((left, right) => right.saved - left.saved)
      .slice(0, PREFIX_SAMPLES)
      .map(({ endpoint }) => endpoint);
  }
}
