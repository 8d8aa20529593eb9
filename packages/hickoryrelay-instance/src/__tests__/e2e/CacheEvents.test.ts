import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { RelayError } from 'hickoryrelay/RelayError';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { TOKENS_PER_PREFIX_KEY } from 'hickoryrelay-endpoint/PrefixIndex';
import { CacheEventTask } from 'hickoryrelay-instance/CacheEventTasks';
import { EngineStatusLink, MAXIMUM_EVENTS } from 'hickoryrelay-link/EngineStatusLink';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { JsonServer } from 'hickoryrelay-standin/JsonServer';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import { EnginePollingFixture, KIND } from './EnginePollingFixture.js';
import type { JsonResponse } from 'hickoryrelay-standin/JsonServer';

const INTERVAL_MILLISECONDS = 5000;
const SNAPSHOT = 'engine/cache_events?limit=1024';
const changesAfter = (number: number) =>
  `engine/cache_events?after=${number}&limit=${MAXIMUM_EVENTS}`;

describe('CacheEventTask', () => {
  let fixture: EnginePollingFixture;
  let engine: Engine;
  let readBytes: number[];

  const cachedKeyCount = (...keys: string[]) =>
    engine.prefixIndex.expectedCachedTokens(keys) / TOKENS_PER_PREFIX_KEY;
  const advanceToNextRead = () => fixture.advance(INTERVAL_MILLISECONDS, INTERVAL_MILLISECONDS);

  function start(): void {
    const interval = (bytes: number) => {
      readBytes.push(bytes);
      return INTERVAL_MILLISECONDS;
    };
    fixture.lifecycle.start(new CacheEventTask(engine, interval, fixture.random, silentLogger));
  }

  beforeEach(async () => {
    fixture = new EnginePollingFixture();
    await fixture.engines.listen();
    const place = { identifier: 'engine', zone: 'zone-a', url: `${fixture.engines.url}/engine` };
    engine = new Engine(place, KIND);
    readBytes = [];
  });

  afterEach(() => fixture.stop());

  // Guards against a snapshot for each read when events are published late.
  it('applies events once they are published', async () => {
    const { engines } = fixture;
    engines.restartCache(2 * TOKENS_PER_PREFIX_KEY);
    engines.publishesImmediately = false;
    start();
    await fixture.waitForReads(1);
    engines.cachePrefix(['a', 'b']);
    await advanceToNextRead();
    expect(cachedKeyCount('a', 'b')).toBe(0);
    engines.cacheEvents.publish();
    await advanceToNextRead();
    expect(cachedKeyCount('a', 'b')).toBe(2);
    engines.cachePrefix(['c']);
    engines.cacheEvents.publish();
    await advanceToNextRead();
    expect([cachedKeyCount('a'), cachedKeyCount('b'), cachedKeyCount('c')]).toEqual([0, 1, 1]);
    expect(engines.reads).toEqual([SNAPSHOT, changesAfter(0), changesAfter(0), changesAfter(2)]);
  });

  // Guards against keeping prefixes whose eviction was among the missed events.
  it('reads a snapshot after a gap in the events', async () => {
    const { engines } = fixture;
    engines.cachePrefix(['a']);
    start();
    await fixture.waitForReads(1);
    engine.prefixIndex.recordOwnCall(['guess']);
    expect(cachedKeyCount('guess')).toBeGreaterThan(0);
    engines.publishesImmediately = false;
    engines.cachePrefix(['b', 'c']);
    engines.cacheEvents.publish(({ key }) => key === 'b');
    await advanceToNextRead();
    expect(engines.reads).toEqual([SNAPSHOT, changesAfter(1), SNAPSHOT]);
    expect([cachedKeyCount('a', 'b', 'c'), cachedKeyCount('guess')]).toEqual([3, 0]);
  });

  // Guards against a gap at the end of the events, which no later event reveals.
  it('reads a snapshot when the latest events are lost', async () => {
    const { engines } = fixture;
    start();
    await fixture.waitForReads(1);
    engines.publishesImmediately = false;
    engines.cachePrefix(['a']);
    engines.cacheEvents.publish(() => true);
    await advanceToNextRead();
    expect(engines.reads).toEqual([SNAPSHOT, changesAfter(0), SNAPSHOT]);
    expect(cachedKeyCount('a')).toBe(1);
  });

  // Guards against keeping the cache contents of a process that has ended.
  it('reads a snapshot after a restart, even if the event numbers are consecutive', async () => {
    const { engines } = fixture;
    engines.cachePrefix(['a']);
    start();
    await fixture.waitForReads(1);
    expect(cachedKeyCount('a')).toBe(1);
    engines.restartCache();
    engines.cachePrefix(['b']);
    await advanceToNextRead();
    expect([cachedKeyCount('a'), cachedKeyCount('b')]).toEqual([0, 1]);
    expect(engines.reads).toEqual([SNAPSHOT, changesAfter(1), SNAPSHOT]);
  });

  // Guards against frequent reads of an engine that does not support cache events.
  it('backs off while an engine does not support cache events', async () => {
    const { engines } = fixture;
    engines.publishesCacheEvents = false;
    engine.prefixIndex.recordOwnCall(['guess']);
    start();
    await fixture.waitForReads(1);
    for (const [index, delay] of [5000, 10_000, 20_000, 40_000].entries()) {
      await fixture.advance(delay - 1, delay);
      expect(engines.reads).toHaveLength(index + 1);
      await fixture.advance(1);
      expect(engines.reads).toHaveLength(index + 2);
    }
    expect(cachedKeyCount('guess')).toBeGreaterThan(0);
    engines.publishesCacheEvents = true;
    engines.cachePrefix(['a']);
    await fixture.advance(80_000, 80_000);
    expect(cachedKeyCount('a')).toBe(1);
  });

  // Guards against a task that waits forever for an engine that does not respond.
  it('times out while the engine does not respond, and resumes afterwards', async () => {
    const { engines } = fixture;
    engines.cachePrefix(['a']);
    start();
    await fixture.waitForReads(1);
    engines.faults.defaultFault = Fault.Silent;
    fixture.silentReads = 1;
    await advanceToNextRead();
    await fixture.waitForReads(2);
    // A read timeout of 1 s, then backoff delays of 1 s and 2 s.
    await fixture.advance(1000);
    await fixture.advance(999, 999);
    expect(fixture.clock.startedReads).toBe(2);
    await fixture.advance(1);
    expect(fixture.clock.startedReads).toBe(3);
    await fixture.waitForReads(3);
    await fixture.advance(1000);
    engines.faults.defaultFault = Fault.None;
    fixture.silentReads = 0;
    await fixture.settle();
    engines.cachePrefix(['b']);
    await fixture.advance(1999, 1999);
    expect(fixture.clock.startedReads).toBe(3);
    expect(cachedKeyCount('a')).toBe(1);
    await fixture.advance(1);
    expect(cachedKeyCount('a', 'b')).toBe(2);
    expect(engines.reads.slice(1)).toEqual([changesAfter(1), changesAfter(1), changesAfter(1)]);
  });

  // Guards against reads of an engine that is leaving.
  it('stops reading once the engine accepts no calls', async () => {
    start();
    await fixture.waitForReads(1);
    engine.transitionTo('leaving');
    await advanceToNextRead();
    await advanceToNextRead();
    expect(fixture.engines.reads).toHaveLength(1);
  });

  // Guards against a byte budget that omits the headers.
  it('reports the bytes of a read including the headers', async () => {
    fixture.engines.cachePrefix(Array.from({ length: 64 }, (empty, index) => `key-${index}`));
    start();
    await fixture.waitForReads(1);
    expect(readBytes).toHaveLength(1);
    expect(readBytes[0]).toBeGreaterThan(300 + 64 * '"key-0",'.length);
  });
});

/** Responds to every request in the same way. */
class FixedResponseServer extends JsonServer {
  response: JsonResponse = { status: 200, body: {} };

  protected override answer(): JsonResponse {
    return this.response;
  }
}

describe('EngineStatusLink', () => {
  const server = new FixedResponseServer();

  const link = () => {
    const place = { identifier: 'engine', zone: 'zone-a', url: server.url };
    return new EngineStatusLink(place, new ManualClock());
  };
  const failureKind = async () => {
    const { signal } = new AbortController();
    const error: unknown = await link()
      .readCacheSnapshot(signal)
      .catch((caught: unknown) => caught);
    return error instanceof RelayError ? error.failure.kind : error;
  };

  beforeEach(() => server.listen());

  afterEach(() => server.close());

  // Guards against untyped errors and against responses that use unbounded memory.
  it('reports every failure as a RelayError and limits the size of the response', async () => {
    const validFields = { incarnation: 'one', last_number: 1 };
    const keys = Array.from({ length: 4000 }, (empty, index) => `prefix-key-${index}`);
    server.response = { status: 500, body: {} };
    expect(await failureKind()).toBe(FailureKind.EndpointFailed);
    server.response = { status: 200, body: { ...validFields, last_number: -1, keys: [] } };
    expect(await failureKind()).toBe(FailureKind.ProtocolViolation);
    server.response = { status: 200, body: { ...validFields, keys } };
    expect(await failureKind()).toBe(FailureKind.ProtocolViolation);
    server.response = { status: 200, body: { ...validFields, keys: keys.slice(0, 1024) } };
    expect(await failureKind()).toMatchObject({ lastNumber: 1 });
  });
});

describe('an instance', () => {
  const federation = new LocalFederation();

  afterEach(() => federation.stop());

  // Guards against affinity that considers only calls of the same instance, and against prefix keys
  // that do not match between instances.
  it('learns from cache events which prefixes the calls of other instances left', async () => {
    await federation.start();
    await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: 'zone-a',
      models: ['model-one'],
      times: { prefillRate: 1_000_000, decodeMilliseconds: 0 },
    });
    const document = sampleDeclarations();
    const key = federation.issueKey(document, 'first');
    await federation.apply(document);
    const sender = await federation.addInstance('entry-1', 'zone-a');
    const other = await federation.addInstance('entry-2', 'zone-a');
    const response = await fetch(`${federation.urlOf(sender)}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'model-one', prompt: 'plumb '.repeat(3600), max_tokens: 1 }),
    });
    expect(response.status).toBe(200);
    const engineOf = ({ fleet }: typeof other) => fleet.find('engine-1');
    await federation.waitUntil(() => {
      const engine = engineOf(other);
      return engine instanceof Engine && engine.prefixIndex.size === 5;
    });
    expect(engineOf(other)?.callsInFlight).toBe(0);
  });
});
