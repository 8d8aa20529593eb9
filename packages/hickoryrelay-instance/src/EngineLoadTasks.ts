import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { EngineStatusLink } from 'hickoryrelay-link/EngineStatusLink';

import type { LifecycleManager, RunningTask } from 'hickoryrelay/LifecycleManager';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';

/** A request and its answer are about 400 bytes, so 10 a second stay within 4 KB a second. */
const READS_PER_SECOND = 10;
const SHORTEST_INTERVAL_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1000;
const FOLLOW_INTERVAL_MILLISECONDS = 1000;

/** Reads the load reports of one engine. */
export class EngineLoadTask extends Task {
  override readonly name: string;

  private readonly engine: Engine;

  private readonly interval: () => number;

  private readonly log: PartLogger;

  constructor(engine: Engine, interval: () => number, log: PartLogger) {
    super();
    this.name = `load of ${engine.identifier}`;
    this.engine = engine;
    this.interval = interval;
    this.log = log;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    const link = new EngineStatusLink(this.engine.place, clock);
    while (this.engine.takesWork) {
      try {
        const report = await link.readLoad(signal);
        if (report !== undefined) {
          this.engine.load.update(report);
        }
      } catch (error) {
        this.log.debug('Could not read a load report.', {
          endpoint: this.engine.identifier,
          reason: describeFailure(failureOf(error)),
        });
      }
      yield;
      await clock.sleep(this.interval(), signal);
    }
  }
}

/** Keeps one load task for each engine that this instance uses. */
export class EngineLoadTasks extends Task {
  override readonly name = 'engine loads';

  private readonly pool: EndpointPool;

  private readonly lifecycle: LifecycleManager;

  private readonly log: PartLogger;

  private readonly running = new Map<Engine, RunningTask>();

  constructor(pool: EndpointPool, lifecycle: LifecycleManager, log: PartLogger) {
    super();
    this.pool = pool;
    this.lifecycle = lifecycle;
    this.log = log;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      await this.follow();
      yield;
      await clock.sleep(FOLLOW_INTERVAL_MILLISECONDS, signal);
    }
  }

  private async follow(): Promise<void> {
    const wanted = new Set(this.pool.members.filter((each) => each instanceof Engine));
    for (const [engine, task] of this.running) {
      if (!wanted.has(engine)) {
        this.running.delete(engine);
        await task.stop();
      }
    }
    for (const engine of wanted) {
      if (!this.running.has(engine)) {
        const task = new EngineLoadTask(engine, () => this.intervalMilliseconds(), this.log);
        this.running.set(engine, this.lifecycle.start(task));
      }
    }
  }

  private intervalMilliseconds(): number {
    const fair = (this.running.size * MILLISECONDS_PER_SECOND) / READS_PER_SECOND;
    return Math.max(SHORTEST_INTERVAL_MILLISECONDS, fair);
  }
}
