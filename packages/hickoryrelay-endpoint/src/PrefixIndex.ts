/** Kinds of change of an engine's prefix cache: one prefix stored or evicted, or all cleared. */
export const CacheEventKind = { Stored: 'stored', Evicted: 'evicted', Cleared: 'cleared' } as const;

export type CacheEventKind = (typeof CacheEventKind)[keyof typeof CacheEventKind];

/** A change of an engine's prefix cache. Numbers are consecutive; a gap means that events were lost. */
export interface CacheEvent {
  readonly number: number;
  readonly kind: CacheEventKind;
  readonly key: string;
}

/** Cache events of an engine after the number that the reader asked from. */
export interface CacheChanges {
  /** Identifies one run of the engine process; changes when the engine restarts. */
  readonly incarnation: string;
  /** Number of the last event that the engine has published; may be beyond the last one in `events`. */
  readonly lastNumber: number;
  /** Events after the requested number, oldest first; possibly truncated. */
  readonly events: readonly CacheEvent[];
}

/** The cached prefixes of an engine as of the event with the number `lastNumber`. */
export interface CacheSnapshot {
  readonly incarnation: string;
  readonly lastNumber: number;
  /** Least recently used first. */
  readonly keys: readonly string[];
}

/**
 * Prompt tokens per prefix key; callers split prompts into chunks of this size. Chunks of 256 tokens
 * cause four times as many events, which exceeded the 2 KB per second of the event stream under
 * overload.
 */
export const TOKENS_PER_PREFIX_KEY = 1024;

const MAXIMUM_KEYS = 4096;

/**
 * Confidence in the prefix of a call that this instance sent, until a cache event confirms it. The
 * engine may have evicted the prefix already.
 */
const OWN_CALL_CONFIDENCE = 0.8;

/** Upper bound on confidence after lost events, which may have included evictions. */
const MAXIMUM_CONFIDENCE_AFTER_GAP = 0.5;

/**
 * The prompt prefixes that an engine probably has in its cache, derived from its cache events, which
 * arrive late and with gaps, and from the calls that this instance sent to it. Bounded; the least
 * recently used prefix is evicted first.
 */
export class PrefixIndex {
  private readonly confidenceByKey = new Map<string, number>();

  private lastNumber = 0;

  /** The run of the engine whose events are applied; undefined until a snapshot is applied. */
  private incarnation: string | undefined;

  get lastEventNumber(): number {
    return this.lastNumber;
  }

  get size(): number {
    return this.confidenceByKey.size;
  }

  /** False while a snapshot is needed before events can be applied. */
  get isSynchronized(): boolean {
    return this.incarnation !== undefined;
  }

  clear(): void {
    this.confidenceByKey.clear();
    this.incarnation = undefined;
    this.lastNumber = 0;
  }

  /** Adds the prefixes of a snapshot. Prefixes of calls that were sent in the meantime are kept. */
  applySnapshot({ incarnation, keys, lastNumber }: CacheSnapshot): void {
    this.incarnation = incarnation;
    this.lastNumber = lastNumber;
    for (const key of keys) {
      this.put(key, 1);
    }
  }

  /**
   * Applies events that continue the known sequence. After a gap or a restart of the engine, clears
   * the index and returns false, because evictions may have been missed.
   */
  applyChanges(changes: CacheChanges): boolean {
    if (!this.isContiguous(changes)) {
      this.clear();
      return false;
    }
    this.apply(changes.events);
    return true;
  }

  /** Applies events in the order of their numbers. Events that were already applied are ignored. */
  apply(events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.number > this.lastNumber) {
        if (event.number > this.lastNumber + 1) {
          this.lowerConfidence();
        }
        this.lastNumber = event.number;
        this.applyEvent(event);
      }
    }
  }

  /** Records the prefixes of a call that this instance sent to the engine. */
  recordOwnCall(keys: readonly string[]): void {
    for (const key of keys) {
      this.put(key, Math.max(OWN_CALL_CONFIDENCE, this.confidenceByKey.get(key) ?? 0));
    }
  }

  /**
   * Expected number of prompt tokens that the engine has in its cache.
   *
   * @param keys keys of the prefixes of the prompt, shortest first.
   */
  expectedCachedTokens(keys: readonly string[]): number {
    let expectedKeys = 0;
    let confidence = 1;
    for (const key of keys) {
      confidence = Math.min(confidence, this.confidenceByKey.get(key) ?? 0);
      if (confidence === 0) {
        break;
      }
      expectedKeys += confidence;
    }
    return expectedKeys * TOKENS_PER_PREFIX_KEY;
  }

  private isContiguous({ events, incarnation, lastNumber }: CacheChanges): boolean {
    const hasNoGap = events.every(({ number }, index) => number === this.lastNumber + index + 1);
    // No events despite a higher last number means that the engine no longer has them.
    const hasNoMissingTail = events.length > 0 || lastNumber === this.lastNumber;
    return incarnation === this.incarnation && hasNoGap && hasNoMissingTail;
  }

  private applyEvent({ kind, key }: CacheEvent): void {
    if (kind === CacheEventKind.Stored) {
      this.put(key, 1);
    } else if (kind === CacheEventKind.Evicted) {
      this.confidenceByKey.delete(key);
    } else {
      this.confidenceByKey.clear();
    }
  }

  private lowerConfidence(): void {
    for (const [key, confidence] of this.confidenceByKey) {
      this.confidenceByKey.set(key, Math.min(confidence, MAXIMUM_CONFIDENCE_AFTER_GAP));
    }
  }

  private put(key: string, confidence: number): void {
    this.confidenceByKey.delete(key);
    this.confidenceByKey.set(key, confidence);
    if (this.confidenceByKey.size > MAXIMUM_KEYS) {
      const [oldest] = this.confidenceByKey.keys();
      this.confidenceByKey.delete(oldest ?? key);
    }
  }
}
