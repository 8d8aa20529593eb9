import type { ResponseMemoryBudget } from './ResponseMemoryBudget.js';

const INITIAL_CAPACITY_BYTES = 256;

/** The text of a stream that was delivered to the caller, kept in bounded memory to resume it. */
export class DeliveredText {
  private readonly memoryBudget: ResponseMemoryBudget;

  private readonly limitBytes: number;

  private bytes: Buffer = Buffer.alloc(0);

  private length = 0;

  private isDiscarded = false;

  constructor(memoryBudget: ResponseMemoryBudget, limitBytes: number) {
    this.memoryBudget = memoryBudget;
    this.limitBytes = limitBytes;
  }

  /** The text, or undefined if it was discarded because a memory limit was reached. */
  get value(): string | undefined {
    return this.isDiscarded ? undefined : this.bytes.toString('utf8', 0, this.length);
  }

  append(text: string): void {
    if (this.isDiscarded || text === '') {
      return;
    }
    const addedBytes = Buffer.byteLength(text);
    if (this.ensureCapacity(this.length + addedBytes)) {
      this.length += this.bytes.write(text, this.length);
    } else {
      this.discard();
    }
  }

  /** Releases the memory. The text can no longer be read. */
  discard(): void {
    this.memoryBudget.release(this.bytes.length);
    this.bytes = Buffer.alloc(0);
    this.length = 0;
    this.isDiscarded = true;
  }

  private ensureCapacity(requiredBytes: number): boolean {
    if (requiredBytes <= this.bytes.length) {
      return true;
    }
    const doubledBytes = Math.max(requiredBytes, this.bytes.length * 2, INITIAL_CAPACITY_BYTES);
    const capacityBytes = Math.min(doubledBytes, this.limitBytes);
    if (
      capacityBytes < requiredBytes ||
      !this.memoryBudget.tryReserve(capacityBytes - this.bytes.length)
    ) {
      return false;
    }
    const enlarged = Buffer.allocUnsafeSlow(capacityBytes);
    this.bytes.copy(enlarged, 0, 0, this.length);
    this.bytes = enlarged;
    return true;
  }
}
