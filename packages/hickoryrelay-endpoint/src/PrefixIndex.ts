/** What an engine's cache did with the prompt prefix that a key names. */
export const CacheEventKind = { Stored: 'stored', Evicted: 'evicted', Cleared: 'cleared' } as const;

export type CacheEventKind = (typeof CacheEventKind)[keyof typeof CacheEventKind];

/** A change of an engine's prefix cache. Numbers grow by one; a jump means that events were lost. */
export interface CacheEvent {
  readonly number: number;
  readonly kind: CacheEventKind;
  readonly key: string;
}

/** What an engine answers to a reader that knows its events up to a number. */
export interface CacheChanges {
  /** Names one run of the engine's process; it changes when the engine restarts. */
  readonly incarnation: string;
  /** Number of the last event that the engine has published. */
  readonly lastNumber: number;
  /** Events after the reader's number, oldest first; not necessarily all of them. */
  readonly events: readonly CacheEvent[];
}

/** The prefixes that an engine holds after the event of the given number. */
export interface CacheSnapshot {
  readonly incarnation: string;
  readonly lastNumber: number;
  /** The prefix used longest ago first. */
  readonly keys: readonly string[];
}

/**
 * Prompt tokens that one key stands for; callers cut prompts into parts of this size. With parts of
 * 256, four times the events had to pass, and 2 KB a second were too few under overload.
 */
export const TOKENS_PER_PREFIX_KEY = 1024;

const LIMIT_OF_KEYS = 4096;

/** Own calls are a guess until the engine confirms them; it may have evicted the prefix already. */
const GUESS_CONFIDENCE = 0.8;

/** After lost events a known prefix may have been evicted unseen. */
const DOUBTFUL_CONFIDENCE = 0.5;

/**
 * The prompt prefixes that an engine is believed to hold, from its cache events (late, with gaps)
 * and from the calls that this instance sent to it. Bounded; the prefix used longest ago goes first.
 */
export class PrefixIndex {
  private readonly confidences = new Map<string, number>();

  private lastNumber = 0;

  /** The run of the engine whose events are followed; undefined until a snapshot is taken over. */
  private incarnation: string | undefined;

  get lastEventNumber(): number {
    return this.lastNumber;
  }

  get size(): number {
    return this.confidences.size;
  }

  /** False if only a snapshot can tell what the engine holds. */
  get isFollowing(): boolean {
    return this.incarnation !== undefined;
  }

  /** Drops all that is known of the engine. */
  forget(): void {
    this.confidences.clear();
    this.incarnation = undefined;
    this.lastNumber = 0;
  }

  /** Takes over what the engine holds. Calls that were sent in the meantime stay known. */
  takeSnapshot({ incarnation, keys, lastNumber }: CacheSnapshot): void {
    this.incarnation = incarnation;
    this.lastNumber = lastNumber;
    for (const key of keys) {
      this.put(key, 1);
    }
  }

  /**
   * Takes over the events that follow what is known. After a gap or a restart of the engine, drops
   * everything and returns false: evictions may have gone unseen.
   */
  takeChanges(changes: CacheChanges): boolean {
    if (!this.isContinuedBy(changes)) {
      this.forget();
      return false;
    }
    this.apply(changes.events);
    return true;
  }

  /** Takes over events in the order of their numbers. Events that are already known are ignored. */
  apply(events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.number > this.lastNumber) {
        if (event.number > this.lastNumber + 1) {
          this.doubtAll();
        }
        this.lastNumber = event.number;
        this.applyOne(event);
      }
    }
  }

  /** Records that a call with these prefixes was sent to the engine. */
  recordOwnCall(keys: readonly string[]): void {
    for (const key of keys) {
      this.put(key, Math.max(GUESS_CONFIDENCE, this.confidences.get(key) ?? 0));
    }
  }

  /**
   * Expected number of prompt tokens that the cache holds.
   *
   * @param keys keys of the prompt's leading parts, in order of length.
   */
  cachedTokens(keys: readonly string[]): number {
    let expected = 0;
    let confidence = 1;
    for (const key of keys) {
      confidence = Math.min(confidence, this.confidences.get(key) ?? 0);
      if (confidence === 0) {
        break;
      }
      expected += confidence;
    }
    return expected * TOKENS_PER_PREFIX_KEY;
  }

  private isContinuedBy({ events, incarnation, lastNumber }: CacheChanges): boolean {
    const hasNoGap = events.every(({ number }, index) => number === this.lastNumber + index + 1);
    // An engine that has published more and gives none of it has lost the events in between.
    const hasNoLostEnd = events.length > 0 || lastNumber === this.lastNumber;
    return incarnation === this.incarnation && hasNoGap && hasNoLostEnd;
  }

  private applyOne({ kind, key }: CacheEvent): void {
    if (kind === CacheEventKind.Stored) {
      this.put(key, 1);
    } else if (kind === CacheEventKind.Evicted) {
      this.confidences.delete(key);
    } else {
      this.confidences.clear();
    }
  }

  private doubtAll(): void {
    for (const [key, confidence] of this.confidences) {
      this.confidences.set(key, Math.min(confidence, DOUBTFUL_CONFIDENCE));
    }
  }

  private put(key: string, confidence: number): void {
    this.confidences.delete(key);
    this.confidences.set(key, confidence);
    if (this.confidences.size > LIMIT_OF_KEYS) {
      const [oldest] = this.confidences.keys();
      this.confidences.delete(oldest ?? key);
    }
  }
}
