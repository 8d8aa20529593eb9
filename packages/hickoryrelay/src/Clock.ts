import { setTimeout as sleepFor } from 'node:timers/promises';

import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

/** Source of time. Tests replace it, so nothing else in the project reads the system clock. */
export abstract class Clock {
  /** Milliseconds on a clock that never goes back and does not stop while the process is paused. */
  abstract monotonicMilliseconds(): number;

  /** Milliseconds since the Unix epoch. */
  abstract wallMilliseconds(): number;

  /** Resolves after the time has passed; rejects with `cancelled` if the signal aborts first. */
  abstract sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;

  /** Runs the action once after the time has passed. Returns the function that cancels it. */
  abstract schedule(milliseconds: number, action: () => void): () => void;
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override monotonicMilliseconds(): number {
    return performance.now();
  }

  override wallMilliseconds(): number {
    return Date.now();
  }

  override async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    try {
      await sleepFor(milliseconds, undefined, { signal });
    } catch (error) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the wait was aborted' }, error);
    }
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    const timer = setTimeout(action, milliseconds);
    return () => clearTimeout(timer);
  }
}
