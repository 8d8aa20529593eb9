import type { Clock } from './Clock.js';

/** What a running task gets from its life-cycle manager. */
export interface TaskContext {
  /** Aborts when the task must end; pass it to every wait. */
  readonly signal: AbortSignal;
  readonly clock: Clock;
}

/**
 * The work of one connection or one peer, written straight down as an async generator. Each
 * `yield` is a point where the life-cycle manager may end the task; an override keeps its clean-up
 * in `finally` blocks and passes `context.signal` to every wait.
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
