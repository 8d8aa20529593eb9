/**
 * 1,300 open streams of 4,000 tokens of 4 bytes need 21 MB, and twice that while buffers double.
 * The rest is for answers that are held back. The whole node may use 256 MB.
 */
export const DEFAULT_ANSWER_MEMORY_BYTES = 100_663_296;

/** The memory of an instance for answers that are kept for a resume or held back. */
export class AnswerMemory {
  private readonly limitBytes: number;

  private usedBytes = 0;

  constructor(limitBytes = DEFAULT_ANSWER_MEMORY_BYTES) {
    this.limitBytes = limitBytes;
  }

  get used(): number {
    return this.usedBytes;
  }

  /** Takes a share. Returns false, and takes nothing, if too little is left. */
  tryTake(bytes: number): boolean {
    if (this.usedBytes + bytes > this.limitBytes) {
      return false;
    }
    this.usedBytes += bytes;
    return true;
  }

  giveBack(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
