import { FailureKind } from './Failure.js';
import { failureOf } from './RelayError.js';

import type { Clock } from './Clock.js';
import type { Failure } from './Failure.js';
import type { Task } from './Task.js';

/** Releases a registered resource. Further calls have no effect. */
export type CleanUp = () => void | Promise<void>;

/** A started task and the means to stop it. */
export interface RunningTask {
  readonly task: Task;
  /** Resolves when the task has ended, with the failure that ended it if there was one. */
  readonly ended: Promise<Failure | undefined>;
  /** Aborts the task and waits until it has ended. */
  stop(): Promise<void>;
}

/** Called for each clean-up or task that fails, so that no failure goes unnoticed. */
export type FailureObserver = (owner: string, failure: Failure) => void;

/**
 * Owns the tasks, resources and subscriptions of one object and releases them in reverse order of
 * registration. A child manager is stopped with its parent.
 */
export class LifecycleManager {
  readonly name: string;

  readonly clock: Clock;

  private readonly observer: FailureObserver;

  private readonly cleanUps = new Map<symbol, { owner: string; cleanUp: CleanUp }>();

  private stopping: Promise<void> | undefined;

  constructor(name: string, clock: Clock, observer: FailureObserver) {
    this.name = name;
    this.clock = clock;
    this.observer = observer;
  }

  get isStopping(): boolean {
    return this.stopping !== undefined;
  }

  /** Registers a clean-up. Returns a function that runs it before the manager stops. */
  own(owner: string, cleanUp: CleanUp): CleanUp {
    const key = Symbol(owner);
    this.cleanUps.set(key, { owner, cleanUp });
    return async () => {
      if (this.cleanUps.delete(key)) {
        await cleanUp();
      }
    };
  }

  /** Starts a task and owns it until it ends. */
  start(task: Task): RunningTask {
    const abort = new AbortController();
    const { clock } = this;
    const key = Symbol(task.name);
    const ended = task
      .run({ signal: abort.signal, clock })
      .then(
        () => undefined,
        (error: unknown) => this.reportTaskFailure(task, abort.signal, error),
      )
      .finally(() => this.cleanUps.delete(key));
    const stop = async () => {
      abort.abort();
      await ended;
    };
    this.cleanUps.set(key, { owner: task.name, cleanUp: stop });
    if (this.isStopping) {
      abort.abort();
    }
    return { task, ended, stop };
  }

  /** Creates a manager that is stopped with this one. */
  child(name: string): LifecycleManager {
    const child = new LifecycleManager(`${this.name}/${name}`, this.clock, this.observer);
    const release = this.own(child.name, () => child.stop());
    child.own('release from parent', () => {
      if (!this.isStopping) {
        void release();
      }
    });
    return child;
  }

  /** Runs all clean-ups, latest first. A failure is reported and does not prevent the others. */
  stop(): Promise<void> {
    this.stopping ??= this.runCleanUps();
    return this.stopping;
  }

  private async runCleanUps(): Promise<void> {
    for (;;) {
      const last = [...this.cleanUps.entries()].at(-1);
      if (last === undefined) {
        return;
      }
      const [key, { owner, cleanUp }] = last;
      this.cleanUps.delete(key);
      try {
        await cleanUp();
      } catch (error) {
        this.observer(owner, failureOf(error));
      }
    }
  }

  private reportTaskFailure(task: Task, signal: AbortSignal, error: unknown): Failure | undefined {
    const failure = failureOf(error);
    if (signal.aborted && failure.kind === FailureKind.Cancelled) {
      return undefined;
    }
    this.observer(task.name, failure);
    return failure;
  }
}
