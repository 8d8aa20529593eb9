import { describe, expect, it } from 'vitest';

import { EngineLoad } from '../../EngineLoad.js';
import { InFlightLimit } from '../../InFlightLimit.js';
import { CacheEventKind, PrefixIndex, TOKENS_PER_PREFIX_KEY } from '../../PrefixIndex.js';

const REPORT = {
  running: 2,
  waiting: 0,
  slots: 8,
  waitingPrefillTokens: 1000,
  prefillRate: 1000,
  decodeRate: 500,
  callMilliseconds: 1000,
};

describe('EngineLoad', () => {
  // Guards against a choice by the last report alone, which sends every call to one engine.
  it('adds own calls since the report and takes off what has been worked off', () => {
    const load = new EngineLoad();
    load.update({ ...REPORT, takenMilliseconds: 0 });
    expect(load.waitMilliseconds(0)).toBe(1000);
    expect(load.waitMilliseconds(400)).toBe(600);
    load.begin(500, 400);
    expect(load.waitMilliseconds(400)).toBe(1100);
    expect(load.freeSlots).toBe(5);
  });

  // Guards against counting a call twice once a report includes it, and against late reports.
  it('leaves out calls that a newer report includes, and ignores older reports', () => {
    const load = new EngineLoad();
    load.update({ ...REPORT, takenMilliseconds: 0 });
    load.begin(500, 100);
    load.update({ ...REPORT, takenMilliseconds: 200 });
    expect(load.waitMilliseconds(200)).toBe(1000);
    load.update({ ...REPORT, waitingPrefillTokens: 0, takenMilliseconds: 150 });
    expect(load.waitMilliseconds(200)).toBe(1000);
  });
});

describe('InFlightLimit', () => {
  // Guards against a limit that stays high after an engine has slowed down.
  it('settles where latency meets the target', () => {
    const limit = new InFlightLimit();
    for (let now = 0; now < 300_000; now += 100) {
      limit.record(limit.value / 12, limit.value, now);
    }
    expect(limit.value).toBeGreaterThanOrEqual(8);
    expect(limit.value).toBeLessThanOrEqual(12);
    limit.record(4, limit.value, 400_000);
    expect(limit.value).toBeLessThanOrEqual(6);
  });

  it('does not grow while it is not in use', () => {
    const limit = new InFlightLimit();
    const before = limit.value;
    limit.record(0.1, 0, 0);
    expect(limit.value).toBe(before);
  });
});

describe('PrefixIndex', () => {
  const keys = ['a', 'b', 'c'];

  // Guards against trust in prefixes that may have been evicted by an event that was lost.
  it('trusts events, then own calls, and doubts what it knew after a gap', () => {
    const index = new PrefixIndex();
    index.apply(keys.map((key, at) => ({ number: at + 1, kind: CacheEventKind.Stored, key })));
    expect(index.cachedTokens(keys)).toBe(3 * TOKENS_PER_PREFIX_KEY);
    index.apply([{ number: 5, kind: CacheEventKind.Evicted, key: 'c' }]);
    expect(index.cachedTokens(keys)).toBe(2 * 0.5 * TOKENS_PER_PREFIX_KEY);
    index.recordOwnCall(keys);
    expect(index.cachedTokens(keys)).toBeGreaterThan(2 * TOKENS_PER_PREFIX_KEY);
    index.apply([{ number: 4, kind: CacheEventKind.Cleared, key: '' }]);
    expect(index.cachedTokens(keys)).toBeGreaterThan(2 * TOKENS_PER_PREFIX_KEY);
  });

  // Guards against unbounded memory.
  it('forgets the prefix used longest ago', () => {
    const index = new PrefixIndex();
    for (let number = 1; number <= 5000; number += 1) {
      index.apply([{ number, kind: CacheEventKind.Stored, key: `${number}` }]);
    }
    expect(index.size).toBe(4096);
    expect(index.cachedTokens(['1'])).toBe(0);
    expect(index.cachedTokens(['5000'])).toBe(TOKENS_PER_PREFIX_KEY);
  });

  // Guards against evictions that were missed: in a gap, at the end of the sequence, by a restart.
  it('drops everything unless the changes continue what it knows', () => {
    const known = { incarnation: 'one', lastNumber: 7, keys };
    const event = (number: number) => ({ number, kind: CacheEventKind.Stored, key: `${number}` });
    const cases = [
      { incarnation: 'one', lastNumber: 9, events: [event(9)] },
      { incarnation: 'one', lastNumber: 10, events: [event(8), event(10)] },
      { incarnation: 'one', lastNumber: 8, events: [] },
      { incarnation: 'one', lastNumber: 6, events: [] },
      { incarnation: 'two', lastNumber: 7, events: [] },
    ];
    for (const changes of cases) {
      const index = new PrefixIndex();
      index.takeSnapshot(known);
      expect(index.takeChanges(changes)).toBe(false);
      expect([index.size, index.isFollowing]).toEqual([0, false]);
    }
    const index = new PrefixIndex();
    index.takeSnapshot(known);
    expect(index.takeChanges({ ...known, events: [] })).toBe(true);
    expect(index.takeChanges({ ...known, lastNumber: 20, events: [event(8), event(9)] })).toBe(
      true,
    );
    expect([index.size, index.lastEventNumber]).toEqual([5, 9]);
  });

  // Guards against unbounded memory by a snapshot, and against the loss of the latest prefixes.
  it('keeps the end of a snapshot that is too long', () => {
    const index = new PrefixIndex();
    const many = Array.from({ length: 5000 }, (empty, at) => `${at}`);
    index.takeSnapshot({ incarnation: 'one', lastNumber: 1, keys: many });
    expect(index.size).toBe(4096);
    expect([index.cachedTokens(['0']), index.cachedTokens(['4999'])]).toEqual([
      0,
      TOKENS_PER_PREFIX_KEY,
    ]);
  });
});
