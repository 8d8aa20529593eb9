import { Clock } from 'hickoryrelay/Clock';

import { FaultKind, FaultTally } from './FaultTally.js';

/**
 * The clock of one simulated process. While the process is paused time goes on, but nothing that
 * falls due or arrives runs until it resumes; once killed, nothing runs any more.
 */
export class ProcessClock extends Clock {
  /** Takes the faults that took effect. */
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
    const cancelAlarm = this.base.schedule(milliseconds, () => {
      this.whenRunning(this.heldTimers, run);
    });
    return () => {
      isOpen = false;
      cancelAlarm();
    };
  }

  /** Resolves once the process can take in what arrived from outside. */
  arrive(): Promise<void> {
    return new Promise((resolve) => {
      this.receive(resolve);
    });
  }

  /** Runs the action once the process can take in what arrived from outside. */
  receive(action: () => void): void {
    this.whenRunning(this.heldArrivals, action);
  }

  pause(): void {
    this.isPaused = true;
  }

  /**
   * Resumes. An event loop that wakes up may handle timers or arrivals first; what follows from the
   * first kind runs before the second.
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

  /** Sets the wall clock of the process against the others. */
  setWallOffset(milliseconds: number): void {
    if (milliseconds !== this.wallOffsetMilliseconds && milliseconds !== 0) {
      this.tally.count(FaultKind.ClockStep);
    }
    this.wallOffsetMilliseconds = milliseconds;
  }

  /** Ends the process as a fault. */
  kill(): void {
    this.tally.count(FaultKind.Kill);
    this.end();
  }

  /** Ends the process when a test is over. */
  end(): void {
    this.hasEnded = true;
    this.heldTimers = [];
    this.heldArrivals = [];
  }

  private whenRunning(held: (() => void)[], action: () => void): void {
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
