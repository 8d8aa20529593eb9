import type { Clock } from 'hickoryrelay/Clock';

/**
 * Time until an overdue attempt is checked again. Callers abandon a stream 0.8 s after the limit at the
 * earliest.
 */
const OVERDUE_CHECK_MILLISECONDS = 250;

/**
 * Aborts an attempt that makes no progress for too long, if the request can be sent elsewhere then.
 * Its user decides what counts as progress and when there is nothing to wait for.
 */
export class AttemptTimeout {
  private readonly clock: Clock;

  private readonly canMove: () => boolean;

  private readonly abortController = new AbortController();

  private limitMilliseconds = 0;

  private progressMilliseconds = 0;

  private isPaused = false;

  private cancelTimer: (() => void) | undefined;

  /** `canMove` tells whether the request could be sent to another endpoint now. */
  constructor(clock: Clock, canMove: () => boolean) {
    this.clock = clock;
    this.canMove = canMove;
  }

  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Starts to wait for progress, with a limit that applies from now on. */
  start(limitMilliseconds: number): void {
    this.cancel();
    this.limitMilliseconds = limitMilliseconds;
    this.recordProgress();
    this.scheduleCheck(limitMilliseconds);
  }

  /** Restarts the limit. The timer is left as it is, because events are frequent. */
  recordProgress(): void {
    this.isPaused = false;
    this.progressMilliseconds = this.clock.monotonicMilliseconds();
  }

  /** Stops counting until the next progress, while the endpoint is not waited for. */
  pause(): void {
    this.isPaused = true;
  }

  cancel(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
  }

  private scheduleCheck(milliseconds: number): void {
    this.cancelTimer = this.clock.schedule(milliseconds, () => {
      const elapsed = this.isPaused
        ? 0
        : this.clock.monotonicMilliseconds() - this.progressMilliseconds;
      if (elapsed < this.limitMilliseconds) {
        this.scheduleCheck(this.limitMilliseconds - elapsed);
      } else if (this.canMove()) {
        this.abortController.abort();
      } else {
        // The silence of an endpoint is no reason to end a response that no other one can give.
        this.scheduleCheck(Math.min(this.limitMilliseconds, OVERDUE_CHECK_MILLISECONDS));
      }
    });
  }
}
