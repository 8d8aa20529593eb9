import type { Clock } from 'hickoryrelay/Clock';

/** Limits on the silence of an endpoint, in milliseconds. */
export interface SilenceLimits {
  readonly firstMilliseconds: number;
  readonly nextMilliseconds: number;
  readonly condemnedMilliseconds: number;
}

/**
 * Notices when an endpoint brings nothing for too long. Time in which the caller, not the endpoint,
 * is waited for does not count. One alarm is set at a time and not moved by progress, because a
 * timer set for each piece costs more than the piece.
 */
export class ProgressDeadline {
  private readonly clock: Clock;

  private readonly limits: SilenceLimits;

  private readonly isCondemned: () => boolean;

  private readonly onSilent: (silentMilliseconds: number) => void;

  private hasProgressed = false;

  private isPaused = false;

  private sinceMilliseconds: number;

  private cancelAlarm: () => void = () => {};

  constructor(
    clock: Clock,
    limits: SilenceLimits,
    isCondemned: () => boolean,
    onSilent: (silentMilliseconds: number) => void,
  ) {
    this.clock = clock;
    this.limits = limits;
    this.isCondemned = isCondemned;
    this.onSilent = onSilent;
    this.sinceMilliseconds = clock.monotonicMilliseconds();
    this.setAlarm();
  }

  /** Records that a piece has arrived and that the caller is waited for. */
  pause(): void {
    this.isPaused = true;
  }

  /** Records that the endpoint is waited for again. */
  resume(): void {
    this.isPaused = false;
    this.hasProgressed = true;
    this.sinceMilliseconds = this.clock.monotonicMilliseconds();
  }

  stop(): void {
    this.cancelAlarm();
  }

  private get limitMilliseconds(): number {
    const { firstMilliseconds, nextMilliseconds, condemnedMilliseconds } = this.limits;
    if (!this.hasProgressed) {
      return firstMilliseconds;
    }
    return this.isCondemned() ? condemnedMilliseconds : nextMilliseconds;
  }

  private setAlarm(): void {
    const { firstMilliseconds, condemnedMilliseconds } = this.limits;
    const shortest = Math.min(firstMilliseconds, condemnedMilliseconds);
    this.cancelAlarm = this.clock.schedule(shortest, () => this.check());
  }

  private check(): void {
    const silentMilliseconds = this.clock.monotonicMilliseconds() - this.sinceMilliseconds;
    if (!this.isPaused && silentMilliseconds >= this.limitMilliseconds) {
      this.onSilent(silentMilliseconds);
      return;
    }
    this.setAlarm();
  }
}
