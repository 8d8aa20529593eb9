import type { ResponseMemoryBudget } from './ResponseMemoryBudget.js';

/** A response body that is buffered until complete, in bounded memory. */
export class BufferedResponse {
  private readonly memoryBudget: ResponseMemoryBudget;

  private readonly limitBytes: number;

  private chunks: Buffer[] = [];

  private bytes = 0;

  constructor(memoryBudget: ResponseMemoryBudget, limitBytes: number) {
    this.memoryBudget = memoryBudget;
    this.limitBytes = limitBytes;
  }

  /** Appends a chunk. Returns false, and does not append it, if a memory limit is reached. */
  tryAppend(chunk: Buffer): boolean {
    if (
      this.bytes + chunk.length > this.limitBytes ||
      !this.memoryBudget.tryReserve(chunk.length)
    ) {
      return false;
    }
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    return true;
  }

  /** Returns the buffered body and releases its memory. */
  takeBody(): Buffer {
    const body = Buffer.concat(this.chunks);
    this.discard();
    return body;
  }

  discard(): void {
    this.memoryBudget.release(this.bytes);
    this.chunks = [];
    this.bytes = 0;
  }
}
