import { randomBytes } from 'node:crypto';

/** Source of random numbers. A seeded source makes tests and experiments repeatable. */
export abstract class RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  abstract fraction(): number;

  /** Returns an integer from 0 (inclusive) to the limit (exclusive). */
  integerBelow(limit: number): number {
    return Math.floor(this.fraction() * limit);
  }

  /** Returns a hexadecimal identifier with the given number of bytes. */
  abstract identifier(bytes: number): string;
}

/** Identifiers are from the operating system's generator, other numbers from the runtime's. */
export class SystemRandomSource extends RandomSource {
  override fraction(): number {
    return Math.random();
  }

  override identifier(bytes: number): string {
    return randomBytes(bytes).toString('hex');
  }
}

/** Repeatable random numbers (mulberry32) for tests and experiments. Not suitable for secrets. */
export class SeededRandomSource extends RandomSource {
  private state: number;

  constructor(seed: number) {
    super();
    this.state = Math.trunc(seed) >>> 0;
  }

  override fraction(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  override identifier(bytes: number): string {
    let text = '';
    for (let index = 0; index < bytes; index += 1) {
      text += this.integerBelow(256).toString(16).padStart(2, '0');
    }
    return text;
  }
}
