import { getEventListeners } from 'node:events';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { failureOf } from 'hickoryrelay/RelayError';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { KeyValueGateway } from 'hickoryrelay-standin/KeyValueGateway';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';

import type { Failure } from 'hickoryrelay/Failure';
import type { Transaction, WatchBatch } from 'hickoryrelay-platform/KeyValueStore';

function putIfAbsent(key: string, value: string, lease?: string): Transaction {
  return {
    compare: [{ key, target: 'create-revision', operand: StoreRevision.None }],
    success: [{ type: 'put', key, value, ...(lease === undefined ? {} : { lease }) }],
    failure: [{ type: 'range', key }],
  };
}

async function failureFrom(operation: Promise<unknown>): Promise<Failure | undefined> {
  return operation.then(() => undefined, failureOf);
}

describe('EtcdKeyValueStore against the gateway stand-in', () => {
  const clock = new ManualClock();
  let gateway: KeyValueGateway;
  let store: EtcdKeyValueStore;

  beforeEach(async () => {
    gateway = new KeyValueGateway(new KeyValueTable(clock));
    await gateway.listen();
    store = new EtcdKeyValueStore({ urls: [gateway.url], timeoutMilliseconds: 5000 });
  });

  afterEach(async () => {
    await store.close();
    await gateway.close();
  });

  // Guards against a failed comparison that rejects the other writes of its batch.
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
    const nested = result.results.map((entry) => entry.type === 'transaction' && entry.result);
    expect(nested.map((entry) => entry && entry.succeeded)).toEqual([false, true]);
    expect(nested[0] && nested[0].results[0]).toMatchObject({ values: [{ value: 'first' }] });
    expect((await store.get('/claims/2'))?.value).toBe('second');
    expect(gateway.counts.writes).toBe(2);
  });

  // Guards against treating a rejected write as one that may have taken effect.
  it('reports a transaction that the service rejects as without effect', async () => {
    const duplicatePuts = ['a', 'b'].map((value) => ({ type: 'put' as const, key: '/key', value }));
    const duplicateKey = await failureFrom(
      store.commit({ compare: [], success: duplicatePuts, failure: [] }),
    );
    expect(duplicateKey).toMatchObject({ kind: 'platform-unavailable', mayHaveTakenEffect: false });
    const unknownLease = await failureFrom(store.commit(putIfAbsent('/key', 'value', '77')));
    expect(unknownLease).toMatchObject({ mayHaveTakenEffect: false });
    expect(await store.get('/key')).toBeUndefined();
  });

  // Guards against an error when a lease that has already expired is revoked.
  it('removes the keys of an expired lease and accepts its revocation', async () => {
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

  // Guards against missing changes between a read and the start of a watch.
  it('yields the changes since a past revision and later writes', async () => {
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

  // Guards against open watches that use up the connections of other calls.
  it('serves calls while many watches are open but deliver nothing', async () => {
    gateway.silencesWatches = true;
    const aborts = Array.from({ length: 12 }, () => new AbortController());
    const watches = aborts.map(({ signal }) => store.watch('/w/', StoreRevision.None, signal));
    const opened = await Promise.all(watches.map((watch) => watch.next()));
    expect(opened.every((entry) => !entry.done && entry.value.events.length === 0)).toBe(true);
    const pending = watches[0]?.next().then(
      (): WatchBatch[] => [],
      () => [],
    );
    // The watches deliver nothing, but a read returns the new value.
    await store.commit(putIfAbsent('/w/1', 'one'));
    expect((await store.get('/w/1'))?.value).toBe('one');
    aborts.forEach((abort) => abort.abort());
    await pending;
  });

  // Guards against a leak of listeners and connections while the service rejects each new watch.
  it.each([
    ['rejected', Fault.Refuse],
    ['broken', Fault.None],
    ['abandoned', Fault.None],
  ])('leaves no listener on the signal when a watch is %s', async (end, fault) => {
    const { signal } = new AbortController();
    for (let attempt = 0; attempt < 3; attempt += 1) {
      gateway.faults.enqueue(fault);
      const watch = store.watch('/w/', StoreRevision.None, signal);
      const opened = await failureFrom(watch.next());
      expect(opened?.kind).toBe(end === 'rejected' ? 'platform-unavailable' : undefined);
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

  // Guards against a broken watch that is not reopened because its failure has another kind.
  it('reports a broken watch as platform-unavailable', async () => {
    const watch = store.watch('/w/', StoreRevision.None, new AbortController().signal);
    await watch.next();
    await gateway.close();
    expect(await failureFrom(watch.next())).toMatchObject({ kind: 'platform-unavailable' });
    await gateway.listen();
  });

  // Guards against a write that is repeated or given up although it may have taken effect.
  it('reports that a write may have taken effect if its response is lost, not if it cannot connect', async () => {
    for (const fault of [Fault.LoseResponse, Fault.Silent]) {
      gateway.faults.enqueue(fault);
      const key = `/lost/${fault}`;
      const lost = await failureFrom(store.commit(putIfAbsent(key, 'value')));
      expect(lost).toMatchObject({
        kind: FailureKind.PlatformUnavailable,
        mayHaveTakenEffect: true,
      });
      expect((await store.get(key))?.value).toBe('value');
    }
    // A pooled connection may break after the write was sent, so only a new one can be refused.
    const newStore = new EtcdKeyValueStore({ urls: [gateway.url] });
    await gateway.close();
    const refused = await failureFrom(newStore.commit(putIfAbsent('/refused', 'value')));
    await newStore.close();
    expect(refused).toMatchObject({ mayHaveTakenEffect: false });
    await gateway.listen();
  });
});
