import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { BodyBuffer } from 'hickoryrelay-caller/BodyBuffer';

const TINY_PIECES = 100_000;

// Guards against bodies that change when their pieces are joined, and against pieces that take far more memory than
// their bytes.
describe('BodyBuffer', () => {
  it('returns the bytes in their order for pieces of any size', () => {
    const pieceArbitrary = fc.oneof(
      fc.uint8Array({ maxLength: 10 }),
      fc.uint8Array({ minLength: 1000, maxLength: 9000 }),
    );
    fc.assert(
      fc.property(fc.array(pieceArbitrary, { maxLength: 60 }), (pieces) => {
        const buffer = new BodyBuffer();
        pieces.forEach((piece) => buffer.append(Buffer.from(piece)));
        const whole = Buffer.concat(pieces);
        expect(buffer.length).toBe(whole.length);
        expect(buffer.heldBytes).toBeGreaterThanOrEqual(whole.length);
        expect(buffer.take().equals(whole)).toBe(true);
        expect(buffer.heldBytes).toBe(0);
      }),
    );
  });

  it('joins tiny pieces', () => {
    const buffer = new BodyBuffer();
    for (let index = 0; index < TINY_PIECES; index += 1) {
      buffer.append(Buffer.from('x'));
    }
    expect(buffer.heldBytes).toBeLessThan(2 * TINY_PIECES);
  });
});
