import type { Clock } from 'hickoryrelay/Clock';

/** Longest times without data from an endpoint, in milliseconds. */
export interface StallTimeouts {
  /** Until the first chunk. */
  readonly firstChunkMilliseconds: number;
  /** Between two chunks. */
  readonly nextChunkMilliseconds: number;
  /** Between two chunks on a suspect connection, a sibling of which has stalled. */
  readonly suspectMilliseconds: number;
}

/**
 * Detects a stalled endpoint. Time spent waiting for the caller does not count. Progress does not
 * reset the timer, which instead checks at intervals, because resetting a timer for each chunk
 * costs more than relaying the chunk.
 */
export class ProgressDeadline {
  private readonly clock: Clock;

  private readonly limits: StallTimeouts;

  private readonly isSuspect: () => boolean;

  private readonly onStalled: (stalledMilliseconds: number) => void;

  private hasProgressed = false;

  private isPaused = false;

  private lastProgressMilliseconds: number;

  private cancelTimer: () => void = () => {};

  constructor(
    clock: Clock,
    limits: StallTimeouts,
    isSuspect: () => boolean,
    onStalled: (stalledMilliseconds: number) => void,
  ) {
    this.clock = clock;
    this.limits = limits;
    this.isSuspect = isSuspect;
    this.onStalled = onStalled;
    this.lastProgressMilliseconds = clock.monotonicMilliseconds();
    this.startTimer();
  }

  /** Suspends the deadline when a chunk has arrived and the exchange waits for the caller. */
  pause(): void {
    this.isPaused = true;
  }

  /** Restarts the deadline when the exchange waits for the endpoint again. */
  resume(): void {
    this.isPaused = false;
    this.hasProgressed = true;
    this.lastProgressMilliseconds = this.clock.monotonicMilliseconds();
  }

  stop(): void {
    this.cancelTimer();
  }

  private get timeoutMilliseconds(): number {
    const { firstChunkMilliseconds, nextChunkMilliseconds, suspectMilliseconds } = this.limits;
    if (!this.hasProgressed) {
      return firstChunkMilliseconds;
    }
    return this.isSuspect() ? suspectMilliseconds : nextChunkMilliseconds;
  }

  private startTimer(): void {
    const { firstChunkMilliseconds, suspectMilliseconds } = this.limits;
    const shortestMilliseconds = Math.min(firstChunkMilliseconds, suspectMilliseconds);
    this.cancelTimer = this.clock.schedule(shortestMilliseconds, () => this.check());
  }

  private check(): void {
    const stalledMilliseconds = this.clock.monotonicMilliseconds() - this.lastProgressMilliseconds;
    if (!this.isPaused && stalledMilliseconds >= this.timeoutMilliseconds) {
      this.onStalled(stalledMilliseconds);
      return;
    }
    this.startTimer();
  }
}
