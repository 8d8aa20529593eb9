import { backoffDelays } from 'hickoryrelay/Backoff';

import { EnginePollingTask } from './EnginePollingTask.js';
import { EnginePollingTasks } from './EnginePollingTasks.js';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { Engine } from 'hickoryrelay-endpoint/Engine';
import type { EngineStatusLink } from 'hickoryrelay-link/EngineStatusLink';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';

/** Share of the cache events of all engines in the 9 KB/s of control traffic. */
export const CACHE_EVENT_BYTES_PER_SECOND = 2048;

const MINIMUM_INTERVAL_MILLISECONDS = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** Starts short, since failures of engines are often brief. */
const FAILURE_BACKOFF = { initialMilliseconds: 2000, maximumMilliseconds: 60_000 };

/** Starts long, since an engine without cache events gains them only with a new version. */
const UNSUPPORTED_BACKOFF = { initialMilliseconds: 10_000, maximumMilliseconds: 600_000 };

/**
 * The time until the next read of an engine. All engines together stay within the budget, however
 * long their responses are, since each transfers its bytes once in this time.
 */
export function cacheReadIntervalMilliseconds(
  bytes: number,
  engines: number,
  bytesPerSecond = CACHE_EVENT_BYTES_PER_SECOND,
): number {
  const budgetInterval = (engines * bytes * MILLISECONDS_PER_SECOND) / bytesPerSecond;
  return Math.max(MINIMUM_INTERVAL_MILLISECONDS, budgetInterval);
}

/** Polls the cache events of one engine. After a gap or a restart it reads a snapshot. */
export class CacheEventTask extends EnginePollingTask {
  override readonly name: string;

  private readonly interval: (bytes: number) => number;

  private readonly random: RandomSource;

  private failureDelays: Generator<number, never, void>;

  private unsupportedDelays: Generator<number, never, void>;

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
    this.failureDelays = backoffDelays(FAILURE_BACKOFF, random);
    this.unsupportedDelays = backoffDelays(UNSUPPORTED_BACKOFF, random);
  }

  protected override async read(link: EngineStatusLink, signal: AbortSignal): Promise<number> {
    const bytesBefore = link.exchangedBytes;
    const isSupported = await this.update(link, signal);
    this.failureDelays = backoffDelays(FAILURE_BACKOFF, this.random);
    if (!isSupported) {
      return this.unsupportedDelays.next().value;
    }
    this.unsupportedDelays = backoffDelays(UNSUPPORTED_BACKOFF, this.random);
    return this.interval(link.exchangedBytes - bytesBefore);
  }

  protected override failureDelay(): number {
    return this.failureDelays.next().value;
  }

  /** Returns whether the engine supports cache events. */
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

/** Runs one cache event task for each engine that this instance uses. */
export class CacheEventTasks extends EnginePollingTasks {
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

  protected override createTask(engine: Engine): CacheEventTask {
    const interval = (bytes: number) => cacheReadIntervalMilliseconds(bytes, this.engineCount);
    return new CacheEventTask(engine, interval, this.random, this.log);
  }
}
