import { Task } from 'hickoryrelay/Task';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import type { EngineReadingTask } from './EngineReadingTask.js';
import type { LifecycleManager, RunningTask } from 'hickoryrelay/LifecycleManager';
import type { TaskContext } from 'hickoryrelay/Task';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';

const FOLLOW_INTERVAL_MILLISECONDS = 1000;

/** Keeps one reading task for each engine that this instance uses. */
export abstract class EngineReadingTasks extends Task {
  private readonly pool: EndpointPool;

  private readonly lifecycle: LifecycleManager;

  private readonly running = new Map<Engine, RunningTask>();

  constructor(pool: EndpointPool, lifecycle: LifecycleManager) {
    super();
    this.pool = pool;
    this.lifecycle = lifecycle;
  }

  /** Engines that are read at present. */
  protected get engineCount(): number {
    return this.running.size;
  }

  protected abstract taskFor(engine: Engine): EngineReadingTask;

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
        this.running.set(engine, this.lifecycle.start(this.taskFor(engine)));
      }
    }
  }
}
