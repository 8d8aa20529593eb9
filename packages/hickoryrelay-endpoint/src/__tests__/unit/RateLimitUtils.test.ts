import { describe, expect, it } from 'vitest';
import { decodeRate, rateLimitOf } from 'hickoryrelay-endpoint/RateLimitUtils';

describe('decodeRate', () => {
  it.each([
    ['5', 5],
    ['5.8', 5.8],
    [' 0.25\t', 0.25],
    ['0', 0],
    ['0.0', 0],
    ['007', 7],
    ['9'.repeat(400), Number.MAX_SAFE_INTEGER],
  ])('reads %j as %s requests per second', (value, rate) => {
    expect(decodeRate(value)).toBe(rate);
  });

  // Guards against a faulty endpoint whose text is taken for a number.
  it.each(['', ' ', '-1', '+5', '1e9', '5.', '.5', '5,8', '5, 8', '0x10', 'Infinity', 'NaN', '٥'])(
    'reads %j as malformed',
    (value) => {
      expect(decodeRate(value)).toBeUndefined();
    },
  );
});

describe('rateLimitOf', () => {
  it.each([
    [['5'], 5],
    [['7', '5'], 5],
    [['5', '7'], 5],
    [['none', '7'], 7],
    [['0', '7'], 0],
  ] as [string[], number][])('reads %j as %s whoever has responded', (values, rate) => {
    expect(rateLimitOf(values, decodeRate, true)).toEqual({ requestsPerSecond: rate });
    expect(rateLimitOf(values, decodeRate, false)).toEqual({ requestsPerSecond: rate });
  });

  // Guards against a limit that ends with a malformed value, or with a response of another endpoint.
  it('reads no values as the end of a limit, unless another endpoint may have responded', () => {
    expect(rateLimitOf([], decodeRate, true)).toEqual({ requestsPerSecond: undefined });
    expect(rateLimitOf([], decodeRate, false)).toBeUndefined();
    expect(rateLimitOf(['1e9', ''], decodeRate, true)).toBeUndefined();
  });
});
