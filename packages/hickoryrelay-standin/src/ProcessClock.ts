import { Clock } from 'hickoryrelay/Clock';

import { FaultKind, FaultTally } from './FaultTally.js';

/**
 * Clock of one simulated process. While the process is paused, time advances but timers and incoming
 * messages are held until it resumes. After a kill, nothing runs.
 */
export class ProcessClock extends Clock {
  /** Counts the injected faults that took effect. */
  tally = new FaultTally();

  private readonly base: Clock;

  private heldTimers: (() => void)[] = [];

  private heldArrivals: (() => void)[] = [];

  private wallOffsetMilliseconds = 0;

  private isPaused = false;

  private hasEnded = false;

  constructor(base: Clock) {
    super();
    this.base = base;
  }

  get isRunning(): boolean {
    return !this.isPaused && !this.hasEnded;
  }

  get isKilled(): boolean {
    return this.hasEnded;
  }

  override monotonicMilliseconds(): number {
    return this.base.monotonicMilliseconds();
  }

  override wallMilliseconds(): number {
    return this.base.wallMilliseconds() + this.wallOffsetMilliseconds;
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    let isOpen = true;
    const run = () => {
      if (isOpen) {
        isOpen = false;
        action();
      }
    };
    const cancelTimer = this.base.schedule(milliseconds, () => {
      this.runOrHold(this.heldTimers, run);
    });
    return () => {
      isOpen = false;
      cancelTimer();
    };
  }

  /** Resolves when the process is running and can handle an incoming message. */
  waitForDelivery(): Promise<void> {
    return new Promise((resolve) => {
      this.receive(resolve);
    });
  }

  /** Runs the action when the process is running and can handle an incoming message. */
  receive(action: () => void): void {
    this.runOrHold(this.heldArrivals, action);
  }

  pause(): void {
    this.isPaused = true;
  }

  /**
   * Resumes the process. An event loop that wakes up may handle either timers or incoming messages
   * first; the effects of the first kind run before the second kind is handled.
   */
  async resume(arrivalsFirst = false): Promise<void> {
    this.isPaused = false;
    const { heldTimers, heldArrivals } = this;
    this.heldTimers = [];
    this.heldArrivals = [];
    const [first, second] = arrivalsFirst ? [heldArrivals, heldTimers] : [heldTimers, heldArrivals];
    first.forEach((action) => action());
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
    second.forEach((action) => action());
  }

  /** Sets the offset of this wall clock from the base clock. */
  setWallOffset(milliseconds: number): void {
    if (milliseconds !== this.wallOffsetMilliseconds && milliseconds !== 0) {
      this.tally.count(FaultKind.ClockStep);
    }
    this.wallOffsetMilliseconds = milliseconds;
  }

  /** Ends the process as an injected fault. */
  kill(): void {
    this.tally.count(FaultKind.Kill);
    this.end();
  }

  /** Ends the process at the end of a test; does not count as a fault. */
  end(): void {
    this.hasEnded = true;
    this.heldTimers = [];
    this.heldArrivals = [];
  }

  private runOrHold(held: (() => void)[], action: () => void): void {
    if (this.isRunning) {
      action();
    } else if (!this.hasEnded) {
      if (this.heldTimers.length + this.heldArrivals.length === 0) {
        this.tally.count(FaultKind.Pause);
      }
      held.push(action);
    }
  }
}
