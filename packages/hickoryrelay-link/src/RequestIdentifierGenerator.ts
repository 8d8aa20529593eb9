import type { RandomSource } from 'hickoryrelay/RandomSource';

/**
 * Random bytes that a block of identifiers shares. At 62,000 requests a second, the probability
 * that two blocks of a day collide is below one in a billion.
 */
const PREFIX_BYTES = 11;

const IDENTIFIERS_PER_BLOCK = 256;

/**
 * Generates request identifiers of 12 bytes. Consecutive ones share all but the last byte, so that
 * usage records sent together cost about one byte for each identifier. A caller can guess the
 * identifiers of others in its block, which no interface for callers accepts.
 */
export class RequestIdentifierGenerator {
  private readonly random: RandomSource;

  private prefix = '';

  private usedInBlock = IDENTIFIERS_PER_BLOCK;

  constructor(random: RandomSource) {
    this.random = random;
  }

  next(): string {
    if (this.usedInBlock === IDENTIFIERS_PER_BLOCK) {
      this.prefix = this.random.identifier(PREFIX_BYTES);
      this.usedInBlock = 0;
    }
    const lastByte = this.usedInBlock.toString(16).padStart(2, '0');
    this.usedInBlock += 1;
    return `${this.prefix}${lastByte}`;
  }
}
