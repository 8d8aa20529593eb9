import { Clock } from 'hickoryrelay/Clock';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

/**
 * The clock of one simulated process. While the process is paused time goes on, but nothing that
 * falls due or arrives runs until it resumes; once killed, nothing runs any more.
 */
export class ProcessClock extends Clock {
  private readonly base: Clock;

  private held: (() => void)[] = [];

  private isPaused = false;

  private isKilled = false;

  constructor(base: Clock) {
    super();
    this.base = base;
  }

  get isRunning(): boolean {
    return !this.isPaused && !this.isKilled;
  }

  override monotonicMilliseconds(): number {
    return this.base.monotonicMilliseconds();
  }

  override wallMilliseconds(): number {
    return this.base.wallMilliseconds();
  }

  override sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
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

  override schedule(milliseconds: number, action: () => void): () => void {
    let isOpen = true;
    const run = () => {
      if (isOpen) {
        isOpen = false;
        action();
      }
    };
    const cancelAlarm = this.base.schedule(milliseconds, () => this.whenRunning(run));
    return () => {
      isOpen = false;
      cancelAlarm();
    };
  }

  /** Resolves once the process can take in what arrived from outside. */
  arrive(): Promise<void> {
    return new Promise((resolve) => {
      this.whenRunning(resolve);
    });
  }

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    const { held } = this;
    this.held = [];
    if (!this.isKilled) {
      held.forEach((action) => action());
    }
  }

  kill(): void {
    this.isKilled = true;
    this.held = [];
  }

  private whenRunning(action: () => void): void {
    if (this.isRunning) {
      action();
    } else if (!this.isKilled) {
      this.held.push(action);
    }
  }
}
