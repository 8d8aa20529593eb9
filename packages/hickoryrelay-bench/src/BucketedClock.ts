import { ManualClock } from 'hickoryrelay/ManualClock';

interface Timer {
  readonly dueMilliseconds: number;
  readonly action: () => void;
}

async function runPendingTasks(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * A manual clock for simulations of hundreds of processes. Timers are grouped by the millisecond at
 * which they are due, so that scheduling and cancelling a timer does not search all others.
 */
export class BucketedClock extends ManualClock {
  private readonly slots = new Map<number, Set<Timer>>();

  private currentMilliseconds = 0;

  override monotonicMilliseconds(): number {
    return this.currentMilliseconds;
  }

  override wallMilliseconds(): number {
    return 1_700_000_000_000 + this.currentMilliseconds;
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    const dueMilliseconds = this.currentMilliseconds + Math.max(1, Math.ceil(milliseconds));
    const timer = { dueMilliseconds, action };
    const slot = this.slots.get(dueMilliseconds) ?? new Set();
    this.slots.set(dueMilliseconds, slot.add(timer));
    return () => {
      slot.delete(timer);
    };
  }

  override async advance(milliseconds: number): Promise<void> {
    const end = this.currentMilliseconds + milliseconds;
    await runPendingTasks();
    while (this.currentMilliseconds < end) {
      this.currentMilliseconds += 1;
      const slot = this.slots.get(this.currentMilliseconds);
      if (slot !== undefined) {
        this.slots.delete(this.currentMilliseconds);
        slot.forEach(({ action }) => action());
        await runPendingTasks();
      }
    }
  }
}
