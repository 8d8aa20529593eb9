import { Clock } from './Clock.js';

interface Timer {
  readonly dueMilliseconds: number;
  readonly action: () => void;
}

/** Waits until all promise reactions that are already queued have run. */
async function runPendingReactions(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

/** A clock that advances only when `advance` is called. For tests and simulations. */
export class ManualClock extends Clock {
  private nowMilliseconds = 0;

  private readonly wallStartMilliseconds: number;

  private timers: Timer[] = [];

  constructor(wallStartMilliseconds = 1_700_000_000_000) {
    super();
    this.wallStartMilliseconds = wallStartMilliseconds;
  }

  override monotonicMilliseconds(): number {
    return this.nowMilliseconds;
  }

  override wallMilliseconds(): number {
    return this.wallStartMilliseconds + this.nowMilliseconds;
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    const timer = { dueMilliseconds: this.nowMilliseconds + Math.max(0, milliseconds), action };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((other) => other !== timer);
    };
  }

  /** Advances the time and runs due timers in order, with pending promise reactions in between. */
  async advance(milliseconds: number): Promise<void> {
    const endMilliseconds = this.nowMilliseconds + milliseconds;
    await runPendingReactions();
    for (;;) {
      const next = this.nextDueTimer(endMilliseconds);
      if (next === undefined) {
        break;
      }
      this.timers = this.timers.filter((other) => other !== next);
      this.nowMilliseconds = Math.max(this.nowMilliseconds, next.dueMilliseconds);
      next.action();
      await runPendingReactions();
    }
    this.nowMilliseconds = endMilliseconds;
  }

  private nextDueTimer(endMilliseconds: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of this.timers) {
      const isDue = timer.dueMilliseconds <= endMilliseconds;
      if (isDue && (next === undefined || timer.dueMilliseconds < next.dueMilliseconds)) {
        next = timer;
      }
    }
    return next;
  }
}
