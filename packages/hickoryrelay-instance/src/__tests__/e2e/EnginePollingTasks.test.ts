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

import { EnginePollingFixture } from './EnginePollingFixture.js';

const { total: SUBSET_SIZE } = DEFAULT_SUBSET_SIZE;

/** Longer than any polling interval of 24 engines with short responses. */
const FULL_ROUND_MILLISECONDS = 10_000;

describe.each([
  {
    name: 'EngineLoadTasks',
    createTask: ({ pool, lifecycle }: EnginePollingFixture) =>
      new EngineLoadTasks(pool, lifecycle.child('readers'), silentLogger),
  },
  {
    name: 'CacheEventTasks',
    createTask: ({ pool, lifecycle, random }: EnginePollingFixture) =>
      new CacheEventTasks(pool, lifecycle.child('readers'), random, silentLogger),
  },
])('$name', ({ createTask }) => {
  let fixture: EnginePollingFixture;

  beforeEach(async () => {
    fixture = new EnginePollingFixture();
    await fixture.engines.listen();
  });

  afterEach(() => fixture.stop());

  // Guards against reads that grow with the fleet.
  it('reads each engine of the subset and no other', async () => {
    fixture.supply(SUBSET_SIZE + 6);
    fixture.lifecycle.start(createTask(fixture));
    await fixture.waitForReads(SUBSET_SIZE);
    expect(fixture.engines.reads).toHaveLength(SUBSET_SIZE);
    expect(fixture.enginesReadSince(0)).toEqual(fixture.members);
  });

  // Guards against reads of an engine that left the subset, and against a new one without reads.
  it('follows changes of the subset', async () => {
    fixture.supply(SUBSET_SIZE);
    fixture.lifecycle.start(createTask(fixture));
    await fixture.waitForReads(SUBSET_SIZE);
    const before = fixture.members;
    fixture.supply(SUBSET_SIZE + 6);
    expect(fixture.members).not.toEqual(before);
    await fixture.advance(1000);
    const readCount = fixture.engines.reads.length;
    await fixture.advance(FULL_ROUND_MILLISECONDS);
    expect(fixture.enginesReadSince(readCount)).toEqual(fixture.members);
  });

  // Guards against a polling task that outlives its lifecycle manager.
  it('reads again after each interval, and not at all once stopped', async () => {
    fixture.supply(1);
    fixture.lifecycle.start(createTask(fixture));
    await fixture.waitForReads(1);
    await fixture.advance(3000);
    const readCount = fixture.engines.reads.length;
    expect(readCount).toBeGreaterThan(1);
    await fixture.lifecycle.stop();
    await fixture.advance(3000);
    expect(fixture.engines.reads).toHaveLength(readCount);
    expect(fixture.failures).toEqual([]);
  });

  // Guards against a silent engine that blocks the reads of all others.
  it('keeps reading the other engines while one is silent', async () => {
    fixture.supply(2);
    fixture.engines.faults.enqueue(Fault.Silent);
    fixture.silentReads = 1;
    fixture.lifecycle.start(createTask(fixture));
    await fixture.waitForReads(2);
    await fixture.advance(1000);
    fixture.silentReads = 0;
    await fixture.settle();
    const readCount = fixture.engines.reads.length;
    await fixture.advance(FULL_ROUND_MILLISECONDS);
    expect(fixture.enginesReadSince(readCount)).toEqual(['engine-0', 'engine-1']);
  });
});

describe('EngineLoadTasks', () => {
  const fixture = new EnginePollingFixture();

  beforeEach(() => fixture.engines.listen());

  afterEach(() => fixture.stop());

  // Guards against load reports that exceed the byte budget.
  it('reads each engine less often the more engines there are', async () => {
    fixture.supply(SUBSET_SIZE);
    fixture.lifecycle.start(
      new EngineLoadTasks(fixture.pool, fixture.lifecycle.child('readers'), silentLogger),
    );
    await fixture.waitForReads(SUBSET_SIZE);
    // Ten reads per second over 24 engines: each is read every 2.4 s.
    await fixture.advance(2399, 2399);
    expect(fixture.engines.reads).toHaveLength(SUBSET_SIZE);
    await fixture.advance(1);
    expect(fixture.engines.reads).toHaveLength(2 * SUBSET_SIZE);
    const loads = fixture.pool.members.map((each) =>
      each instanceof Engine ? each.load.prefillRate : 0,
    );
    expect(new Set(loads)).toEqual(new Set([1000]));
  });
});

describe('cacheReadIntervalMilliseconds', () => {
  // Guards against control traffic that grows with the subset.
  it('keeps the bytes of all engines within the budget', () => {
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
