import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

/** Longest delay of a timer, 24.8 days. The runtime fires at once for longer ones. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** Source of time. Nothing else reads the system clock, so that tests can replace it. */
export abstract class Clock {
  /** Milliseconds on a clock that never goes back and keeps running while the process is paused. */
  abstract monotonicMilliseconds(): number;

  /** Milliseconds since the Unix epoch. */
  abstract wallMilliseconds(): number;

  /** Runs the action once after the delay, or after 24.8 days if it is longer. Returns a function that cancels it. */
  abstract schedule(milliseconds: number, action: () => void): () => void;

  /** Resolves after the delay. Rejects with `cancelled` if the signal aborts first. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const cancellationError = () =>
        new RelayError({ kind: FailureKind.Cancelled, reason: 'the wait was aborted' });
      if (signal?.aborted === true) {
        reject(cancellationError());
        return;
      }
      let cancelTimer = () => {};
      const onAbort = () => {
        cancelTimer();
        reject(cancellationError());
      };
      cancelTimer = this.schedule(milliseconds, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}

/** Clock of the operating system. */
export class SystemClock extends Clock {
  override monotonicMilliseconds(): number {
    return performance.now();
  }

  override wallMilliseconds(): number {
    return Date.now();
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    const timer = setTimeout(action, Math.min(milliseconds, MAXIMUM_TIMER_MILLISECONDS));
    return () => clearTimeout(timer);
  }
}
