import { backoffDelays } from 'hickoryrelay/Backoff';

import { EngineReadingTask } from './EngineReadingTask.js';
import { EngineReadingTasks } from './EngineReadingTasks.js';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { Engine } from 'hickoryrelay-endpoint/Engine';
import type { EngineStatusLink } from 'hickoryrelay-link/EngineStatusLink';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';

/** Part of the 9 KB a second of control traffic that cache events of all engines may take. */
export const CACHE_EVENT_BYTES_PER_SECOND = 2048;

const SHORTEST_INTERVAL_MILLISECONDS = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** An engine that fails may be back in a moment. */
const FAILURE_LIMITS = { initialMilliseconds: 2000, maximumMilliseconds: 60_000 };

/** An engine without cache events gets them with a new version only. */
const NOT_OFFERED_LIMITS = { initialMilliseconds: 10_000, maximumMilliseconds: 600_000 };

/**
 * The time until the next read of an engine. Each of the engines that are read spends its bytes in
 * this time, so that all of them together keep to the budget, however long their answers are.
 */
export function cacheReadIntervalMilliseconds(
  bytes: number,
  engines: number,
  bytesPerSecond = CACHE_EVENT_BYTES_PER_SECOND,
): number {
  const fair = (engines * bytes * MILLISECONDS_PER_SECOND) / bytesPerSecond;
  return Math.max(SHORTEST_INTERVAL_MILLISECONDS, fair);
}

/** Follows the cache events of one engine. After a gap or a restart it starts from a snapshot. */
export class CacheEventTask extends EngineReadingTask {
  override readonly name: string;

  private readonly interval: (bytes: number) => number;

  private readonly random: RandomSource;

  private failureDelays: Generator<number, never, void>;

  private notOfferedDelays: Generator<number, never, void>;

  constructor(
    engine: Engine,
    interval: (bytes: number) => number,
    random: RandomSource,
    log: ComponentLogger,
  ) {
    super(engine, log);
    this.name = `cache events of ${engine.identifier}`;
    this.interval = interval;
    this.random = random;
    this.failureDelays = backoffDelays(FAILURE_LIMITS, random);
    this.notOfferedDelays = backoffDelays(NOT_OFFERED_LIMITS, random);
  }

  protected override async read(link: EngineStatusLink, signal: AbortSignal): Promise<number> {
    const bytesBefore = link.exchangedBytes;
    const isOffered = await this.update(link, signal);
    this.failureDelays = backoffDelays(FAILURE_LIMITS, this.random);
    if (!isOffered) {
      return this.notOfferedDelays.next().value;
    }
    this.notOfferedDelays = backoffDelays(NOT_OFFERED_LIMITS, this.random);
    return this.interval(link.exchangedBytes - bytesBefore);
  }

  protected override failureDelay(): number {
    return this.failureDelays.next().value;
  }

  /** Returns whether the engine publishes cache events. */
  private async update(link: EngineStatusLink, signal: AbortSignal): Promise<boolean> {
    const { prefixIndex } = this.engine;
    if (prefixIndex.isSynchronized) {
      const changes = await link.readCacheChanges(prefixIndex.lastEventNumber, signal);
      if (changes === undefined) {
        prefixIndex.clear();
        return false;
      }
      if (prefixIndex.applyChanges(changes)) {
        return true;
      }
    }
    const snapshot = await link.readCacheSnapshot(signal);
    if (snapshot === undefined) {
      return false;
    }
    prefixIndex.applySnapshot(snapshot);
    return true;
  }
}

/** Keeps one task for the cache events of each engine that this instance uses. */
export class CacheEventTasks extends EngineReadingTasks {
  override readonly name = 'cache events';

  private readonly random: RandomSource;

  private readonly log: ComponentLogger;

  constructor(
    pool: EndpointPool,
    lifecycle: LifecycleManager,
    random: RandomSource,
    log: ComponentLogger,
  ) {
    super(pool, lifecycle);
    this.random = random;
    this.log = log;
  }

  protected override taskFor(engine: Engine): CacheEventTask {
    const interval = (bytes: number) => cacheReadIntervalMilliseconds(bytes, this.engineCount);
    return new CacheEventTask(engine, interval, this.random, this.log);
  }
}
