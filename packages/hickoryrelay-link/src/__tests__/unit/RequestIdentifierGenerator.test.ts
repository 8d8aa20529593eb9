import { describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import { RequestIdentifierGenerator } from '../../RequestIdentifierGenerator.js';

describe('RequestIdentifierGenerator', () => {
  // Guards against two calls with one identifier, which would share a usage record or a claim.
  it('never repeats an identifier across blocks and instances', () => {
    const random = new SeededRandomSource(1);
    const generators = [
      new RequestIdentifierGenerator(random),
      new RequestIdentifierGenerator(random),
    ];
    const identifiers = generators.flatMap((source) =>
      Array.from({ length: 1000 }, () => source.next()),
    );
    expect(new Set(identifiers).size).toBe(2000);
    expect(identifiers.every((each) => /^[0-9a-f]{24}$/u.test(each))).toBe(true);
  });

  // Guards against identifiers without a shared prefix, which cost twelve bytes per usage record.
  it('shares all but the last byte within a block', () => {
    const source = new RequestIdentifierGenerator(new SeededRandomSource(1));
    const prefixes = Array.from({ length: 512 }, () => source.next().slice(0, -2));
    expect(new Set(prefixes).size).toBe(2);
  });
});
