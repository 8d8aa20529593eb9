import type { Clock } from 'hickoryrelay/Clock';

/**
 * Time until an overdue attempt is checked again. Callers abandon a stream 0.8 s after the limit at the
 * earliest.
 */
const OVERDUE_CHECK_MILLISECONDS = 250;

/**
 * Reports an attempt that makes no progress for too long. Its user decides what counts as progress and
 * when there is nothing to wait for.
 */
export class AttemptTimeout {
  private readonly clock: Clock;

  private readonly handleOverdue: () => void;

  private limitMilliseconds = 0;

  private progressMilliseconds = 0;

  private isPaused = false;

  private cancelTimer: (() => void) | undefined;

  /** `handleOverdue` is called repeatedly while the attempt is overdue. */
  constructor(clock: Clock, handleOverdue: () => void) {
    this.clock = clock;
    this.handleOverdue = handleOverdue;
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
      } else {
        this.scheduleCheck(Math.min(this.limitMilliseconds, OVERDUE_CHECK_MILLISECONDS));
        this.handleOverdue();
      }
    });
  }
}
