import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { BudgetedKeyValueStore } from 'hickoryrelay-platform/BudgetedKeyValueStore';
import { CallBudget, CallKind } from 'hickoryrelay-platform/CallBudget';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { StoreRevision } from '../../StoreRevision.js';

const LIMITS = {
  reads: { perSecond: 2, burst: 4 },
  writes: { perSecond: 1, burst: 1 },
  openWatches: 1,
};

function put(key: string) {
  return {
    compare: [],
    success: [{ type: 'put' as const, key, value: 'value' }],
    failure: [],
  };
}

describe('CallBudget', () => {
  // Guards against leases that expire because their renewals wait behind other calls.
  it('delays calls beyond the rate, drops none and does not delay urgent ones', async () => {
    const clock = new ManualClock();
    const budget = new CallBudget(clock, LIMITS);
    const acquiredAtMilliseconds: number[] = [];
    for (let index = 0; index < 10; index += 1) {
      void budget
        .acquire(CallKind.Read)
        .then(() => acquiredAtMilliseconds.push(clock.monotonicMilliseconds()));
    }
    await clock.advance(0);
    expect(acquiredAtMilliseconds.length).toBe(4);
    let isRenewed = false;
    void budget.acquire(CallKind.Read, true).then(() => {
      isRenewed = true;
    });
    await clock.advance(0);
    expect(isRenewed).toBe(true);
    await clock.advance(10_000);
    expect(acquiredAtMilliseconds).toEqual([0, 0, 0, 0, 500, 1000, 1500, 2000, 2500, 3000]);
    expect(budget.counts).toMatchObject({ reads: 11, delayed: 6 });
  });

  // Guards against a permit that is released twice, which would raise the limit of open watches.
  it('limits open watches and hands a released permit to the next waiter', async () => {
    const budget = new CallBudget(new ManualClock(), LIMITS);
    const releaseFirst = await budget.acquireWatch();
    let isSecondOpen = false;
    const second = budget.acquireWatch().then((release) => {
      isSecondOpen = true;
      return release;
    });
    await Promise.resolve();
    expect([isSecondOpen, budget.counts.openWatches]).toEqual([false, 1]);
    releaseFirst();
    releaseFirst();
    (await second)();
    expect(budget.counts.openWatches).toBe(0);
  });
});

describe('BudgetedKeyValueStore', () => {
  function createInstances(count: number) {
    const clock = new ManualClock();
    const table = new KeyValueTable(clock);
    return {
      clock,
      table,
      instances: Array.from({ length: count }, (empty, index) => {
        const inner = new InProcessKeyValueStore(table, clock, new ProcessClock(clock));
        const random = new SeededRandomSource(index);
        const budget = new CallBudget(clock);
        const store = new BudgetedKeyValueStore({ store: inner, budget, clock, random });
        return { inner, store, budget };
      }),
    };
  }

  // Guards against a write that takes effect twice because its response was lost.
  it('retries a failed read but never a write', async () => {
    const { clock, instances } = createInstances(1);
    const { inner, store, budget } = instances[0]!;
    inner.exchange.faults.enqueue(Fault.Refuse);
    const read = store.range('/key');
    await clock.advance(5000);
    expect((await read).values).toEqual([]);
    inner.exchange.faults.enqueue(Fault.LoseResponse);
    await expect(store.commit(put('/key'))).rejects.toThrow('unavailable');
    expect((await store.get('/key'))?.version).toBe(1);
    expect(budget.counts).toMatchObject({ reads: 3, writes: 1 });
  });

  // Guards against changes that are missed while a watch is reopened.
  it('reopens a broken watch without losing a change', async () => {
    const { clock, table, instances } = createInstances(1);
    const { inner, store } = instances[0]!;
    const abort = new AbortController();
    const receivedKeys: string[] = [];
    const reading = (async () => {
      for await (const batch of store.watch('/w/', new StoreRevision(0, 1), abort.signal)) {
        receivedKeys.push(
          ...batch.events.map((event) => (event.type === 'put' ? event.value.key : '')),
        );
      }
    })();
    for (let index = 0; index < 6; index += 1) {
      table.commit(put(`/w/${index}`));
      await clock.advance(3000);
      inner.breakWatches();
      await clock.advance(100);
    }
    await clock.advance(60_000);
    abort.abort();
    await clock.advance(0);
    await reading;
    expect(receivedKeys).toEqual(['/w/0', '/w/1', '/w/2', '/w/3', '/w/4', '/w/5']);
  });

  // Guards against overloading the service when the watches of all instances break at once.
  it('spreads the reconnects of 640 instances after a network partition', async () => {
    const { clock, instances } = createInstances(640);
    // Each instance has its own signal.
    const aborts = instances.map(() => new AbortController());
    instances.forEach(({ store }, index) => {
      void (async () => {
        for await (const batch of store.watch(
          '/w/',
          new StoreRevision(0, 1),
          aborts[index]!.signal,
        )) {
          expect(batch.revision.number).toBeGreaterThan(0);
        }
      })();
    });
    await clock.advance(0);
    const setFault = (fault: Fault) => {
      instances.forEach(({ inner }) =>
        Object.assign(inner.exchange.faults, { defaultFault: fault }),
      );
    };
    setFault(Fault.Refuse);
    instances.forEach(({ inner }) => inner.breakWatches());
    await clock.advance(120_000);
    setFault(Fault.None);
    const reads = () => instances.reduce((sum, { budget }) => sum + budget.counts.reads, 0);
    let previous = reads();
    let highestRate = 0;
    for (let second = 0; second < 60; second += 1) {
      await clock.advance(1000);
      highestRate = Math.max(highestRate, reads() - previous);
      previous = reads();
    }
    const open = instances.filter(({ budget }) => budget.counts.openWatches === 1).length;
    aborts.forEach((abort) => abort.abort());
    expect(open).toBe(640);
    // The service allows about 2,000 reads per second; without jitter, all 640 reconnect at once.
    expect(highestRate).toBeLessThan(100);
  });
});
