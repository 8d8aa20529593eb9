import type { AnswerMemory } from './AnswerMemory.js';

const FIRST_CAPACITY_BYTES = 256;

/** The text of a stream that the caller has, kept in bounded memory for a resume. */
export class DeliveredText {
  private readonly memory: AnswerMemory;

  private readonly limitBytes: number;

  private bytes: Buffer = Buffer.alloc(0);

  private length = 0;

  private isLost = false;

  constructor(memory: AnswerMemory, limitBytes: number) {
    this.memory = memory;
    this.limitBytes = limitBytes;
  }

  /** The text; undefined if there was no room for it. */
  get value(): string | undefined {
    return this.isLost ? undefined : this.bytes.toString('utf8', 0, this.length);
  }

  append(text: string): void {
    if (this.isLost || text === '') {
      return;
    }
    const added = Buffer.byteLength(text);
    if (this.reserve(this.length + added)) {
      this.length += this.bytes.write(text, this.length);
    } else {
      this.drop();
    }
  }

  /** Gives the memory back. The text cannot be read any more. */
  drop(): void {
    this.memory.giveBack(this.bytes.length);
    this.bytes = Buffer.alloc(0);
    this.length = 0;
    this.isLost = true;
  }

  private reserve(needed: number): boolean {
    if (needed <= this.bytes.length) {
      return true;
    }
    const doubled = Math.max(needed, this.bytes.length * 2, FIRST_CAPACITY_BYTES);
    const capacity = Math.min(doubled, this.limitBytes);
    if (capacity < needed || !this.memory.tryTake(capacity - this.bytes.length)) {
      return false;
    }
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.bytes.copy(grown, 0, 0, this.length);
    this.bytes = grown;
    return true;
  }
}
