import { EnginePollingTask } from './EnginePollingTask.js';
import { EnginePollingTasks } from './EnginePollingTasks.js';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Engine } from 'hickoryrelay-endpoint/Engine';
import type { EngineStatusLink } from 'hickoryrelay-link/EngineStatusLink';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';

/** A request and its response take about 400 bytes, so 10 reads per second stay within 4 KB/s. */
const READS_PER_SECOND = 10;
const MINIMUM_INTERVAL_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1000;

/** Polls the load reports of one engine. */
export class EngineLoadTask extends EnginePollingTask {
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

/** Runs one load task for each engine that this instance uses. */
export class EngineLoadTasks extends EnginePollingTasks {
  override readonly name = 'engine loads';

  private readonly log: ComponentLogger;

  constructor(pool: EndpointPool, lifecycle: LifecycleManager, log: ComponentLogger) {
    super(pool, lifecycle);
    this.log = log;
  }

  protected override createTask(engine: Engine): EngineLoadTask {
    return new EngineLoadTask(engine, () => this.intervalMilliseconds(), this.log);
  }

  private intervalMilliseconds(): number {
    const budgetInterval = (this.engineCount * MILLISECONDS_PER_SECOND) / READS_PER_SECOND;
    return Math.max(MINIMUM_INTERVAL_MILLISECONDS, budgetInterval);
  }
}
