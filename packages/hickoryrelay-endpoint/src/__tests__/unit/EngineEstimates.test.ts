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
  // Guards against estimates from the last report alone, by which every call goes to one engine.
  it('adds calls sent since the report and subtracts completed work', () => {
    const load = new EngineLoad();
    load.update({ ...REPORT, sampledMilliseconds: 0 });
    expect(load.queueWaitMilliseconds(0)).toBe(1000);
    expect(load.queueWaitMilliseconds(400)).toBe(600);
    load.startCall(500, 400);
    expect(load.queueWaitMilliseconds(400)).toBe(1100);
    expect(load.freeSlots).toBe(5);
  });

  // Guards against counting a call twice once a report includes it, and against reports out of order.
  it('excludes calls that a newer report includes and ignores older reports', () => {
    const load = new EngineLoad();
    load.update({ ...REPORT, sampledMilliseconds: 0 });
    load.startCall(500, 100);
    load.update({ ...REPORT, sampledMilliseconds: 200 });
    expect(load.queueWaitMilliseconds(200)).toBe(1000);
    load.update({ ...REPORT, waitingPrefillTokens: 0, sampledMilliseconds: 150 });
    expect(load.queueWaitMilliseconds(200)).toBe(1000);
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

  // Guards against a limit that grows during low load and admits a burst later.
  it('does not grow while it is not in use', () => {
    const limit = new InFlightLimit();
    const before = limit.value;
    limit.record(0.1, 0, 0);
    expect(limit.value).toBe(before);
  });
});

describe('PrefixIndex', () => {
  const keys = ['a', 'b', 'c'];

  // Guards against full confidence in prefixes that may have been evicted by a lost event.
  it('ranks cache events above own calls and lowers confidence after a gap', () => {
    const index = new PrefixIndex();
    index.apply(keys.map((key, at) => ({ number: at + 1, kind: CacheEventKind.Stored, key })));
    expect(index.expectedCachedTokens(keys)).toBe(3 * TOKENS_PER_PREFIX_KEY);
    index.apply([{ number: 5, kind: CacheEventKind.Evicted, key: 'c' }]);
    expect(index.expectedCachedTokens(keys)).toBe(2 * 0.5 * TOKENS_PER_PREFIX_KEY);
    index.recordOwnCall(keys);
    expect(index.expectedCachedTokens(keys)).toBeGreaterThan(2 * TOKENS_PER_PREFIX_KEY);
    index.apply([{ number: 4, kind: CacheEventKind.Cleared, key: '' }]);
    expect(index.expectedCachedTokens(keys)).toBeGreaterThan(2 * TOKENS_PER_PREFIX_KEY);
  });

  // Guards against unbounded memory.
  it('evicts the least recently used prefix', () => {
    const index = new PrefixIndex();
    for (let number = 1; number <= 5000; number += 1) {
      index.apply([{ number, kind: CacheEventKind.Stored, key: `${number}` }]);
    }
    expect(index.size).toBe(4096);
    expect(index.expectedCachedTokens(['1'])).toBe(0);
    expect(index.expectedCachedTokens(['5000'])).toBe(TOKENS_PER_PREFIX_KEY);
  });

  // Guards against evictions missed in a gap, at the end of the sequence, or by an engine restart.
  it('clears the index unless the changes continue the known sequence', () => {
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
      index.applySnapshot(known);
      expect(index.applyChanges(changes)).toBe(false);
      expect([index.size, index.isSynchronized]).toEqual([0, false]);
    }
    const index = new PrefixIndex();
    index.applySnapshot(known);
    expect(index.applyChanges({ ...known, events: [] })).toBe(true);
    expect(index.applyChanges({ ...known, lastNumber: 20, events: [event(8), event(9)] })).toBe(
      true,
    );
    expect([index.size, index.lastEventNumber]).toEqual([5, 9]);
  });

  // Guards against unbounded memory and against the loss of the most recently used prefixes.
  it('keeps the most recently used prefixes of a snapshot that exceeds the bound', () => {
    const index = new PrefixIndex();
    const many = Array.from({ length: 5000 }, (empty, at) => `${at}`);
    index.applySnapshot({ incarnation: 'one', lastNumber: 1, keys: many });
    expect(index.size).toBe(4096);
    expect([index.expectedCachedTokens(['0']), index.expectedCachedTokens(['4999'])]).toEqual([
      0,
      TOKENS_PER_PREFIX_KEY,
    ]);
  });
});
