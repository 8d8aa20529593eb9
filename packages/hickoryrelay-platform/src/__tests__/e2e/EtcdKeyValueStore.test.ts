import { getEventListeners } from 'node:events';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { failureOf } from 'hickoryrelay/RelayError';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { KeyValueGateway } from 'hickoryrelay-standin/KeyValueGateway';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';

import type { Failure } from 'hickoryrelay/Failure';
import type { Transaction, WatchBatch } from 'hickoryrelay-platform/KeyValueStore';

function putIfAbsent(key: string, value: string, lease?: string): Transaction {
  return {
    compare: [{ key, target: 'create-revision', operand: 0 }],
    success: [{ type: 'put', key, value, ...(lease === undefined ? {} : { lease }) }],
    failure: [{ type: 'range', key }],
  };
}

async function failureFrom(work: Promise<unknown>): Promise<Failure | undefined> {
  return work.then(() => undefined, failureOf);
}

describe('EtcdKeyValueStore against the gateway stand-in', () => {
  const clock = new ManualClock();
  let gateway: KeyValueGateway;
  let store: EtcdKeyValueStore;

  beforeEach(async () => {
    gateway = new KeyValueGateway(new KeyValueTable(clock));
    await gateway.listen();
    store = new EtcdKeyValueStore({ urls: [gateway.url], timeoutMilliseconds: 300 });
  });

  afterEach(async () => {
    await store.close();
    await gateway.close();
  });

  it('decides nested transactions one by one, each by its own comparison', async () => {
    await store.commit(putIfAbsent('/claims/1', 'first'));
    const result = await store.commit({
      compare: [],
      success: ['/claims/1', '/claims/2'].map((key) => ({
        type: 'transaction' as const,
        transaction: putIfAbsent(key, 'second'),
      })),
      failure: [],
    });
    const nested = result.results.map((each) => each.type === 'transaction' && each.result);
    expect(nested.map((each) => each && each.succeeded)).toEqual([false, true]);
    expect(nested[0] && nested[0].results[0]).toMatchObject({ values: [{ value: 'first' }] });
    expect((await store.get('/claims/2'))?.value).toBe('second');
    expect(gateway.counts.writes).toBe(2);
  });

  it('reports a transaction that the service refuses as one without effect', async () => {
    const twice = ['a', 'b'].map((value) => ({ type: 'put' as const, key: '/key', value }));
    const repeated = await failureFrom(store.commit({ compare: [], success: twice, failure: [] }));
    expect(repeated).toMatchObject({ kind: 'platform-unavailable', mayHaveTakenEffect: false });
    const unknownLease = await failureFrom(store.commit(putIfAbsent('/key', 'value', '77')));
    expect(unknownLease).toMatchObject({ mayHaveTakenEffect: false });
    expect(await store.get('/key')).toBeUndefined();
  });

  it('removes the keys of a lease that ran out or was revoked', async () => {
    const lease = await store.grantLease(10);
    await store.commit(putIfAbsent('/held', 'value', lease.identifier));
    await clock.advance(8000);
    expect(await store.keepLeaseAlive(lease.identifier)).toBe(10);
    await clock.advance(8000);
    expect(await store.get('/held')).toBeDefined();
    await clock.advance(3000);
    expect(await store.get('/held')).toBeUndefined();
    expect(await store.keepLeaseAlive(lease.identifier)).toBe(0);
    await store.revokeLease(lease.identifier);
  });

  it('yields a watch from a past revision on, over several writes', async () => {
    const { revision } = await store.commit(putIfAbsent('/w/1', 'one'));
    await store.commit(putIfAbsent('/other', 'x'));
    const abort = new AbortController();
    const keys: string[] = [];
    for await (const batch of store.watch('/w/', revision, abort.signal)) {
      keys.push(...batch.events.map((event) => (event.type === 'put' ? event.value.key : '')));
      if (keys.length === 1) {
        await store.commit(putIfAbsent('/w/2', 'two'));
      } else if (keys.length === 2) {
        break;
      }
    }
    abort.abort();
    expect(keys).toEqual(['/w/1', '/w/2']);
  });

  it('goes on with calls while many watches are open or silent', async () => {
    gateway.silencesWatches = true;
    const aborts = Array.from({ length: 12 }, () => new AbortController());
    const watches = aborts.map(({ signal }) => store.watch('/w/', 0, signal));
    const opened = await Promise.all(watches.map((watch) => watch.next()));
    expect(opened.every((each) => !each.done && each.value.events.length === 0)).toBe(true);
    const later = watches[0]?.next().then(
      (): WatchBatch[] => [],
      () => [],
    );
    // A silent watch tells nothing, but a read still does.
    await store.commit(putIfAbsent('/w/1', 'one'));
    expect((await store.get('/w/1'))?.value).toBe('one');
    aborts.forEach((abort) => abort.abort());
    await later;
  });

  // Guards against listeners and connections that pile up while a service refuses each new watch.
  it.each([
    ['refused', Fault.Refuse],
    ['broken', Fault.None],
    ['left early', Fault.None],
  ])('leaves no listener on the signal when a watch is %s', async (end, fault) => {
    const { signal } = new AbortController();
    for (let attempt = 0; attempt < 3; attempt += 1) {
      gateway.faults.next(fault);
      const watch = store.watch('/w/', 0, signal);
      const opened = await failureFrom(watch.next());
      expect(opened?.kind).toBe(end === 'refused' ? 'platform-unavailable' : undefined);
      if (end === 'broken') {
        const { port } = new URL(gateway.url);
        await gateway.close();
        await failureFrom(watch.next());
        await gateway.listen(Number(port));
      }
      await watch.return();
    }
    await clock.advance(0);
    expect(getEventListeners(signal, 'abort')).toEqual([]);
  });

  it('ends a broken watch with a failure that can be told from a refusal of the request', async () => {
    const watch = store.watch('/w/', 0, new AbortController().signal);
    await watch.next();
    await gateway.close();
    expect(await failureFrom(watch.next())).toMatchObject({ kind: 'platform-unavailable' });
    await gateway.listen();
  });

  it('tells a lost answer, which may have had its effect, from a refused connection', async () => {
    for (const fault of [Fault.LoseAnswer, Fault.Silent]) {
      gateway.faults.next(fault);
      const key = `/lost/${fault}`;
      const lost = await failureFrom(store.commit(putIfAbsent(key, 'value')));
      expect(lost).toMatchObject({
        kind: FailureKind.PlatformUnavailable,
        mayHaveTakenEffect: true,
      });
      expect((await store.get(key))?.value).toBe('value');
    }
    // A pooled connection may break after the write, so only a new connection can be refused.
    const fresh = new EtcdKeyValueStore({ urls: [gateway.url] });
    await gateway.close();
    const refused = await failureFrom(fresh.commit(putIfAbsent('/refused', 'value')));
    await fresh.close();
    expect(refused).toMatchObject({ mayHaveTakenEffect: false });
    await gateway.listen();
  });
});
