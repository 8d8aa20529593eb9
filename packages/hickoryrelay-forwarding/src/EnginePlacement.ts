import { hashText } from 'hickoryrelay/RendezvousUtils';

import { EngineStage } from './EndpointRecord.js';
import {
  FAILURE_PENALTY_MILLISECONDS,
  CROSS_ZONE_PENALTY_MILLISECONDS,
  eligibleEndpoints,
} from './ServicePlacement.js';

import type { EndpointState } from './EndpointState.js';
import type { PromptSegment } from './ForwardedRequest.js';
import type { PrefillRate } from './PrefillRate.js';
import type { PromptCacheDirectory } from './PromptCacheDirectory.js';
import type { PlacementContext } from './ServicePlacement.js';

/** The detour over a reading engine: two calls, and the start of the transfer, in milliseconds. */
const DETOUR_MILLISECONDS = 14;

/** Time to move a thousand tokens of memory to another engine, in milliseconds. */
const TRANSFER_MILLISECONDS_PER_THOUSAND = 1.5;

/** Start of fetching a shared part from another engine, in milliseconds. */
const FETCH_MILLISECONDS = 5;

/** Time that a place in the batch of an engine is taken on average, over its slots, in ms. */
const PLACE_MILLISECONDS = 30;

/** Time that each running request adds to the first token of another, in milliseconds. */
const BATCH_MILLISECONDS = 1.5;

/** Part of the time of a reading in place by which it delays each request that runs there. */
const DISTURBANCE_PART = 0.1;

/**
 * A reading in place up to this time disturbs nobody: it delays one event of the requests that run
 * there by a fraction of the pause that is allowed between events. In milliseconds.
 */
const HARMLESS_READING_MILLISECONDS = 40;

/** Shared parts below this size are not worth keeping to one engine, in tokens. */
const KEPT_PART_TOKENS = 1000;

/** Preference for the engine that has a shared part, beyond the time to read it, in milliseconds. */
const AFFINITY_MILLISECONDS = 15;

/**
 * Preference for an engine that holds the shared part over one that would fetch it, beyond the time
 * to fetch it, in milliseconds. A second copy displaces other parts, which are then read again,
 * so a request waits for one other first.
 */
const COPY_MILLISECONDS = 100;

/** Range of the random part, so that instances that see the same do not choose the same. */
const RANDOM_MILLISECONDS = 4;

/** Weight of the delay beyond the expected that an engine showed lately. */
const DELAY_WEIGHT = 0.7;

/** Where a generation is read and where it runs. */
export interface GenerationPlan {
  readonly engine: EndpointState;
  /** Absent if the engine reads the prompt itself. */
  readonly reader: EndpointState | undefined;
  /** Tokens that are expected to be read. */
  readonly unreadTokens: number;
  /** An engine from which the shared part can be fetched, where the one that reads lacks it. */
  readonly source: EndpointState | undefined;
  /** Expected time of the reading on an idle engine, in milliseconds. */
  readonly readingMilliseconds: number;
  /** Expected time until the first token, in milliseconds. */
  readonly firstTokenMilliseconds: number;
  /** That time and the delay of other requests, by which plans are compared, in milliseconds. */
  readonly costMilliseconds: number;
}

/** A part of a prompt that is worth keeping to few engines. */
export interface SharedPart {
  readonly hash: number;
  readonly tokens: number;
}

/** What is known of the prompt of a generation. */
export interface PromptShape {
  readonly tokens: number;
  /** The largest part that other requests share; absent if all are small. */
  readonly shared: SharedPart | undefined;
}

/** The largest part of a prompt that other requests share, and the size of the whole prompt. */
export function shapeOf(parts: readonly PromptSegment[]): PromptShape {
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  const largest = parts
    .slice(0, -1)
    .reduce<PromptSegment | undefined>(
      (known, part) => (part.tokens > (known?.tokens ?? 0) ? part : known),
      undefined,
    );
  if (largest === undefined || largest.tokens < KEPT_PART_TOKENS) {
    return { tokens, shared: undefined };
  }
  return { tokens, shared: { hash: hashText(largest.identifier), tokens: largest.tokens } };
}

/** What an engine has to do to have a prompt in its memory. */
interface Reading {
  readonly unreadTokens: number;
  readonly source: EndpointState | undefined;
  /** Time to fetch what can be fetched, in milliseconds. */
  readonly fetchMilliseconds: number;
}

interface ReadingOption extends Reading {
  readonly reader: EndpointState;
  readonly milliseconds: number;
  readonly waitMilliseconds: number;
}

/**
 * Decides where a prompt is read and where its answer is generated. All instances hash a large
 * shared part to the same reading engine and the same generating engine, so that it is read once and
 * found there again; load and distance can outweigh that. Answers the load of long prompts that share
 * parts, mixed with short ones, whose ratio swings within seconds.
 */
export class EnginePlacement {
  private readonly directory: PromptCacheDirectory;

  private readonly prefillRate: PrefillRate;

  constructor(directory: PromptCacheDirectory, prefillRate: PrefillRate) {
    this.directory = directory;
    this.prefillRate = prefillRate;
  }

  /** Undefined if no engine can generate. */
  plan(
    states: readonly EndpointState[],
    prompt: PromptShape,
    isLate: boolean,
    context: PlacementContext,
  ): GenerationPlan | undefined {
    const engines = eligibleEndpoints(
      states.filter(({ record }) => record.stage !== EngineStage.Prefill),
      context,
    );
    const readers = eligibleEndpoints(
      states.filter(({ record }) => record.stage === EngineStage.Prefill),
      context,
    );
    const keeper = this.keeperOf(engines, prompt);
    const source = this.sourceOf(states, prompt, context);
    const reading = this.bestReader(readers, prompt, source, isLate, context);
    let best: GenerationPlan | undefined;
    for (const engine of engines) {
      const base = this.engineCost(engine, context);
      const inPlace = this.inPlacePlan(
        engine,
        base,
        this.readingAt(engine, prompt, source, context),
      );
      const plan =
        reading === undefined
          ? inPlace
          : this.cheaper(
              this.separatePlan(engine, base, prompt, engine === keeper, reading),
              inPlace,
            );
      if (best === undefined || plan.costMilliseconds < best.costMilliseconds) {
        best = plan;
      }
    }
    return best;
  }

  /** Chooses the engine that takes over the memory of a prompt. Undefined if none can generate. */
  planTransfer(
    states: readonly EndpointState[],
    prompt: PromptShape,
    context: PlacementContext,
  ): EndpointState | undefined {
    const engines = eligibleEndpoints(
      states.filter(({ record }) => record.stage !== EngineStage.Prefill),
      context,
    );
    const keeper = this.keeperOf(engines, prompt);
    let best: EndpointState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const engine of engines) {
      const cost =
        this.engineCost(engine, context) + (engine === keeper ? 0 : AFFINITY_MILLISECONDS);
      if (cost < bestCost) {
        best = engine;
        bestCost = cost;
      }
    }
    return best;
  }

  /** The engine that all instances prefer for the shared part; undefined for small parts. */
  private keeperOf(
    engines: readonly EndpointState[],
    { shared }: PromptShape,
  ): EndpointState | undefined {
    if (shared === undefined) {
      return undefined;
    }
    let keeper: EndpointState | undefined;
    let highest = -1;
    for (const engine of engines) {
      const weight = hashText(`${shared.hash}|${engine.record.identifier}`);
      if (weight > highest) {
        highest = weight;
        keeper = engine;
      }
    }
    return keeper;
  }

  private bestReader(
    readers: readonly EndpointState[],
    prompt: PromptShape,
    source: EndpointState | undefined,
    isLate: boolean,
    context: PlacementContext,
  ): ReadingOption | undefined {
    const keeper = this.keeperOf(readers, prompt);
    let best: ReadingOption | undefined;
    for (const reader of readers) {
      const reading = this.readingAt(reader, prompt, source, context);
      const milliseconds =
        reading.unreadTokens / this.prefillRate.remote + reading.fetchMilliseconds;
      const waitMilliseconds =
        reader.queuedPrefillTokens(isLate) / this.prefillRate.remote +
        reader.excessDelayMilliseconds(context.now) * DELAY_WEIGHT +
        reader.failureRate(context.now) * FAILURE_PENALTY_MILLISECONDS +
        (keeper === undefined || reader === keeper ? 0 : AFFINITY_MILLISECONDS) +
        (reading.source === undefined ? 0 : COPY_MILLISECONDS);
      if (
        best === undefined ||
        waitMilliseconds + milliseconds < best.waitMilliseconds + best.milliseconds
      ) {
        best = { ...reading, reader, milliseconds, waitMilliseconds };
      }
    }
    return best;
  }

  /** An engine that holds the shared part. Undefined if none does. */
  private sourceOf(
    states: readonly EndpointState[],
    { shared }: PromptShape,
    { now, cacheCapacityTokens }: PlacementContext,
  ): EndpointState | undefined {
    if (shared === undefined) {
      return undefined;
    }
    const sound = states.filter((state) => !state.isEjected(now) && !state.isUnresponsive(now));
    return this.directory.findHolder(shared.hash, sound, cacheCapacityTokens, now);
  }

  private readingAt(
    engine: EndpointState,
    { tokens, shared }: PromptShape,
    source: EndpointState | undefined,
    { now, cacheCapacityTokens }: PlacementContext,
  ): Reading {
    const isMissing =
      shared !== undefined &&
      !this.directory.isHolder(shared.hash, engine, cacheCapacityTokens, now);
    if (!isMissing) {
      const unreadTokens = tokens - (shared?.tokens ?? 0);
      return { unreadTokens, source: undefined, fetchMilliseconds: 0 };
    }
    if (source === undefined) {
      return { unreadTokens: tokens, source, fetchMilliseconds: 0 };
    }
    return {
      unreadTokens: tokens - shared.tokens,
      source,
      fetchMilliseconds:
        FETCH_MILLISECONDS + (shared.tokens / 1000) * TRANSFER_MILLISECONDS_PER_THOUSAND,
    };
  }

  /** Expected delay of a first token by the load of the engine, and the cost of choosing it. */
  private engineCost(engine: EndpointState, context: PlacementContext): number {
    const { slots, zone } = engine.record;
    const running = engine.totalRunning;
    return (
      Math.max(0, running + 1 - slots) * PLACE_MILLISECONDS +
      running * BATCH_MILLISECONDS +
      engine.excessDelayMilliseconds(context.now) * DELAY_WEIGHT +
      engine.failureRate(context.now) * FAILURE_PENALTY_MILLISECONDS +
      (zone === context.zone ? 0 : CROSS_ZONE_PENALTY_MILLISECONDS) +
      context.random.fraction() * RANDOM_MILLISECONDS
    );
  }

  private inPlacePlan(
    engine: EndpointState,
    base: number,
    { unreadTokens, source, fetchMilliseconds }: Reading,
  ): GenerationPlan {
    const readingMilliseconds = unreadTokens / this.prefillRate.local;
    const crowding = 1 + Math.min(2, engine.totalRunning / engine.record.slots);
    const firstTokenMilliseconds = base + fetchMilliseconds + readingMilliseconds * crowding;
    const disturbingMilliseconds = Math.max(0, readingMilliseconds - HARMLESS_READING_MILLISECONDS);
    return {
      engine,
      reader: undefined,
      unreadTokens,
      source,
      readingMilliseconds,
      firstTokenMilliseconds,
      costMilliseconds:
        firstTokenMilliseconds +
        disturbingMilliseconds * engine.totalRunning * DISTURBANCE_PART +
        (source === undefined ? 0 : COPY_MILLISECONDS),
    };
  }

  private separatePlan(
    engine: EndpointState,
    base: number,
    prompt: PromptShape,
    isKeeper: boolean,
    reading: ReadingOption,
  ): GenerationPlan {
    const firstTokenMilliseconds =
      base +
      reading.waitMilliseconds +
      reading.milliseconds +
      DETOUR_MILLISECONDS +
      (prompt.tokens / 1000) * TRANSFER_MILLISECONDS_PER_THOUSAND +
      (isKeeper ? 0 : AFFINITY_MILLISECONDS);
    return {
      engine,
      reader: reading.reader,
      unreadTokens: reading.unreadTokens,
      source: reading.source,
      readingMilliseconds: reading.milliseconds,
      firstTokenMilliseconds,
      costMilliseconds: firstTokenMilliseconds,
    };
  }

  private cheaper(left: GenerationPlan, right: GenerationPlan): GenerationPlan {
    return left.costMilliseconds <= right.costMilliseconds ? left : right;
  }
}
