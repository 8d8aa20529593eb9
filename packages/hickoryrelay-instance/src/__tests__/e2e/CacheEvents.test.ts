import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { RelayError } from 'hickoryrelay/RelayError';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { TOKENS_PER_PREFIX_KEY } from 'hickoryrelay-endpoint/PrefixIndex';
import { CacheEventTask } from 'hickoryrelay-instance/CacheEventTasks';
import { EngineStatusLink, MOST_EVENTS } from 'hickoryrelay-link/EngineStatusLink';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { JsonServer } from 'hickoryrelay-standin/JsonServer';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import { EngineReadingFixture, KIND } from './EngineReadingFixture.js';
import type { JsonResponse } from 'hickoryrelay-standin/JsonServer';

const INTERVAL_MILLISECONDS = 5000;
const SNAPSHOT = 'engine/cache_events?limit=1024';
const changesAfter = (number: number) => `engine/cache_events?after=${number}&limit=${MOST_EVENTS}`;

describe('the cache events of an engine', () => {
  let fixture: EngineReadingFixture;
  let engine: Engine;
  let readBytes: number[];

  const held = (...keys: string[]) =>
    engine.prefixIndex.expectedCachedTokens(keys) / TOKENS_PER_PREFIX_KEY;
  const nextRead = () => fixture.pass(INTERVAL_MILLISECONDS, INTERVAL_MILLISECONDS);

  function start(): void {
    const interval = (bytes: number) => {
      readBytes.push(bytes);
      return INTERVAL_MILLISECONDS;
    };
    fixture.lifecycle.start(new CacheEventTask(engine, interval, fixture.random, silentLogger));
  }

  beforeEach(async () => {
    fixture = new EngineReadingFixture();
    await fixture.engines.listen();
    const place = { identifier: 'engine', zone: 'zone-a', url: `${fixture.engines.url}/engine` };
    engine = new Engine(place, KIND);
    readBytes = [];
  });

  afterEach(() => fixture.stop());

  it('are taken over when they are published, however late (guards against a snapshot for each read)', async () => {
    const { engines } = fixture;
    engines.restartCache(2 * TOKENS_PER_PREFIX_KEY);
    engines.publishesImmediately = false;
    start();
    await fixture.waitForReads(1);
    engines.cachePrefix(['a', 'b']);
    await nextRead();
    expect(held('a', 'b')).toBe(0);
    engines.cacheEvents.publish();
    await nextRead();
    expect(held('a', 'b')).toBe(2);
    engines.cachePrefix(['c']);
    engines.cacheEvents.publish();
    await nextRead();
    expect([held('a'), held('b'), held('c')]).toEqual([0, 1, 1]);
    expect(engines.reads).toEqual([SNAPSHOT, changesAfter(0), changesAfter(0), changesAfter(2)]);
  });

  it('are dropped for a snapshot after a gap (guards against trust in what was evicted unseen)', async () => {
    const { engines } = fixture;
    engines.cachePrefix(['a']);
    start();
    await fixture.waitForReads(1);
    engine.prefixIndex.recordOwnCall(['guess']);
    expect(held('guess')).toBeGreaterThan(0);
    engines.publishesImmediately = false;
    engines.cachePrefix(['b', 'c']);
    engines.cacheEvents.publish(({ key }) => key === 'b');
    await nextRead();
    expect(engines.reads).toEqual([SNAPSHOT, changesAfter(1), SNAPSHOT]);
    expect([held('a', 'b', 'c'), held('guess')]).toEqual([3, 0]);
  });

  it('are dropped for a snapshot when the latest are lost (guards against a gap that no later event shows)', async () => {
    const { engines } = fixture;
    start();
    await fixture.waitForReads(1);
    engines.publishesImmediately = false;
    engines.cachePrefix(['a']);
    engines.cacheEvents.publish(() => true);
    await nextRead();
    expect(engines.reads).toEqual([SNAPSHOT, changesAfter(0), SNAPSHOT]);
    expect(held('a')).toBe(1);
  });

  it('are dropped for a snapshot after a restart, even if the numbers fit (guards against the cache of an ended process)', async () => {
    const { engines } = fixture;
    engines.cachePrefix(['a']);
    start();
    await fixture.waitForReads(1);
    expect(held('a')).toBe(1);
    engines.restartCache();
    engines.cachePrefix(['b']);
    await nextRead();
    expect([held('a'), held('b')]).toEqual([0, 1]);
    expect(engines.reads).toEqual([SNAPSHOT, changesAfter(1), SNAPSHOT]);
  });

  it('are asked for at growing intervals where they are not offered (guards against reads for nothing)', async () => {
    const { engines } = fixture;
    engines.publishesCacheEvents = false;
    engine.prefixIndex.recordOwnCall(['guess']);
    start();
    await fixture.waitForReads(1);
    for (const [index, delay] of [5000, 10_000, 20_000, 40_000].entries()) {
      await fixture.pass(delay - 1, delay);
      expect(engines.reads).toHaveLength(index + 1);
      await fixture.pass(1);
      expect(engines.reads).toHaveLength(index + 2);
    }
    expect(held('guess')).toBeGreaterThan(0);
    engines.publishesCacheEvents = true;
    engines.cachePrefix(['a']);
    await fixture.pass(80_000, 80_000);
    expect(held('a')).toBe(1);
  });

  it('are given up after a time limit while the engine is silent, and followed again after (guards against a task that hangs)', async () => {
    const { engines } = fixture;
    engines.cachePrefix(['a']);
    start();
    await fixture.waitForReads(1);
    engines.faults.defaultFault = Fault.Silent;
    fixture.silentReads = 1;
    await nextRead();
    await fixture.waitForReads(2);
    // The limit of 1 s, then delays of 1 s and 2 s.
    await fixture.pass(1000);
    await fixture.pass(999, 999);
    expect(fixture.clock.startedReads).toBe(2);
    await fixture.pass(1);
    expect(fixture.clock.startedReads).toBe(3);
    await fixture.waitForReads(3);
    await fixture.pass(1000);
    engines.faults.defaultFault = Fault.None;
    fixture.silentReads = 0;
    await fixture.settle();
    engines.cachePrefix(['b']);
    await fixture.pass(1999, 1999);
    expect(fixture.clock.startedReads).toBe(3);
    expect(held('a')).toBe(1);
    await fixture.pass(1);
    expect(held('a', 'b')).toBe(2);
    expect(engines.reads.slice(1)).toEqual([changesAfter(1), changesAfter(1), changesAfter(1)]);
  });

  it('are no longer read once the engine takes no work (guards against reads of an engine that leaves)', async () => {
    start();
    await fixture.waitForReads(1);
    engine.transitionTo('leaving');
    await nextRead();
    await nextRead();
    expect(fixture.engines.reads).toHaveLength(1);
  });

  it('report their bytes with the headers (guards against a budget that counts too little)', async () => {
    fixture.engines.cachePrefix(Array.from({ length: 64 }, (empty, index) => `key-${index}`));
    start();
    await fixture.waitForReads(1);
    expect(readBytes).toHaveLength(1);
    expect(readBytes[0]).toBeGreaterThan(300 + 64 * '"key-0",'.length);
  });
});

/** Answers everything in the same way. */
class FixedAnswer extends JsonServer {
  reply: JsonResponse = { status: 200, body: {} };

  protected override answer(): JsonResponse {
    return this.reply;
  }
}

describe('the reader of cache events', () => {
  const server = new FixedAnswer();

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

  it('types every failure and bounds the answer (guards against foreign errors and unbounded memory)', async () => {
    const head = { incarnation: 'one', last_number: 1 };
    const keys = Array.from({ length: 4000 }, (empty, index) => `prefix-key-${index}`);
    server.reply = { status: 500, body: {} };
    expect(await failureKind()).toBe(FailureKind.EndpointFailed);
    server.reply = { status: 200, body: { ...head, last_number: -1, keys: [] } };
    expect(await failureKind()).toBe(FailureKind.ProtocolViolation);
    server.reply = { status: 200, body: { ...head, keys } };
    expect(await failureKind()).toBe(FailureKind.ProtocolViolation);
    server.reply = { status: 200, body: { ...head, keys: keys.slice(0, 1024) } };
    expect(await failureKind()).toMatchObject({ lastNumber: 1 });
  });
});

describe('an instance', () => {
  const federation = new LocalFederation();

  afterEach(() => federation.stop());

  // Guards against affinity that knows only of the own calls, and against keys that do not match.
  it('learns from the events which prefixes the calls of other instances left', async () => {
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
