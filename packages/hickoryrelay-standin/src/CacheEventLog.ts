import { encodeRuns } from 'hickoryrelay-endpoint/CacheEvents';

import type { JsonResponse } from './JsonServer.js';
import type { PrefixCacheModel } from './PrefixCacheModel.js';
import type { CacheEvent } from 'hickoryrelay-endpoint/PrefixIndex';

/** Number of events retained for readers. Older events are dropped. */
const MAXIMUM_EVENTS = 4096;
const DEFAULT_LIMIT = 256;

/** Publishes the prefix cache events of an engine stand-in. */
export class CacheEventLog {
  private readonly cache: PrefixCacheModel;

  private readonly incarnation: string;

  private published: CacheEvent[] = [];

  private lastNumber = 0;

  private publishedKeys: readonly string[] = [];

  constructor(cache: PrefixCacheModel, incarnation: string) {
    this.cache = cache;
    this.incarnation = incarnation;
  }

  /** Publishes the events since the last call, except those for which `isLost` returns true. */
  publish(isLost: (event: CacheEvent) => boolean = () => false): void {
    const kept = this.cache.takeEvents().filter((event) => !isLost(event));
    this.published = [...this.published, ...kept].slice(-MAXIMUM_EVENTS);
    this.lastNumber = this.cache.lastEventNumber;
    this.publishedKeys = this.cache.keys;
  }

  /** Handles `GET /cache_events`: the events after a number, or a snapshot of the keys. */
  answer(query: URLSearchParams): JsonResponse {
    const head = { incarnation: this.incarnation, last_number: this.lastNumber };
    const limit = Number(query.get('limit') ?? DEFAULT_LIMIT);
    const after = query.get('after');
    if (after === null) {
      return { status: 200, body: { ...head, keys: this.publishedKeys.slice(-limit) } };
    }
    const events = this.published.filter(({ number }) => number > Number(after)).slice(0, limit);
    return { status: 200, body: { ...head, runs: encodeRuns(events) } };
  }
}
