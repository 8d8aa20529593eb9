import { describe, expect, it } from 'vitest';
import { decodeRateLimitPolicy } from 'hickoryrelay-link/RateLimitPolicy';

describe('decodeRateLimitPolicy', () => {
  it.each([
    ['"default";q=5;w=1', 5],
    [' "default" ;q=58;w=10', undefined],
    ['"default"; q=58; w=10 ', 5.8],
    ['"default";w=10;q=58', 5.8],
    ['"burst";q=100;w=60,"daily";q=1000;w=86400', 1000 / 86_400],
    ['"a";q=9;w=1 ,\t"b";q=4;w=1', 4],
    ['"none";q=0;w=1', 0],
    ['"a";q=5;w=1;qu="requests"', 5],
    ['"a, \\"b\\"; q=1";q=5;w=1', 5],
    ['"a";q=5;w=1;pk=:cHsdsRa894==:;x;y=?0;z=a/b;n=-1.5', 5],
    ['"a";q=9;q=5;w=1', 5],
    // Policies that limit something else say nothing about the rate; the others count.
    ['"a";q=3;w=1;qu="content-bytes","b";q=5;w=1', 5],
    ['"a";q=3,"b";q=5;w=1', 5],
  ])('reads %j as %s requests per second', (value, rate) => {
    expect(decodeRateLimitPolicy(value)).toBe(rate);
  });

  // Guards against a faulty endpoint that is taken out of use by a value that is no rate.
  it.each([
    '',
    '5',
    'default;q=5;w=1',
    '"default"',
    '"default";q=5',
    '"default";w=1',
    '"default";q=-5;w=1',
    '"default";q=5.5;w=1',
    '"default";q=1e9;w=1',
    '"default";q="5";w=1',
    '"default";q=5;w=0',
    '"default";q=5;w=-1',
    '"default";q=5;w=1;qu="concurrent-requests"',
    '"default";q=5;w=1,',
    '"default";q=5;w=1 "other";q=6;w=1',
    '"default";q=;w=1',
    '"default;q=5;w=1',
    '"default";q=5;w=1;',
    `"default";q=${'9'.repeat(400)};w=1`,
  ])('reads no rate in %j', (value) => {
    expect(decodeRateLimitPolicy(value)).toBeUndefined();
  });

  // Guards against a pattern that takes exponential time.
  it('reads a long malformed value in linear time', () => {
    const started = performance.now();
    decodeRateLimitPolicy(`"a"${';q=5;w=1'.repeat(2000)}!`);
    decodeRateLimitPolicy(`"${'\\\\'.repeat(8000)}`);
    decodeRateLimitPolicy('"a";q=5;w=1,'.repeat(1300));
    expect(performance.now() - started).toBeLessThan(1000);
  });
});
