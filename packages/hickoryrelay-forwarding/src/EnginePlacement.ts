import { hashString, mixHashes } from 'hickoryrelay/RendezvousUtils';
import { StaleLoadSelection } from 'hickoryrelay-workload/StaleLoadSelection';

import { EngineStage } from './EndpointRecord.js';
import {
  CROSS_ZONE_PENALTY_MILLISECONDS,
  eligibleEndpoints,
  FAILURE_PENALTY_MILLISECONDS,
  headroom,
  SLOT_WAIT_MILLISECONDS,
} from './ServicePlacement.js';

import type { EndpointState } from './EndpointState.js';
import type { PromptSegment } from './ForwardedRequest.js';
import type { PrefillRate } from './PrefillRate.js';
import type { PromptCacheDirectory } from './PromptCacheDirectory.js';
import type { PlacementContext } from './ServicePlacement.js';

/** Fixed cost of a remote prefill: two calls, and the setup of the KV cache transfer. */
const REMOTE_PREFILL_OVERHEAD_MILLISECONDS = 14;

/** Time to transfer the KV cache of a thousand tokens to another engine. */
const TRANSFER_MILLISECONDS_PER_THOUSAND_TOKENS = 1.5;

/** Setup time of fetching a cached segment from another engine. */
const FETCH_SETUP_MILLISECONDS = 5;

/** Delay that each running request adds to the first token of another request in the batch. */
const BATCH_DELAY_MILLISECONDS = 1.5;

/** Fraction of a local prefill's duration by which it delays each running request. */
const INTERFERENCE_FRACTION = 0.1;

/**
 * Local prefills up to this duration do not count as interference: they delay one event of the
 * running requests by a fraction of the gap that is allowed between events.
 */
const TOLERATED_PREFILL_MILLISECONDS = 40;

/** A smaller shared segment is recomputed rather than tracked in the caches. */
const MINIMUM_SHARED_TOKENS = 1000;

/** Cost of an engine other than the preferred one, in addition to the prefill time. */
const AFFINITY_PENALTY_MILLISECONDS = 15;

/**
 * Highest additional cost of a prefill engine other than the preferred one, in the order of rendezvous
 * weights. Equally idle engines would otherwise be tried in one order for all segments, so that many
 * instances send their prompts to the same one. The prefill of the rest of a long prompt takes about
 * twice as long.
 */
const AFFINITY_SPREAD_MILLISECONDS = 40;

/** Number of different hashes. */
const HASH_RANGE = 2 ** 32;

/**
 * Cost of caching a segment on a second engine, in addition to the time to fetch it. The copy
 * evicts other segments, which then have to be recomputed. At this cost, a request queues behind
 * one other prefill at the holder before the segment is copied.
 */
const CACHE_COPY_PENALTY_MILLISECONDS = 100;

/**
 * Cost of a prompt that does not fit in the KV cache, in addition to the time to compute as many tokens
 * of the request that it preempts. As for a segment that is evicted.
 */
const PREEMPTION_PENALTY_MILLISECONDS = 100;

/** Random cost that keeps instances with the same view from choosing the same engine. */
const JITTER_MILLISECONDS = 4;

/** Weight of an engine's recent delay beyond the expected. */
const EXCESS_DELAY_WEIGHT = 0.7;

/** The engines that prefill a prompt and generate its response. */
export interface GenerationPlan {
  /** The decode engine. */
  readonly engine: EndpointState;
  /** Undefined for a local prefill, which the decode engine does itself. */
  readonly prefillEngine: EndpointState | undefined;
  /** Tokens that are expected to be computed, since they are not cached. */
  readonly prefillTokens: number;
  /** Has the shared segment in its cache, for an engine that has to fetch it before the prefill. */
  readonly source: EndpointState | undefined;
  /** Expected duration of the prefill on an idle engine. */
  readonly prefillMilliseconds: number;
  /** Expected time until the first token. */
  readonly firstTokenMilliseconds: number;
  /** Expected time until the first token, plus the cost to other requests; ranks the plans. */
  readonly costMilliseconds: number;
}

/** A prompt segment that is large enough to concentrate on few engines. */
export interface SharedSegment {
  readonly hash: number;
  readonly tokens: number;
}

/** The size of a prompt and its largest shared segment. */
export interface PromptSummary {
  readonly tokens: number;
  /** Undefined if all shared segments are small. */
  readonly shared: SharedSegment | undefined;
}

/** The last segment belongs to the request itself, so it is not counted as shared. */
export function summarizePrompt(segments: readonly PromptSegment[]): PromptSummary {
  const tokens = segments.reduce((sum, segment) => sum + segment.tokens, 0);
  const largest = segments
    .slice(0, -1)
    .reduce<PromptSegment | undefined>(
      (known, segment) => (segment.tokens > (known?.tokens ?? 0) ? segment : known),
      undefined,
    );
  if (largest === undefined || largest.tokens < MINIMUM_SHARED_TOKENS) {
    return { tokens, shared: undefined };
  }
  return { tokens, shared: { hash: hashString(largest.identifier), tokens: largest.tokens } };
}

/** The work for an engine to have a prompt in its KV cache. */
interface PrefillEstimate {
  readonly prefillTokens: number;
  readonly source: EndpointState | undefined;
  /** Time to fetch the cached segment from the source. */
  readonly fetchMilliseconds: number;
}

/** What the decode engines of one software version can do with KV cache from other engines. */
interface VersionChoice {
  /** Has the shared segment in its cache. */
  readonly source: EndpointState | undefined;
  readonly remotePrefill: PrefillCandidate | undefined;
}

/** A prefill engine with its expected cost. */
interface PrefillCandidate extends PrefillEstimate {
  readonly prefillEngine: EndpointState;
  /** Expected duration of the fetch and the prefill. */
  readonly milliseconds: number;
  /** Expected time in the queue, plus penalties. */
  readonly waitMilliseconds: number;
}

const NO_CHOICE: VersionChoice = { source: undefined, remotePrefill: undefined };

function softwareVersionOf({ record }: EndpointState): string | undefined {
  return record.softwareVersion;
}

/**
 * Chooses the engine that prefills a prompt and the engine that generates the response. The prefill
 * is remote, on a prefill engine that transfers the KV cache, or local, on the decode engine
 * itself. KV cache is moved only between engines of one software version, since another one cannot use it.
 *
 * Rendezvous hashing maps a large shared segment to the same prefill engine and the same decode
 * engine on all instances, so that it is computed once and found in the cache afterwards. Load and
 * distance can outweigh this affinity. The costs are set for long prompts with shared segments
 * mixed with short prompts, in proportions that change within seconds.
 */
export class EnginePlacement {
  private readonly directory: PromptCacheDirectory;

  private readonly prefillRate: PrefillRate;

  private readonly selection = new StaleLoadSelection();

  constructor(directory: PromptCacheDirectory, prefillRate: PrefillRate) {
    this.directory = directory;
    this.prefillRate = prefillRate;
  }

  /**
   * Returns the plan with the lowest cost, or undefined if there is no decode engine. Prompts without a
   * large shared segment are distributed by `StaleLoadSelection`.
   */
  plan(
    states: readonly EndpointState[],
    prompt: PromptSummary,
    isLate: boolean,
    context: PlacementContext,
  ): GenerationPlan | undefined {
    const decodeEngines = eligibleEndpoints(
      states.filter(({ record }) => record.stage !== EngineStage.Prefill),
      context,
    );
    const prefillEngines = eligibleEndpoints(
      states.filter(({ record }) => record.stage === EngineStage.Prefill),
      context,
    );
    const preferredEngine = this.findPreferredEngine(decodeEngines, prompt);
    const choices = new Map<string | undefined, VersionChoice>();
    for (const version of new Set(decodeEngines.map(softwareVersionOf))) {
      const isOfVersion = (state: EndpointState) => softwareVersionOf(state) === version;
      const source = this.findCacheSource(states.filter(isOfVersion), prompt, context);
      const engines = prefillEngines.filter(isOfVersion);
      const remotePrefill = this.choosePrefillEngine(engines, prompt, source, isLate, context);
      choices.set(version, { source, remotePrefill });
    }
    this.selection.begin();
    for (const engine of decodeEngines) {
      const { source, remotePrefill } = choices.get(softwareVersionOf(engine)) ?? NO_CHOICE;
      const decodeCost = this.decodeCost(engine, prompt, context);
      const localCost =
        decodeCost +
        this.localPrefillCost(
          engine,
          this.estimatePrefill(engine, prompt, source, context),
          context,
        );
      const remoteCost =
        remotePrefill === undefined
          ? Number.POSITIVE_INFINITY
          : decodeCost + this.remotePrefillCost(prompt, engine === preferredEngine, remotePrefill);
      this.addCandidate(engine, Math.min(localCost, remoteCost), prompt, context);
    }
    const chosen = this.choose(decodeEngines, prompt, context);
    if (chosen === undefined) {
      return undefined;
    }
    const { source, remotePrefill } = choices.get(softwareVersionOf(chosen)) ?? NO_CHOICE;
    return this.planFor(chosen, prompt, source, remotePrefill, chosen === preferredEngine, context);
  }

  /** Chooses the engine that receives the KV cache of a prefilled prompt, if there is any. */
  chooseDecodeEngine(
    states: readonly EndpointState[],
    prompt: PromptSummary,
    context: PlacementContext,
  ): EndpointState | undefined {
    const decodeEngines = eligibleEndpoints(
      states.filter(({ record }) => record.stage !== EngineStage.Prefill),
      context,
    );
    const preferredEngine = this.findPreferredEngine(decodeEngines, prompt);
    this.selection.begin();
    for (const engine of decodeEngines) {
      const affinityCost =
        preferredEngine === undefined || engine === preferredEngine
          ? 0
          : AFFINITY_PENALTY_MILLISECONDS;
      const cost = this.decodeCost(engine, prompt, context) + affinityCost;
      this.addCandidate(engine, cost, prompt, context);
    }
    return this.choose(decodeEngines, prompt, context);
  }

  /** Adds a decode engine with the expected cost of a request to the choice. */
  private addCandidate(
    engine: EndpointState,
    costMilliseconds: number,
    { tokens }: PromptSummary,
    { now, cacheCapacityTokens, random }: PlacementContext,
  ): void {
    const freeSlots = engine.record.slots - engine.expectedRunning(now) - headroom(engine, now);
    const fittingPrompts =
      cacheCapacityTokens > 0
        ? (cacheCapacityTokens - engine.totalOccupiedTokens) / Math.max(1, tokens)
        : Number.POSITIVE_INFINITY;
    const slowness = engine.speed.slowdown(now) / engine.speed.relative;
    this.selection.add(
      costMilliseconds + random.fraction() * JITTER_MILLISECONDS,
      BATCH_DELAY_MILLISECONDS * slowness,
      Math.min(freeSlots, fittingPrompts),
      (BATCH_DELAY_MILLISECONDS + SLOT_WAIT_MILLISECONDS) * slowness,
    );
  }

  /**
   * Chooses one of the added engines. Prompts with a large shared segment are not distributed, as the
   * segment would be computed on each engine that gets one of them.
   */
  private choose(
    engines: readonly EndpointState[],
    { shared }: PromptSummary,
    { now, random }: PlacementContext,
  ): EndpointState | undefined {
    const unreportedRequests =
      shared === undefined ? (engines[0]?.unreportedRequests(now) ?? 0) : 0;
    return engines[this.selection.choose(unreportedRequests, random)];
  }

  /** The cheaper plan with one decode engine: a local prefill, or the best remote one. */
  private planFor(
    engine: EndpointState,
    prompt: PromptSummary,
    source: EndpointState | undefined,
    remotePrefill: PrefillCandidate | undefined,
    isPreferred: boolean,
    context: PlacementContext,
  ): GenerationPlan {
    const decodeCost = this.decodeCost(engine, prompt, context);
    const localPlan = this.localPrefillPlan(
      engine,
      decodeCost,
      this.estimatePrefill(engine, prompt, source, context),
      context,
    );
    return remotePrefill === undefined
      ? localPlan
      : this.cheaperPlan(
          this.remotePrefillPlan(engine, decodeCost, prompt, isPreferred, remotePrefill),
          localPlan,
        );
  }

  /**
   * Returns the engine that all instances prefer for the shared segment, by rendezvous hashing with the
   * speeds as weights.
   */
  private findPreferredEngine(
    engines: readonly EndpointState[],
    { shared }: PromptSummary,
  ): EndpointState | undefined {
    if (shared === undefined) {
      return undefined;
    }
    let preferred: EndpointState | undefined;
    let highest = Number.NEGATIVE_INFINITY;
    for (const engine of engines) {
      const hash = hashString(`${shared.hash}|${engine.record.identifier}`);
      // The logarithm gives each engine a part of the segments in proportion to its speed.
      const weight = Math.log((hash + 1) / HASH_RANGE) / engine.speed.relative;
      if (weight > highest) {
        highest = weight;
        preferred = engine;
      }
    }
    return preferred;
  }

  private choosePrefillEngine(
    prefillEngines: readonly EndpointState[],
    prompt: PromptSummary,
    source: EndpointState | undefined,
    isLate: boolean,
    context: PlacementContext,
  ): PrefillCandidate | undefined {
    const preferredEngine = this.findPreferredEngine(prefillEngines, prompt);
    let best: PrefillCandidate | undefined;
    for (const prefillEngine of prefillEngines) {
      const estimate = this.estimatePrefill(prefillEngine, prompt, source, context);
      const { speed } = prefillEngine;
      const rate = speed.prefillRate ?? this.prefillRate.remote * speed.relative;
      const slowdown = speed.slowdown(context.now);
      const computeMilliseconds = estimate.prefillTokens / rate;
      const milliseconds = computeMilliseconds * slowdown + estimate.fetchMilliseconds;
      // A recent delay of the same cause is not counted in addition to the slowdown.
      const slowdownMilliseconds = computeMilliseconds * (slowdown - 1);
      const waitMilliseconds =
        (prefillEngine.expectedPrefillTokens(isLate, context.now) / rate) * slowdown +
        Math.max(
          0,
          prefillEngine.excessDelayMilliseconds(context.now) * EXCESS_DELAY_WEIGHT -
            slowdownMilliseconds,
        ) +
        prefillEngine.failureRate(context.now) * FAILURE_PENALTY_MILLISECONDS +
        (prefillEngine === preferredEngine
          ? 0
          : EnginePlacement.affinityCost(prefillEngine, prompt, estimate, context)) +
        (estimate.source === undefined ? 0 : CACHE_COPY_PENALTY_MILLISECONDS);
      if (
        best === undefined ||
        waitMilliseconds + milliseconds < best.waitMilliseconds + best.milliseconds
      ) {
        best = { ...estimate, prefillEngine, milliseconds, waitMilliseconds };
      }
    }
    return best;
  }

  /** Cost of a prefill engine that is not the preferred one of the prompt. */
  private static affinityCost(
    engine: EndpointState,
    { shared, tokens }: PromptSummary,
    { prefillTokens, source }: PrefillEstimate,
    { random }: PlacementContext,
  ): number {
    if (shared === undefined) {
      return random.fraction() * JITTER_MILLISECONDS;
    }
    const isHolder = source === undefined && prefillTokens < tokens;
    if (isHolder) {
      return AFFINITY_PENALTY_MILLISECONDS;
    }
    const weight = mixHashes(shared.hash, engine.hash) / HASH_RANGE;
    return AFFINITY_PENALTY_MILLISECONDS + (1 - weight) * AFFINITY_SPREAD_MILLISECONDS;
  }

  /** Returns an engine that has the shared segment in its cache, if any. */
  private findCacheSource(
    states: readonly EndpointState[],
    { shared }: PromptSummary,
    { now, cacheCapacityTokens }: PlacementContext,
  ): EndpointState | undefined {
    if (shared === undefined) {
      return undefined;
    }
    const healthy = states.filter(
      (state) =>
        !state.availability.isLeaving && !state.isEjected(now) && !state.isUnresponsive(now),
    );
    return this.directory.findHolder(shared.hash, healthy, cacheCapacityTokens, now);
  }

  private estimatePrefill(
    engine: EndpointState,
    { tokens, shared }: PromptSummary,
    source: EndpointState | undefined,
    { now, cacheCapacityTokens }: PlacementContext,
  ): PrefillEstimate {
    const isUncached =
      shared !== undefined &&
      !this.directory.isHolder(shared.hash, engine, cacheCapacityTokens, now);
    if (!isUncached) {
      const prefillTokens = tokens - (shared?.tokens ?? 0);
      return { prefillTokens, source: undefined, fetchMilliseconds: 0 };
    }
    if (source === undefined) {
      return { prefillTokens: tokens, source, fetchMilliseconds: 0 };
    }
    return {
      prefillTokens: tokens - shared.tokens,
      source,
      fetchMilliseconds:
        FETCH_SETUP_MILLISECONDS +
        (shared.tokens / 1000) * TRANSFER_MILLISECONDS_PER_THOUSAND_TOKENS,
    };
  }

  /** Expected delay of the first token by the decode engine's load, plus penalties. */
  private decodeCost(
    engine: EndpointState,
    { tokens }: PromptSummary,
    context: PlacementContext,
  ): number {
    const { now, cacheCapacityTokens } = context;
    const { slots, zone } = engine.record;
    const running = engine.expectedRunning(now);
    const queueMilliseconds =
      Math.max(0, running + 1 - slots + headroom(engine, now)) * SLOT_WAIT_MILLISECONDS +
      running * BATCH_DELAY_MILLISECONDS;
    const overflowTokens =
      cacheCapacityTokens > 0 ? engine.totalOccupiedTokens + tokens - cacheCapacityTokens : 0;
    const preemptionMilliseconds =
      overflowTokens > 0
        ? PREEMPTION_PENALTY_MILLISECONDS +
          overflowTokens / (this.prefillRate.local * engine.speed.relative)
        : 0;
    return (
      (queueMilliseconds / engine.speed.relative) * engine.speed.slowdown(now) +
      preemptionMilliseconds +
      engine.excessDelayMilliseconds(now) * EXCESS_DELAY_WEIGHT +
      engine.failureRate(now) * FAILURE_PENALTY_MILLISECONDS +
      (zone === context.zone ? 0 : CROSS_ZONE_PENALTY_MILLISECONDS)
    );
  }

  /** Expected duration of a local prefill without other requests. */
  private localPrefillMilliseconds(engine: EndpointState, prefillTokens: number, now: number) {
    const { speed } = engine;
    return (prefillTokens / (this.prefillRate.local * speed.relative)) * speed.slowdown(now);
  }

  /** Expected delay of the first token by a local prefill. */
  private localPrefillDelay(
    engine: EndpointState,
    { prefillTokens, fetchMilliseconds }: PrefillEstimate,
    now: number,
  ): number {
    const contention = 1 + Math.min(2, engine.expectedRunning(now) / engine.record.slots);
    return (
      fetchMilliseconds + this.localPrefillMilliseconds(engine, prefillTokens, now) * contention
    );
  }

  /** The delay by a local prefill, plus the cost to other requests. */
  private localPrefillCost(
    engine: EndpointState,
    estimate: PrefillEstimate,
    { now }: PlacementContext,
  ): number {
    const prefillMilliseconds = this.localPrefillMilliseconds(engine, estimate.prefillTokens, now);
    const interferenceMilliseconds = Math.max(
      0,
      prefillMilliseconds - TOLERATED_PREFILL_MILLISECONDS,
    );
    return (
      this.localPrefillDelay(engine, estimate, now) +
      interferenceMilliseconds * engine.expectedRunning(now) * INTERFERENCE_FRACTION +
      (estimate.source === undefined ? 0 : CACHE_COPY_PENALTY_MILLISECONDS)
    );
  }

  /** Expected delay of the first token by a remote prefill, plus penalties. */
  private remotePrefillCost(
    { tokens }: PromptSummary,
    isPreferred: boolean,
    { waitMilliseconds, milliseconds }: PrefillCandidate,
  ): number {
    return (
      waitMilliseconds +
      milliseconds +
      REMOTE_PREFILL_OVERHEAD_MILLISECONDS +
      (tokens / 1000) * TRANSFER_MILLISECONDS_PER_THOUSAND_TOKENS +
      (isPreferred ? 0 : AFFINITY_PENALTY_MILLISECONDS)
    );
  }

  private localPrefillPlan(
    engine: EndpointState,
    decodeCost: number,
    estimate: PrefillEstimate,
    context: PlacementContext,
  ): GenerationPlan {
    const { prefillTokens, source } = estimate;
    return {
      engine,
      prefillEngine: undefined,
      prefillTokens,
      source,
      prefillMilliseconds: this.localPrefillMilliseconds(engine, prefillTokens, context.now),
      firstTokenMilliseconds: decodeCost + this.localPrefillDelay(engine, estimate, context.now),
      costMilliseconds: decodeCost + this.localPrefillCost(engine, estimate, context),
    };
  }

  private remotePrefillPlan(
    engine: EndpointState,
    decodeCost: number,
    prompt: PromptSummary,
    isPreferred: boolean,
    candidate: PrefillCandidate,
  ): GenerationPlan {
    const firstTokenMilliseconds =
      decodeCost + this.remotePrefillCost(prompt, isPreferred, candidate);
    return {
      engine,
      prefillEngine: candidate.prefillEngine,
      prefillTokens: candidate.prefillTokens,
      source: candidate.source,
      prefillMilliseconds: candidate.milliseconds,
      firstTokenMilliseconds,
      costMilliseconds: firstTokenMilliseconds,
    };
  }

  private cheaperPlan(left: GenerationPlan, right: GenerationPlan): GenerationPlan {
    return left.costMilliseconds <= right.costMilliseconds ? left : right;
  }
}
