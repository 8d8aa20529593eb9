import type { Clock } from 'hickoryrelay/Clock';

/** Tells whether this instance is stopping, and since when. */
export class ShutdownSchedule {
  private readonly clock: Clock;

  private startedMilliseconds: number | undefined;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Starts with the stop signal. Further calls have no effect. */
  begin(): void {
    this.startedMilliseconds ??= this.clock.monotonicMilliseconds();
  }

  get isStopping(): boolean {
    return this.startedMilliseconds !== undefined;
  }

  /** Time from the stop signal to a time of the monotonic clock. Undefined unless stopping then. */
  elapsedAt(milliseconds: number): number | undefined {
    const started = this.startedMilliseconds;
    return started === undefined || milliseconds < started ? undefined : milliseconds - started;
  }
}
