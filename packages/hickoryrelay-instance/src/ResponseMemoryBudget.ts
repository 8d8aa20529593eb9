/**
 * 1,300 open streams of 4,000 tokens of 4 bytes need 21 MB, and twice that while buffers double.
 * The rest is for buffered responses. The whole instance may use 256 MB.
 */
export const DEFAULT_RESPONSE_MEMORY_BYTES = 100_663_296;

/** Limits the memory that an instance uses for buffered responses and resumable streams. */
export class ResponseMemoryBudget {
  private readonly limitBytes: number;

  private usedBytes = 0;

  constructor(limitBytes = DEFAULT_RESPONSE_MEMORY_BYTES) {
    this.limitBytes = limitBytes;
  }

  get used(): number {
    return this.usedBytes;
  }

  /** Reserves memory. Returns false, and reserves nothing, if too little is left. */
  tryReserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.limitBytes) {
      return false;
    }
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
