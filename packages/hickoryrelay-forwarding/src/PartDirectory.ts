import type { EndpointState } from './EndpointState.js';

/** An engine is taken to hold a part for this time after its last known use of it, in ms. */
const HOLDING_MILLISECONDS = 30_000;

/**
 * Part of an engine's memory that may be filled after the last use of a part before the part counts
 * as dropped. The rest holds running requests and prompts that no message told of.
 */
const KEPT_MEMORY_PART = 0.6;

/** Parts whose holders are kept in mind; a few megabytes. */
const MOST_PARTS = 20_000;

/** Engines whose memory is kept in mind, those that have left included. */
const MOST_ENGINES = 20_000;

/** Uses that wait to be told to other instances. */
const MOST_UNTOLD_USES = 200;

/** An engine has read a shared part of a prompt, or has taken over its memory. */
export interface PartUse {
  /** Hash of the engine's incarnation. */
  readonly engine: number;
  /** Hash of the part. */
  readonly part: number;
  /** Tokens of the part. */
  readonly sharedTokens: number;
  /** Tokens of the rest of the prompt, which the engine keeps as well. */
  readonly ownTokens: number;
}

/** The last use of a part by an engine. */
interface Holding {
  readonly atMilliseconds: number;
  /** Tokens that the engine had taken into its memory by then. */
  readonly filledTokens: number;
}

/**
 * Which engines hold which shared parts of prompts, by what this and other instances had read. An
 * engine drops the part that was used least recently when its memory is full, so a part counts as held
 * until as much else has been read there as the memory holds.
 */
export class PartDirectory {
  /** Last uses by part and engine. */
  private readonly uses = new Map<number, Map<number, Holding>>();

  /** Tokens that each engine has taken into its memory, as far as is known. */
  private readonly filledTokens = new Map<number, number>();

  private untold: PartUse[] = [];

  /** Records a use by this instance, which others are told with the next message. */
  recordOwn(use: PartUse, now: number): void {
    this.record(use, now);
    if (this.untold.length < MOST_UNTOLD_USES) {
      this.untold.push(use);
    }
  }

  /** Records a use that another instance told. */
  record({ engine, part, sharedTokens, ownTokens }: PartUse, now: number): void {
    const isKnown = this.uses.get(part)?.has(engine) === true;
    const filledTokens =
      (this.filledTokens.get(engine) ?? 0) + ownTokens + (isKnown ? 0 : sharedTokens);
    // Moves the engine to the end, so that engines that left long ago are dropped first.
    this.filledTokens.delete(engine);
    this.filledTokens.set(engine, filledTokens);
    this.dropOldest(this.filledTokens, MOST_ENGINES);
    let engines = this.uses.get(part);
    if (engines === undefined) {
      engines = new Map();
    } else {
      // Moves the part to the end, so that the part that was used least recently is dropped first.
      this.uses.delete(part);
    }
    this.uses.set(part, engines);
    engines.set(engine, { atMilliseconds: now, filledTokens });
    this.dropOldest(this.uses, MOST_PARTS);
  }

  /** Takes the uses that others were not told. */
  takeUntold(): readonly PartUse[] {
    const { untold } = this;
    this.untold = [];
    return untold;
  }

  /** True if an engine holds a part. The size of its memory is in tokens. */
  isHolder(part: number, engine: EndpointState, memoryTokens: number, now: number): boolean {
    const holding = this.uses.get(part)?.get(engine.hash);
    return holding !== undefined && this.isKept(holding, engine.hash, memoryTokens, now);
  }

  /** The engine among the given ones that used the part last. Undefined if none holds it. */
  holderOf(
    part: number,
    engines: readonly EndpointState[],
    memoryTokens: number,
    now: number,
  ): EndpointState | undefined {
    const uses = this.uses.get(part);
    let holder: EndpointState | undefined;
    let latest = Number.NEGATIVE_INFINITY;
    for (const engine of uses === undefined ? [] : engines) {
      const holding = uses?.get(engine.hash);
      if (
        holding !== undefined &&
        holding.atMilliseconds > latest &&
        this.isKept(holding, engine.hash, memoryTokens, now)
      ) {
        holder = engine;
        latest = holding.atMilliseconds;
      }
    }
    return holder;
  }

  private dropOldest(entries: Map<number, unknown>, most: number): void {
    if (entries.size > most) {
      const [oldest] = entries.keys();
      entries.delete(oldest as number);
    }
  }

  private isKept(
    { atMilliseconds, filledTokens }: Holding,
    engine: number,
    memoryTokens: number,
    now: number,
  ): boolean {
    const filledSince = (this.filledTokens.get(engine) ?? 0) - filledTokens;
    return (
      now - atMilliseconds < HOLDING_MILLISECONDS && filledSince < memoryTokens * KEPT_MEMORY_PART
    );
  }
}
