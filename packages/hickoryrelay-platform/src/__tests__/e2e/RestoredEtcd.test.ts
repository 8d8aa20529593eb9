import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SystemClock } from 'hickoryrelay/Clock';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { failureOf } from 'hickoryrelay/RelayError';
import { BudgetedKeyValueStore } from 'hickoryrelay-platform/BudgetedKeyValueStore';
import { CallBudget } from 'hickoryrelay-platform/CallBudget';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import { KeyValueGateway } from 'hickoryrelay-standin/KeyValueGateway';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';

import type { ObservedRestore } from 'hickoryrelay-platform/EtcdRestoreDetector';
import type { Comparison, KeyValue, Transaction } from 'hickoryrelay-platform/KeyValueStore';

function put(key: string, value: string, compare: Comparison[] = []): Transaction {
  return {
    compare,
    success: [{ type: 'put', key, value }],
    failure: [{ type: 'range', key }],
  };
}

describe.each([
  ['a new cluster', false],
  ['the same cluster', true],
])('EtcdKeyValueStore whose service is restored as %s', (name, keepsClusterIdentifier) => {
  let gateway: KeyValueGateway;
  let store: EtcdKeyValueStore;
  let restores: ObservedRestore[];

  beforeEach(async () => {
    gateway = new KeyValueGateway(new KeyValueTable(new ManualClock()));
    await gateway.listen();
    store = new EtcdKeyValueStore({ urls: [gateway.url], timeoutMilliseconds: 1000 });
    restores = [];
    store.onRestore((restore) => restores.push(restore));
    await store.commit(put('/key', 'first'));
  });

  afterEach(async () => {
    await store.close();
    await gateway.close();
  });

  /** Writes that are lost, then a restore, then a read that shows it. */
  async function loseWrites(): Promise<KeyValue> {
    const copy = gateway.table.copy();
    await store.commit(put('/key', 'second'));
    const lost = await store.get('/key');
    await store.commit(put('/other', 'third'));
    gateway.table.restore(copy, { keepsClusterIdentifier });
    expect((await store.get('/key'))?.value).toBe('first');
    return lost!;
  }

  it('begins a new era and states what was lost', async () => {
    expect(store.era.current).toBe(0);
    await loseWrites();
    expect(store.era.current).toBe(1);
    const clusterBefore = '14841639';
    const clusterAfter = keepsClusterIdentifier ? clusterBefore : '14841640';
    expect(restores).toEqual([
      { era: 1, clusterBefore, clusterAfter, revisionBefore: 4, revisionAfter: 2 },
    ]);
  });

  // Guards against a write over a value that the writer has not read: the number of its revision was
  // assigned again.
  it.each(['mod-revision', 'create-revision'] as const)(
    'does not hold a comparison with a %s of the earlier era',
    async (target) => {
      const copy = gateway.table.copy();
      await store.commit(put('/new', 'lost'));
      const lost = await store.get('/new');
      await store.commit(put('/other', 'lost'));
      gateway.table.restore(copy, { keepsClusterIdentifier });
      await store.range('/new');
      await store.commit(put('/new', 'of another writer'));
      const found = await store.get('/new');
      expect(found?.modRevision.number).toBe(lost?.modRevision.number);
      const operand = lost!.modRevision;
      const compare = { key: '/new', target, operand } as const;
      const refused = await store.commit(put('/new', 'stale', [compare]));
      expect(refused).toMatchObject({
        succeeded: false,
        results: [{ values: [{ value: 'of another writer' }] }],
      });
      const current = { ...compare, operand: found!.modRevision };
      expect((await store.commit(put('/new', 'current', [current]))).succeeded).toBe(true);
    },
  );

  // Guards against a write whose outcome is reported as known although the number that it compares
  // was assigned on both sides of the restore.
  it('reports a comparison that meets the restore as of unknown outcome', async () => {
    const copy = gateway.table.copy();
    await store.commit(put('/new', 'lost'));
    const lost = await store.get('/new');
    await store.commit(put('/other', 'lost'));
    gateway.table.restore(copy, { keepsClusterIdentifier });
    gateway.table.commit(put('/new', 'of another writer'));
    const operand = lost!.modRevision;
    const stale = put('/new', 'stale', [{ key: '/new', target: 'mod-revision', operand }]);
    const failure = await store.commit(stale).then(() => undefined, failureOf);
    expect(failure).toMatchObject({ kind: 'platform-unavailable', mayHaveTakenEffect: true });
    expect(store.era.current).toBe(1);
  });

  // Guards against an authority that is held on a lease that the service has lost, and against the
  // renewal or revocation of a lease of another client.
  it('treats leases of the earlier era as expired', async () => {
    const { identifier } = await store.grantLease(10);
    await loseWrites();
    gateway.table.grantLease(10, identifier);
    const { writes } = gateway.counts;
    expect(await store.keepLeaseAlive(identifier)).toBe(0);
    await store.revokeLease(identifier);
    expect(gateway.counts.writes).toBe(writes);
    expect(gateway.table.keepLeaseAlive(identifier)).toBe(10);
    const renewed = await store.grantLease(10);
    expect(await store.keepLeaseAlive(renewed.identifier)).toBe(10);
  });

  // Guards against a watch that waits for a revision that is far in the future and reports no error.
  it('ends watches of the earlier era and opens none from its revisions', async () => {
    const { modRevision } = await loseWrites();
    const { revision } = await store.range('/key');
    const watch = store.watch('/key', revision.next, new AbortController().signal);
    await watch.next();
    const ended = watch.next().then(() => undefined, failureOf);
    const copy = gateway.table.copy();
    await store.commit(put('/other', 'lost'));
    gateway.table.restore(copy, { keepsClusterIdentifier });
    await store.get('/key');
    expect(await ended).toBeDefined();
    for (const past of [modRevision, revision]) {
      const late = store.watch('/', past, new AbortController().signal);
      expect(await late.next().then(() => undefined, failureOf)).toMatchObject({
        kind: 'protocol-violation',
      });
    }
  });

  it('does not resume a watch from a revision of the earlier era', async () => {
    const clock = new SystemClock();
    const budgeted = new BudgetedKeyValueStore({
      store,
      budget: new CallBudget(clock),
      clock: { ...clock, sleep: () => Promise.resolve() } as unknown as SystemClock,
      random: new SeededRandomSource(1),
    });
    const { revision } = await budgeted.range('/key');
    const watch = budgeted.watch('/key', revision.next, new AbortController().signal);
    await watch.next();
    await store.commit(put('/key', 'second'));
    expect((await watch.next()).value).toMatchObject({ events: [{ type: 'put' }] });
    const ended = watch.next().then(() => undefined, failureOf);
    const copy = gateway.table.copy();
    await store.commit(put('/x', 'lost'));
    gateway.table.restore(copy, { keepsClusterIdentifier });
    await store.get('/key');
    expect(await ended).toMatchObject({ kind: 'protocol-violation' });
  });

  it('keeps comparisons with the absence of a key', async () => {
    await loseWrites();
    const operand = StoreRevision.None;
    const absent = { key: '/absent', target: 'create-revision', operand } as const;
    expect((await store.commit(put('/absent', 'value', [absent]))).succeeded).toBe(true);
  });
});
