import { randomBytes } from 'node:crypto';

/** Source of random numbers. Seeded kinds make tests and experiments repeatable. */
export abstract class RandomSource {
  /** A number from 0 (included) to 1 (excluded). */
  abstract fraction(): number;

  /** A whole number from 0 (included) to the limit (excluded). */
  integerBelow(limit: number): number {
    return Math.floor(this.fraction() * limit);
  }

  /** A hexadecimal identifier of the given number of bytes. */
  abstract identifier(bytes: number): string;
}

/** Random numbers of the operating system for identifiers, of the runtime for all else. */
export class SystemRandomSource extends RandomSource {
  override fraction(): number {
    return Math.random();
  }

  override identifier(bytes: number): string {
    return randomBytes(bytes).toString('hex');
  }
}

/** Repeatable random numbers (mulberry32) for tests and experiments. Not for secrets. */
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
