import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { decodeCacheChanges, encodeRuns } from '../../CacheEvents.js';
import { CacheEventKind } from '../../PrefixIndex.js';

const SEED = 20_261_204;

describe('cache event runs', () => {
  // Guards against runs that join events across a gap or of different kinds.
  it('decode to the events that were encoded', () => {
    const eventArbitrary = fc.record({
      kind: fc.constantFrom(...Object.values(CacheEventKind)),
      step: fc.constantFrom(1, 1, 1, 2),
    });
    fc.assert(
      fc.property(fc.array(eventArbitrary), (drawn) => {
        let number = 0;
        const events = drawn.map(({ kind, step }) => {
          number += step;
          return { number, kind, key: kind === CacheEventKind.Cleared ? '' : `key-${number}` };
        });
        const body = { incarnation: 'one', last_number: number, runs: encodeRuns(events) };
        expect(decodeCacheChanges(body)).toEqual({
          incarnation: 'one',
          lastNumber: number,
          events,
        });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  // Guards against a response with one entry per event.
  it('combine consecutive events of one kind', () => {
    const events = Array.from({ length: 64 }, (empty, index) => ({
      number: index + 1,
      kind: index < 60 ? CacheEventKind.Stored : CacheEventKind.Evicted,
      key: `${index}`,
    }));
    expect(encodeRuns(events)).toHaveLength(2);
  });
});
