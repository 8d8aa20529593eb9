import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

/**
 * Turns of the event loop in which bytes that have arrived are read before a time limit applies. After a
 * stall, timers run before sockets are read, and `ReadTurns` spreads what has arrived over some turns.
 */
const SETTLE_TURNS = 8;

/** Time limits of one call. */
export interface ProgressLimits {
  /** Longest time without progress, in milliseconds. */
  readonly stallMilliseconds: number;
  /** Longest time of the whole call, in milliseconds. */
  readonly totalMilliseconds: number;
}

/** Aborts a call that makes no progress for a time, or takes too long as a whole. */
export class ProgressTimeout {
  private readonly limits: ProgressLimits;

  private readonly controller = new AbortController();

  private readonly startMilliseconds = performance.now();

  private progressMilliseconds = this.startMilliseconds;

  private timer: NodeJS.Timeout | undefined;

  private hasEnded = false;

  constructor(limits: ProgressLimits) {
    this.limits = limits;
    this.schedule(this.remainingMilliseconds);
  }

  /** Aborts when a limit is reached. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  recordProgress(): void {
    this.progressMilliseconds = performance.now();
  }

  /** Ends the time limits. Has to be called when the call has ended. */
  end(): void {
    this.hasEnded = true;
    clearTimeout(this.timer);
  }

  private get remainingMilliseconds(): number {
    const { stallMilliseconds, totalMilliseconds } = this.limits;
    const dueMilliseconds = Math.min(
      this.progressMilliseconds + stallMilliseconds,
      this.startMilliseconds + totalMilliseconds,
    );
    return dueMilliseconds - performance.now();
  }

  private schedule(milliseconds: number): void {
    this.timer = setTimeout(() => this.settle(SETTLE_TURNS), Math.max(1, milliseconds)).unref();
  }

  private settle(turns: number): void {
    if (this.hasEnded) {
      return;
    }
    if (turns > 0) {
      setImmediate(() => this.settle(turns - 1));
      return;
    }
    const { remainingMilliseconds } = this;
    if (remainingMilliseconds > 0) {
      this.schedule(remainingMilliseconds);
      return;
    }
    const limitMilliseconds = Math.min(
      this.limits.stallMilliseconds,
      this.limits.totalMilliseconds,
    );
    this.controller.abort(
      new RelayError({ kind: FailureKind.DeadlineExceeded, limitMilliseconds }),
    );
  }
}
