import type { Clock } from 'hickoryrelay/Clock';

/**
 * Aborts an attempt that makes no progress for too long. Its user decides what counts as progress and
 * when there is nothing to wait for.
 */
export class AttemptTimeout {
  private readonly clock: Clock;

  private readonly abortController = new AbortController();

  private limitMilliseconds = 0;

  private progressMilliseconds = 0;

  private isPaused = false;

  private cancelTimer: (() => void) | undefined;

  constructor(clock: Clock) {
    this.clock = clock;
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
      if (elapsed >= this.limitMilliseconds) {
        this.abortController.abort();
      } else {
        this.scheduleCheck(this.limitMilliseconds - elapsed);
      }
    });
  }
}
