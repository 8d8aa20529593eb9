import type { EndpointState } from './EndpointState.js';

/** An engine is taken to hold a part for this time after its last known use of it, in ms. */
const HOLDING_MILLISECONDS = 15_000;

/** Parts whose holders are kept in mind; a few megabytes. */
const MOST_PARTS = 20_000;

/** Uses that wait to be told to other instances. */
const MOST_UNTOLD_USES = 200;

/** An engine has read a shared part of a prompt, or has taken over its memory. */
export interface PartUse {
  /** Hash of the engine's incarnation. */
  readonly engine: number;
  /** Hash of the part. */
  readonly part: number;
}

/** Which engines hold which shared parts of prompts, by what this and other instances had read. */
export class PartDirectory {
  /** Time of the last use on the steady clock, by part and engine. */
  private readonly uses = new Map<number, Map<number, number>>();

  private untold: PartUse[] = [];

  /** Records a use by this instance, which others are told with the next message. */
  recordOwn(use: PartUse, now: number): void {
    this.record(use, now);
    if (this.untold.length < MOST_UNTOLD_USES) {
      this.untold.push(use);
    }
  }

  /** Records a use that another instance told. */
  record({ engine, part }: PartUse, now: number): void {
    let engines = this.uses.get(part);
    if (engines === undefined) {
      engines = new Map();
    } else {
      // Moves the part to the end, so that the part that was used least recently is dropped first.
      this.uses.delete(part);
    }
    this.uses.set(part, engines);
    engines.set(engine, now);
    if (this.uses.size > MOST_PARTS) {
      const [oldest] = this.uses.keys();
      this.uses.delete(oldest as number);
    }
  }

  /** Takes the uses that others were not told. */
  takeUntold(): readonly PartUse[] {
    const { untold } = this;
    this.untold = [];
    return untold;
  }

  isHolder(part: number, engine: EndpointState, now: number): boolean {
    const used = this.uses.get(part)?.get(engine.hash);
    return used !== undefined && now - used < HOLDING_MILLISECONDS;
  }

  /** The engine among the given ones that used the part last. Undefined if none holds it. */
  holderOf(
    part: number,
    engines: readonly EndpointState[],
    now: number,
  ): EndpointState | undefined {
    const uses = this.uses.get(part);
    let holder: EndpointState | undefined;
    let latest = now - HOLDING_MILLISECONDS;
    for (const engine of uses === undefined ? [] : engines) {
      const used = uses?.get(engine.hash) ?? Number.NEGATIVE_INFINITY;
      if (used > latest) {
        holder = engine;
        latest = used;
      }
    }
    return holder;
  }
}
