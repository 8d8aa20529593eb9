import type { Clock } from './Clock.js';

/** Context that the life-cycle manager passes to a task. */
export interface TaskContext {
  /** Aborts when the task must end. Must be passed to every wait. */
  readonly signal: AbortSignal;
  readonly clock: Clock;
}

/**
 * The work of one connection or one peer, written as sequential code in an async generator. The
 * life-cycle manager may end the task at each `yield`. Implementations release their resources in
 * `finally` blocks and pass `context.signal` to every wait.
 */
export abstract class Task {
  abstract readonly name: string;

  protected abstract steps(context: TaskContext): AsyncGenerator<void, void, void>;

  /** Runs the steps until they end or the signal aborts. */
  async run(context: TaskContext): Promise<void> {
    const steps = this.steps(context);
    let step = await steps.next();
    while (!step.done) {
      step = context.signal.aborted ? await steps.return() : await steps.next();
    }
  }
}
