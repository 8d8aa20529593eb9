import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

/** Source of time. Tests replace it, so nothing else in the project reads the system clock. */
export abstract class Clock {
  /** Milliseconds on a clock that never goes back and does not stop while the process is paused. */
  abstract monotonicMilliseconds(): number;

  /** Milliseconds since the Unix epoch. */
  abstract wallMilliseconds(): number;

  /** Runs the action once after the time has passed. Returns the function that cancels it. */
  abstract schedule(milliseconds: number, action: () => void): () => void;

  /** Resolves after the time has passed; rejects with `cancelled` if the signal aborts first. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const cancelled = () =>
        new RelayError({ kind: FailureKind.Cancelled, reason: 'the wait was aborted' });
      if (signal?.aborted === true) {
        reject(cancelled());
        return;
      }
      let cancelAlarm = () => {};
      const onAbort = () => {
        cancelAlarm();
        reject(cancelled());
      };
      cancelAlarm = this.schedule(milliseconds, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override monotonicMilliseconds(): number {
    return performance.now();
  }

  override wallMilliseconds(): number {
    return Date.now();
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    const timer = setTimeout(action, milliseconds);
    return () => clearTimeout(timer);
  }
}
