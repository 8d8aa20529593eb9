import { CacheEventKind, TOKENS_PER_PREFIX_KEY } from 'hickoryrelay-endpoint/PrefixIndex';

import type { CacheEvent } from 'hickoryrelay-endpoint/PrefixIndex';

/** Prefix cache of limited size with least-recently-used eviction. Records its events. */
export class PrefixCacheModel {
  private readonly maximumKeys: number;

  private readonly cachedKeys = new Set<string>();

  private events: CacheEvent[] = [];

  private eventNumber = 0;

  constructor(tokens: number) {
    this.maximumKeys = Math.floor(tokens / TOKENS_PER_PREFIX_KEY);
  }

  get lastEventNumber(): number {
    return this.eventNumber;
  }

  /** Cached keys, least recently used first. */
  get keys(): readonly string[] {
    return [...this.cachedKeys];
  }

  /** Returns the number of prompt tokens in the leading keys that are cached. */
  cachedTokens(keys: readonly string[]): number {
    const missing = keys.findIndex((key) => !this.cachedKeys.has(key));
    return (missing < 0 ? keys.length : missing) * TOKENS_PER_PREFIX_KEY;
  }

  insert(keys: readonly string[]): void {
    for (const key of keys) {
      if (!this.cachedKeys.delete(key)) {
        this.emit(CacheEventKind.Stored, key);
      }
      this.cachedKeys.add(key);
    }
    for (const key of this.cachedKeys) {
      if (this.cachedKeys.size <= this.maximumKeys) {
        break;
      }
      this.cachedKeys.delete(key);
      this.emit(CacheEventKind.Evicted, key);
    }
  }

  /** Returns and clears the events since the last call. */
  takeEvents(): readonly CacheEvent[] {
    const taken = this.events;
    this.events = [];
    return taken;
  }

  private emit(kind: CacheEventKind, key: string): void {
    this.eventNumber += 1;
    this.events.push({ number: this.eventNumber, kind, key });
  }
}
