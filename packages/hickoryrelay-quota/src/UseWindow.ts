/** Slots of a window. The sum may include up to one slot more than the window. */
const SLOTS = 16;

/** Units admitted in a sliding window, in slots. The sum is exact to one slot and never too low. */
export class UseWindow {
  private readonly slotMilliseconds: number;

  /** Units by slot number modulo the length. One slot more than the window is kept. */
  private readonly units = new Float64Array(SLOTS + 1);

  private latestSlot = 0;

  private total = 0;

  constructor(windowMilliseconds: number) {
    this.slotMilliseconds = windowMilliseconds / SLOTS;
  }

  /** Units admitted in the window that ends now. */
  sumAt(now: number): number {
    this.advance(now);
    return this.total;
  }

  /** Adds units. Returns the slot, from which they can be removed. */
  add(units: number, now: number): number {
    this.advance(now);
    this.units[this.latestSlot % this.units.length]! += units;
    this.total += units;
    return this.latestSlot;
  }

  /** Removes units that were added to a slot, if the window still includes it. */
  remove(units: number, slot: number): void {
    if (slot > this.latestSlot - this.units.length) {
      const index = slot % this.units.length;
      const removed = Math.min(units, this.units[index]!);
      this.units[index]! -= removed;
      this.total = Math.max(0, this.total - removed);
    }
  }

  private advance(now: number): void {
    const slot = Math.max(this.latestSlot, Math.floor(now / this.slotMilliseconds));
    const passed = Math.min(slot - this.latestSlot, this.units.length);
    for (let step = 1; step <= passed; step += 1) {
      this.units[(slot - passed + step) % this.units.length] = 0;
    }
    this.latestSlot = slot;
    if (passed > 0) {
      // Summed anew, so that rounding errors do not add up.
      this.total = this.units.reduce((sum, each) => sum + each, 0);
    }
  }
}
