import { CacheEventKind, TOKENS_PER_PREFIX_KEY } from 'hickoryrelay-endpoint/PrefixIndex';

import type { CacheEvent } from 'hickoryrelay-endpoint/PrefixIndex';

/** A prefix cache of limited size that gives up the prefix used longest ago, and its events. */
export class PrefixCacheModel {
  private readonly mostKeys: number;

  private readonly held = new Set<string>();

  private events: CacheEvent[] = [];

  private eventNumber = 0;

  constructor(tokens: number) {
    this.mostKeys = Math.floor(tokens / TOKENS_PER_PREFIX_KEY);
  }

  get lastEventNumber(): number {
    return this.eventNumber;
  }

  /** The prefix used longest ago first. */
  get keys(): readonly string[] {
    return [...this.held];
  }

  /** Prompt tokens of the leading parts that the cache holds. */
  cachedTokens(keys: readonly string[]): number {
    const missing = keys.findIndex((key) => !this.held.has(key));
    return (missing < 0 ? keys.length : missing) * TOKENS_PER_PREFIX_KEY;
  }

  remember(keys: readonly string[]): void {
    for (const key of keys) {
      if (!this.held.delete(key)) {
        this.emit(CacheEventKind.Stored, key);
      }
      this.held.add(key);
    }
    for (const key of this.held) {
      if (this.held.size <= this.mostKeys) {
        break;
      }
      this.held.delete(key);
      this.emit(CacheEventKind.Evicted, key);
    }
  }

  /** Events since the last call. */
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
