import { describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import { RequestIdentifiers } from '../../RequestIdentifiers.js';

describe('request identifiers', () => {
  // Guards against two calls with one identifier, which would share a usage record or a claim.
  it('never repeats over several blocks and instances', () => {
    const random = new SeededRandomSource(1);
    const sources = [new RequestIdentifiers(random), new RequestIdentifiers(random)];
    const made = sources.flatMap((source) => Array.from({ length: 1000 }, () => source.next()));
    expect(new Set(made).size).toBe(2000);
    expect(made.every((each) => /^[0-9a-f]{24}$/u.test(each))).toBe(true);
  });

  // Guards against identifiers whose heads differ, which would cost twelve bytes a usage record.
  it('shares all but the last byte within a block', () => {
    const source = new RequestIdentifiers(new SeededRandomSource(1));
    const heads = Array.from({ length: 512 }, () => source.next().slice(0, -2));
    expect(new Set(heads).size).toBe(2);
  });
});
