import type { RandomSource } from 'hickoryrelay/RandomSource';

/**
 * Random bytes that a block of identifiers shares. At 62,000 requests a second the blocks of a
 * day contain two equal ones with a probability below one in a billion.
 */
const HEAD_BYTES = 11;

const BLOCK_LENGTH = 256;

/**
 * Makes request identifiers of 12 bytes. Those made in a row share all but the last byte, so that
 * usage records sent together cost about one byte for each identifier. A caller can guess the
 * identifiers of others in its block, which no interface for callers accepts.
 */
export class RequestIdentifiers {
  private readonly random: RandomSource;

  private head = '';

  private used = BLOCK_LENGTH;

  constructor(random: RandomSource) {
    this.random = random;
  }

  next(): string {
    if (this.used === BLOCK_LENGTH) {
      this.head = this.random.identifier(HEAD_BYTES);
      this.used = 0;
    }
    const tail = this.used.toString(16).padStart(2, '0');
    this.used += 1;
    return `${this.head}${tail}`;
  }
}
