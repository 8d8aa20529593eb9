import type { AnswerMemory } from './AnswerMemory.js';

/** The body of an answer that is held back until it is complete, in bounded memory. */
export class HeldAnswer {
  private readonly memory: AnswerMemory;

  private readonly limitBytes: number;

  private pieces: Buffer[] = [];

  private bytes = 0;

  constructor(memory: AnswerMemory, limitBytes: number) {
    this.memory = memory;
    this.limitBytes = limitBytes;
  }

  /** Holds one more piece. Returns false, and does not hold it, if there is no room. */
  tryAdd(piece: Buffer): boolean {
    if (this.bytes + piece.length > this.limitBytes || !this.memory.tryTake(piece.length)) {
      return false;
    }
    this.pieces.push(piece);
    this.bytes += piece.length;
    return true;
  }

  /** Returns all that is held and gives its memory back. */
  take(): Buffer {
    const body = Buffer.concat(this.pieces);
    this.drop();
    return body;
  }

  drop(): void {
    this.memory.giveBack(this.bytes);
    this.pieces = [];
    this.bytes = 0;
  }
}
