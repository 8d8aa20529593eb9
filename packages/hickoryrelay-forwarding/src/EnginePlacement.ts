import { hashText } from 'hickoryrelay/RendezvousUtils';

import { EngineStage } from './EndpointRecord.js';
import { FAILURE_MILLISECONDS, OTHER_ZONE_MILLISECONDS, usable } from './Placement.js';

import type { EndpointState } from './EndpointState.js';
import type { PromptPart } from './ForwardedRequest.js';
import type { PlacementContext } from './Placement.js';

/** Prompt tokens that an engine of the reading stage reads in a millisecond, attention included. */
const READER_TOKENS_PER_MILLISECOND = 46;

/** Prompt tokens that a generating engine reads in a millisecond beside its other requests. */
const IN_PLACE_TOKENS_PER_MILLISECOND = 18;

/** The detour over a reading engine: two calls, and the start of the transfer, in milliseconds. */
const DETOUR_MILLISECONDS = 14;

/** Time to move a thousand tokens of memory to another engine, in milliseconds. */
const TRANSFER_MILLISECONDS_PER_THOUSAND = 1.5;

/** Time that a place in the batch of an engine is taken on average, over its slots, in ms. */
const PLACE_MILLISECONDS = 30;

/** Time that each running request adds to the first token of another, in milliseconds. */
const BATCH_MILLISECONDS = 1.5;

/** Part of the time of a reading in place by which it delays each request that runs there. */
const DISTURBANCE_PART = 0.25;

/** Shared parts below this size are not worth keeping to one engine, in tokens. */
const KEPT_PART_TOKENS = 1000;

/** Preference for the engine that has a shared part, beyond the time to read it, in milliseconds. */
const AFFINITY_MILLISECONDS = 15;

/** Range of the random part, so that instances that see the same do not choose the same. */
const RANDOM_MILLISECONDS = 4;

/** Weight of the delay beyond the expected that an engine showed lately. */
const DELAY_WEIGHT = 0.7;

/** Where a generation is read and where it runs. */
export interface GenerationPlan {
  readonly engine: EndpointState;
  /** Absent if the engine reads the prompt itself. */
  readonly reader: EndpointState | undefined;
  /** Tokens that the reading is expected to take. */
  readonly unreadTokens: number;
  /** Expected time of the reading on an idle engine, in milliseconds. */
  readonly readingMilliseconds: number;
  /** Expected time until the first token, in milliseconds. */
  readonly firstTokenMilliseconds: number;
  /** That time and the delay of other requests, by which plans are compared, in milliseconds. */
  readonly costMilliseconds: number;
}

/** What is known of the prompt of a generation. */
export interface PromptShape {
  readonly tokens: number;
  /** The largest part that other requests share; absent if there is none. */
  readonly shared: PromptPart | undefined;
}

/** The largest part of a prompt that other requests share, and the size of the whole. */
export function shapeOf(parts: readonly PromptPart[]): PromptShape {
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  const shared = parts
    .slice(0, -1)
    .reduce<PromptPart | undefined>(
      (largest, part) => (part.tokens > (largest?.tokens ?? 0) ? part : largest),
      undefined,
    );
  return { tokens, shared };
}

interface ReadingOption {
  readonly reader: EndpointState;
  readonly unreadTokens: number;
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
  /** Undefined if no engine can generate. */
  plan(
    states: readonly EndpointState[],
    prompt: PromptShape,
    isLate: boolean,
    context: PlacementContext,
  ): GenerationPlan | undefined {
    const engines = usable(
      states.filter(({ record }) => record.stage !== EngineStage.Prefill),
      context,
    );
    const readers = usable(
      states.filter(({ record }) => record.stage === EngineStage.Prefill),
      context,
    );
    const keeper = this.keeperOf(engines, prompt);
    const reading = this.bestReader(readers, prompt, isLate, context);
    let best: GenerationPlan | undefined;
    for (const engine of engines) {
      const base = this.engineCost(engine, context);
      const inPlace = this.inPlacePlan(engine, base, prompt, engine === keeper);
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
    const engines = usable(
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
    if (shared === undefined || shared.tokens < KEPT_PART_TOKENS) {
      return undefined;
    }
    let keeper: EndpointState | undefined;
    let highest = -1;
    for (const engine of engines) {
      const weight = hashText(`${shared.identifier}|${engine.record.identifier}`);
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
    isLate: boolean,
    context: PlacementContext,
  ): ReadingOption | undefined {
    const keeper = this.keeperOf(readers, prompt);
    let best: ReadingOption | undefined;
    for (const reader of readers) {
      const isKept = keeper === undefined || reader === keeper;
      const unreadTokens = isKept ? this.ownTokens(prompt) : prompt.tokens;
      const milliseconds = unreadTokens / READER_TOKENS_PER_MILLISECOND;
      const waitMilliseconds =
        reader.tokensBefore(isLate) / READER_TOKENS_PER_MILLISECOND +
        reader.delay(context.now) * DELAY_WEIGHT +
        reader.failures(context.now) * FAILURE_MILLISECONDS +
        (isKept ? 0 : AFFINITY_MILLISECONDS);
      if (
        best === undefined ||
        waitMilliseconds + milliseconds < best.waitMilliseconds + best.milliseconds
      ) {
        best = { reader, unreadTokens, milliseconds, waitMilliseconds };
      }
    }
    return best;
  }

  /** Tokens of the prompt that no other request shares to a useful extent. */
  private ownTokens({ tokens, shared }: PromptShape): number {
    const isKept = shared !== undefined && shared.tokens >= KEPT_PART_TOKENS;
    return isKept ? tokens - shared.tokens : tokens;
  }

  /** Expected delay of a first token by the load of the engine, and the cost of choosing it. */
  private engineCost(engine: EndpointState, context: PlacementContext): number {
    const { slots, zone } = engine.record;
    const running = engine.allRunning;
    return (
      Math.max(0, running + 1 - slots) * PLACE_MILLISECONDS +
      running * BATCH_MILLISECONDS +
      engine.delay(context.now) * DELAY_WEIGHT +
      engine.failures(context.now) * FAILURE_MILLISECONDS +
      (zone === context.zone ? 0 : OTHER_ZONE_MILLISECONDS) +
      context.random.fraction() * RANDOM_MILLISECONDS
    );
  }

  private inPlacePlan(
    engine: EndpointState,
    base: number,
    prompt: PromptShape,
    isKeeper: boolean,
  ): GenerationPlan {
    const unreadTokens = isKeeper ? this.ownTokens(prompt) : prompt.tokens;
    const readingMilliseconds = unreadTokens / IN_PLACE_TOKENS_PER_MILLISECOND;
    const crowding = 1 + Math.min(2, engine.allRunning / engine.record.slots);
    const firstTokenMilliseconds = base + readingMilliseconds * crowding;
    return {
      engine,
      reader: undefined,
      unreadTokens,
      readingMilliseconds,
      firstTokenMilliseconds,
      costMilliseconds:
        firstTokenMilliseconds + readingMilliseconds * engine.allRunning * DISTURBANCE_PART,
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
      readingMilliseconds: reading.milliseconds,
      firstTokenMilliseconds,
      costMilliseconds: firstTokenMilliseconds,
    };
  }

  private cheaper(left: GenerationPlan, right: GenerationPlan): GenerationPlan {
    return left.costMilliseconds <= right.costMilliseconds ? left : right;
  }
}
