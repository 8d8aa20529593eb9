import { Task } from 'hickoryrelay/Task';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import type { EnginePollingTask } from './EnginePollingTask.js';
import type { LifecycleManager, RunningTask } from 'hickoryrelay/LifecycleManager';
import type { TaskContext } from 'hickoryrelay/Task';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';

const SYNCHRONIZATION_INTERVAL_MILLISECONDS = 1000;

/** Runs one polling task for each engine that this instance uses. */
export abstract class EnginePollingTasks extends Task {
  private readonly pool: EndpointPool;

  private readonly lifecycle: LifecycleManager;

  private readonly running = new Map<Engine, RunningTask>();

  constructor(pool: EndpointPool, lifecycle: LifecycleManager) {
    super();
    this.pool = pool;
    this.lifecycle = lifecycle;
  }

  /** Number of engines that are polled. */
  protected get engineCount(): number {
    return this.running.size;
  }

  protected abstract createTask(engine: Engine): EnginePollingTask;

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      await this.synchronizeTasks();
      yield;
      await clock.sleep(SYNCHRONIZATION_INTERVAL_MILLISECONDS, signal);
    }
  }

  private async synchronizeTasks(): Promise<void> {
    const desired = new Set(this.pool.members.filter((endpoint) => endpoint instanceof Engine));
    for (const [engine, task] of this.running) {
      if (!desired.has(engine)) {
        this.running.delete(engine);
        await task.stop();
      }
    }
    for (const engine of desired) {
      if (!this.running.has(engine)) {
        this.running.set(engine, this.lifecycle.start(this.createTask(engine)));
      }
    }
  }
}
