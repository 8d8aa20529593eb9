import type { EndpointState } from './EndpointState.js';

/** A segment counts as cached by an engine for this time after its last known use there. */
const CACHE_LIFETIME_MILLISECONDS = 30_000;

/**
 * Fraction of an engine's KV cache that may be filled after the last use of a segment before the
 * segment counts as evicted. The rest holds running requests and prompts that no peer has reported.
 */
const RETAINED_CAPACITY_FRACTION = 0.6;

/** Bound the entries for segments to about 15 MB. */
const MAXIMUM_SEGMENTS = 20_000;
const MAXIMUM_ENTRIES = 65_536;

/** Share of the entries that an eviction keeps. The first entry of a map is slow to find after each deletion. */
const RETAINED_SHARE = 0.875;

/** Bounds the counts for engines, which include engines that have left. */
const MAXIMUM_ENGINES = 20_000;

/** Further uses are not reported to peers until the next load message has been sent. */
const MAXIMUM_PENDING_USES = 200;

/** An engine has prefilled a shared segment of a prompt, or has received its KV cache. */
export interface SegmentUse {
  /** Hash of the engine's incarnation. */
  readonly engine: number;
  /** Hash of the segment. */
  readonly segment: number;
  /** Tokens of the segment. */
  readonly sharedTokens: number;
  /** Tokens of the rest of the prompt, which the engine caches as well. */
  readonly ownTokens: number;
}

/** The last use of a segment by an engine. */
interface CacheEntry {
  readonly atMilliseconds: number;
  readonly sharedTokens: number;
  /** Total tokens that the engine had added to its cache by then. */
  readonly filledTokens: number;
}

/**
 * Tracks which engines hold which shared prompt segments in their KV cache, from the prefills of
 * this instance and its peers. Engines evict the least recently used segment when the cache is
 * full, so a segment counts as cached until enough other tokens have been added to displace it.
 */
export class PromptCacheDirectory {
  /** Last uses by segment and engine. */
  private readonly entriesBySegment = new Map<number, Map<number, CacheEntry>>();

  private entryCount = 0;

  /** Total tokens known to have been added to the cache of each engine. */
  private readonly filledTokensByEngine = new Map<number, number>();

  private pendingUses: SegmentUse[] = [];

  /** Records a use by this instance, which the next load message reports to peers. */
  recordOwn(use: SegmentUse, now: number): void {
    this.record(use, now);
    if (this.pendingUses.length < MAXIMUM_PENDING_USES) {
      this.pendingUses.push(use);
    }
  }

  /** Records a use that a peer reported. */
  record({ engine, segment, sharedTokens, ownTokens }: SegmentUse, now: number): void {
    const isKnown = this.entriesBySegment.get(segment)?.has(engine) === true;
    const filledTokens =
      (this.filledTokensByEngine.get(engine) ?? 0) + ownTokens + (isKnown ? 0 : sharedTokens);
    // Re-inserts the engine at the end, so that the least recently used one is evicted first.
    this.filledTokensByEngine.delete(engine);
    this.filledTokensByEngine.set(engine, filledTokens);
    if (this.filledTokensByEngine.size > MAXIMUM_ENGINES) {
      const [oldest] = this.filledTokensByEngine.keys();
      this.filledTokensByEngine.delete(oldest as number);
    }
    let entries = this.entriesBySegment.get(segment);
    if (entries === undefined) {
      entries = new Map();
    } else {
      // Re-inserts the segment at the end, so that the least recently used one is evicted first.
      this.entriesBySegment.delete(segment);
    }
    this.entriesBySegment.set(segment, entries);
    this.entryCount += isKnown ? 0 : 1;
    entries.set(engine, { atMilliseconds: now, sharedTokens, filledTokens });
    this.evictOldestSegments();
  }

  /** Returns and clears the uses that have not been reported to peers. */
  takePendingUses(): readonly SegmentUse[] {
    const { pendingUses } = this;
    this.pendingUses = [];
    return pendingUses;
  }

  /** True if the engine is expected to have the segment in its cache. */
  isHolder(
    segment: number,
    engine: EndpointState,
    cacheCapacityTokens: number,
    now: number,
  ): boolean {
    const entry = this.entriesBySegment.get(segment)?.get(engine.hash);
    return entry !== undefined && this.isRetained(entry, engine.hash, cacheCapacityTokens, now);
  }

  /** Returns the holder among the given engines that used the segment last, if any. */
  findHolder(
    segment: number,
    engines: readonly EndpointState[],
    cacheCapacityTokens: number,
    now: number,
  ): EndpointState | undefined {
    const entries = this.entriesBySegment.get(segment);
    let holder: EndpointState | undefined;
    let latest = Number.NEGATIVE_INFINITY;
    for (const engine of entries === undefined ? [] : engines) {
      const entry = entries?.get(engine.hash);
      if (
        entry !== undefined &&
        entry.atMilliseconds > latest &&
        this.isRetained(entry, engine.hash, cacheCapacityTokens, now)
      ) {
        holder = engine;
        latest = entry.atMilliseconds;
      }
    }
    return holder;
  }

  /** Total tokens of the segments that some of the given engines have used since a time. */
  tokensUsedSince(sinceMilliseconds: number, engines: ReadonlySet<number>): number {
    let tokens = 0;
    for (const entries of this.entriesBySegment.values()) {
      for (const [engine, { atMilliseconds, sharedTokens }] of entries) {
        if (atMilliseconds >= sinceMilliseconds && engines.has(engine)) {
          tokens += sharedTokens;
          break;
        }
      }
    }
    return tokens;
  }

  private isWithin(share: number): boolean {
    return (
      this.entriesBySegment.size <= MAXIMUM_SEGMENTS * share &&
      this.entryCount <= MAXIMUM_ENTRIES * share
    );
  }

  private evictOldestSegments(): void {
    if (this.isWithin(1)) {
      return;
    }
    for (const [segment, entries] of this.entriesBySegment) {
      if (this.isWithin(RETAINED_SHARE)) {
        return;
      }
      this.entriesBySegment.delete(segment);
      this.entryCount -= entries.size;
    }
  }

  private isRetained(
    { atMilliseconds, filledTokens }: CacheEntry,
    engine: number,
    cacheCapacityTokens: number,
    now: number,
  ): boolean {
    const filledSince = (this.filledTokensByEngine.get(engine) ?? 0) - filledTokens;
    return (
      now - atMilliseconds < CACHE_LIFETIME_MILLISECONDS &&
      filledSince < cacheCapacityTokens * RETAINED_CAPACITY_FRACTION
    );
  }
}
