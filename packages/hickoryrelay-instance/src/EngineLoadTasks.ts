import { EngineReadingTask } from './EngineReadingTask.js';
import { EngineReadingTasks } from './EngineReadingTasks.js';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Engine } from 'hickoryrelay-endpoint/Engine';
import type { EngineStatusLink } from 'hickoryrelay-link/EngineStatusLink';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';

/** A request and its answer are about 400 bytes, so 10 a second stay within 4 KB a second. */
const READS_PER_SECOND = 10;
const SHORTEST_INTERVAL_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1000;

/** Reads the load reports of one engine. */
export class EngineLoadTask extends EngineReadingTask {
  override readonly name: string;

  private readonly interval: () => number;

  constructor(engine: Engine, interval: () => number, log: ComponentLogger) {
    super(engine, log);
    this.name = `load of ${engine.identifier}`;
    this.interval = interval;
  }

  protected override async read(link: EngineStatusLink, signal: AbortSignal): Promise<number> {
    const report = await link.readLoad(signal);
    if (report !== undefined) {
      this.engine.load.update(report);
    }
    return this.interval();
  }

  protected override failureDelay(): number {
    return this.interval();
  }
}

/** Keeps one load task for each engine that this instance uses. */
export class EngineLoadTasks extends EngineReadingTasks {
  override readonly name = 'engine loads';

  private readonly log: ComponentLogger;

  constructor(pool: EndpointPool, lifecycle: LifecycleManager, log: ComponentLogger) {
    super(pool, lifecycle);
    this.log = log;
  }

  protected override taskFor(engine: Engine): EngineLoadTask {
    return new EngineLoadTask(engine, () => this.intervalMilliseconds(), this.log);
  }

  private intervalMilliseconds(): number {
    const fair = (this.engineCount * MILLISECONDS_PER_SECOND) / READS_PER_SECOND;
    return Math.max(SHORTEST_INTERVAL_MILLISECONDS, fair);
  }
}
