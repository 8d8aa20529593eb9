import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { silentLogger } from 'hickoryrelay/Logger';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import {
  CACHE_EVENT_BYTES_PER_SECOND,
  CacheEventTasks,
  cacheReadIntervalMilliseconds,
} from 'hickoryrelay-instance/CacheEventTasks';
import { EngineLoadTasks } from 'hickoryrelay-instance/EngineLoadTasks';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { DEFAULT_SUBSET_SIZE } from 'hickoryrelay-zone/EndpointSubset';

import { EngineReadingFixture } from './EngineReadingFixture.js';

const { total: PLACES } = DEFAULT_SUBSET_SIZE;

/** Longer than any interval of 24 engines with short answers. */
const ROUND_MILLISECONDS = 10_000;

describe.each([
  {
    name: 'EngineLoadTasks',
    make: ({ pool, lifecycle }: EngineReadingFixture) =>
      new EngineLoadTasks(pool, lifecycle.child('readers'), silentLogger),
  },
  {
    name: 'CacheEventTasks',
    make: ({ pool, lifecycle, random }: EngineReadingFixture) =>
      new CacheEventTasks(pool, lifecycle.child('readers'), random, silentLogger),
  },
])('$name', ({ make }) => {
  let fixture: EngineReadingFixture;

  beforeEach(async () => {
    fixture = new EngineReadingFixture();
    await fixture.engines.listen();
  });

  afterEach(() => fixture.stop());

  it('reads each engine of the subset and no other (guards against reads that grow with the fleet)', async () => {
    fixture.supply(PLACES + 6);
    fixture.lifecycle.start(make(fixture));
    await fixture.waitForReads(PLACES);
    expect(fixture.engines.reads).toHaveLength(PLACES);
    expect(fixture.readSince(0)).toEqual(fixture.members);
  });

  it('follows the subset (guards against reads of an engine that has lost its place, and none of a new one)', async () => {
    fixture.supply(PLACES);
    fixture.lifecycle.start(make(fixture));
    await fixture.waitForReads(PLACES);
    const before = fixture.members;
    fixture.supply(PLACES + 6);
    expect(fixture.members).not.toEqual(before);
    await fixture.pass(1000);
    const taken = fixture.engines.reads.length;
    await fixture.pass(ROUND_MILLISECONDS);
    expect(fixture.readSince(taken)).toEqual(fixture.members);
  });

  it('reads again after each interval, and not at all once stopped (guards against a task that nobody owns)', async () => {
    fixture.supply(1);
    fixture.lifecycle.start(make(fixture));
    await fixture.waitForReads(1);
    await fixture.pass(3000);
    const taken = fixture.engines.reads.length;
    expect(taken).toBeGreaterThan(1);
    await fixture.lifecycle.stop();
    await fixture.pass(3000);
    expect(fixture.engines.reads).toHaveLength(taken);
    expect(fixture.failures).toEqual([]);
  });

  it('goes on with the others while an engine is silent (guards against one wait for all)', async () => {
    fixture.supply(2);
    fixture.engines.faults.enqueue(Fault.Silent);
    fixture.silentReads = 1;
    fixture.lifecycle.start(make(fixture));
    await fixture.waitForReads(2);
    await fixture.pass(1000);
    fixture.silentReads = 0;
    await fixture.settle();
    const taken = fixture.engines.reads.length;
    await fixture.pass(ROUND_MILLISECONDS);
    expect(fixture.readSince(taken)).toEqual(['engine-0', 'engine-1']);
  });
});

describe('EngineLoadTasks', () => {
  const fixture = new EngineReadingFixture();

  beforeEach(() => fixture.engines.listen());

  afterEach(() => fixture.stop());

  it('reads less often the more engines there are (guards against bytes above the budget)', async () => {
    fixture.supply(PLACES);
    fixture.lifecycle.start(
      new EngineLoadTasks(fixture.pool, fixture.lifecycle.child('readers'), silentLogger),
    );
    await fixture.waitForReads(PLACES);
    // Ten reads a second for all engines: each is read every 2.4 s.
    await fixture.pass(2399, 2399);
    expect(fixture.engines.reads).toHaveLength(PLACES);
    await fixture.pass(1);
    expect(fixture.engines.reads).toHaveLength(2 * PLACES);
    const loads = fixture.pool.members.map((each) =>
      each instanceof Engine ? each.load.prefillRate : 0,
    );
    expect(new Set(loads)).toEqual(new Set([1000]));
  });
});

describe('the interval of cache event reads', () => {
  it('keeps the bytes of all engines to the budget (guards against control traffic that grows with the subset)', () => {
    for (const engines of [1, 4, 24, 48]) {
      for (const bytes of [400, 4000, 33_000]) {
        const interval = cacheReadIntervalMilliseconds(bytes, engines);
        expect((engines * bytes * 1000) / interval).toBeLessThanOrEqual(
          CACHE_EVENT_BYTES_PER_SECOND,
        );
        expect(interval).toBeGreaterThanOrEqual(1000);
      }
    }
  });
});
