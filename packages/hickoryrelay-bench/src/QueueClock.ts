import { ManualClock } from 'hickoryrelay/ManualClock';

interface Alarm {
  readonly dueMilliseconds: number;
  readonly action: () => void;
}

async function settle(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * A manual clock for simulations of hundreds of processes. Alarms are kept by whole millisecond, so
 * that setting and cancelling one does not go through all others.
 */
export class QueueClock extends ManualClock {
  private readonly slots = new Map<number, Set<Alarm>>();

  private slotMilliseconds = 0;

  override monotonicMilliseconds(): number {
    return this.slotMilliseconds;
  }

  override wallMilliseconds(): number {
    return 1_700_000_000_000 + this.slotMilliseconds;
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    const dueMilliseconds = this.slotMilliseconds + Math.max(1, Math.ceil(milliseconds));
    const alarm = { dueMilliseconds, action };
    const slot = this.slots.get(dueMilliseconds) ?? new Set();
    this.slots.set(dueMilliseconds, slot.add(alarm));
    return () => {
      slot.delete(alarm);
    };
  }

  override async advance(milliseconds: number): Promise<void> {
    const end = this.slotMilliseconds + milliseconds;
    await settle();
    while (this.slotMilliseconds < end) {
      this.slotMilliseconds += 1;
      const slot = this.slots.get(this.slotMilliseconds);
      if (slot !== undefined) {
        this.slots.delete(this.slotMilliseconds);
        slot.forEach(({ action }) => action());
        await settle();
      }
    }
  }
}
