import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { BudgetedKeyValueStore } from 'hickoryrelay-platform/BudgetedKeyValueStore';
import { CallBudget, CallKind } from 'hickoryrelay-platform/CallBudget';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';

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
  it('delays calls beyond the rate, drops none, and lets urgent ones pass', async () => {
    const clock = new ManualClock();
    const budget = new CallBudget(clock, LIMITS);
    const done: number[] = [];
    for (let index = 0; index < 10; index += 1) {
      void budget.take(CallKind.Read).then(() => done.push(clock.monotonicMilliseconds()));
    }
    await clock.advance(0);
    expect(done.length).toBe(4);
    let isRenewed = false;
    void budget.take(CallKind.Read, true).then(() => {
      isRenewed = true;
    });
    await clock.advance(0);
    expect(isRenewed).toBe(true);
    await clock.advance(10_000);
    expect(done).toEqual([0, 0, 0, 0, 500, 1000, 1500, 2000, 2500, 3000]);
    expect(budget.counts).toMatchObject({ reads: 11, delayed: 6 });
  });

  it('opens no more watches than allowed and gives a closed place to the next', async () => {
    const budget = new CallBudget(new ManualClock(), LIMITS);
    const closeFirst = await budget.openWatch();
    let isSecondOpen = false;
    const second = budget.openWatch().then((close) => {
      isSecondOpen = true;
      return close;
    });
    await Promise.resolve();
    expect([isSecondOpen, budget.counts.openWatches]).toEqual([false, 1]);
    closeFirst();
    closeFirst();
    (await second)();
    expect(budget.counts.openWatches).toBe(0);
  });
});

describe('BudgetedKeyValueStore', () => {
  function fleetOf(count: number) {
    const clock = new ManualClock();
    const table = new KeyValueTable(clock);
    return {
      clock,
      table,
      members: Array.from({ length: count }, (empty, index) => {
        const inner = new InProcessKeyValueStore(table, clock, new ProcessClock(clock));
        const random = new SeededRandomSource(index);
        const budget = new CallBudget(clock);
        const store = new BudgetedKeyValueStore({ store: inner, budget, clock, random });
        return { inner, store, budget };
      }),
    };
  }

  it('repeats a read that fails and never a write', async () => {
    const { clock, members } = fleetOf(1);
    const { inner, store, budget } = members[0]!;
    inner.exchange.faults.next(Fault.Refuse);
    const read = store.range('/key');
    await clock.advance(5000);
    expect((await read).values).toEqual([]);
    inner.exchange.faults.next(Fault.LoseAnswer);
    await expect(store.commit(put('/key'))).rejects.toThrow('unavailable');
    expect((await store.get('/key'))?.version).toBe(1);
    expect(budget.counts).toMatchObject({ reads: 3, writes: 1 });
  });

  it('opens a broken watch again without losing a change', async () => {
    const { clock, table, members } = fleetOf(1);
    const { inner, store } = members[0]!;
    const abort = new AbortController();
    const seen: string[] = [];
    const reader = (async () => {
      for await (const batch of store.watch('/w/', 1, abort.signal)) {
        seen.push(...batch.events.map((event) => (event.type === 'put' ? event.value.key : '')));
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
    await reader;
    expect(seen).toEqual(['/w/0', '/w/1', '/w/2', '/w/3', '/w/4', '/w/5']);
  });

  it('spreads the watches of 640 instances after a partition has healed', async () => {
    const { clock, members } = fleetOf(640);
    // Each instance has a signal of its own.
    const aborts = members.map(() => new AbortController());
    members.forEach(({ store }, index) => {
      void (async () => {
        for await (const batch of store.watch('/w/', 1, aborts[index]!.signal)) {
          expect(batch.revision).toBeGreaterThan(0);
        }
      })();
    });
    await clock.advance(0);
    const setFault = (fault: Fault) => {
      members.forEach(({ inner }) => Object.assign(inner.exchange.faults, { standing: fault }));
    };
    setFault(Fault.Refuse);
    members.forEach(({ inner }) => inner.breakWatches());
    await clock.advance(120_000);
    setFault(Fault.None);
    const reads = () => members.reduce((sum, { budget }) => sum + budget.counts.reads, 0);
    let last = reads();
    let worst = 0;
    for (let second = 0; second < 60; second += 1) {
      await clock.advance(1000);
      worst = Math.max(worst, reads() - last);
      last = reads();
    }
    const open = members.filter(({ budget }) => budget.counts.openWatches === 1).length;
    aborts.forEach((abort) => abort.abort());
    expect(open).toBe(640);
    // The service allows about 2,000 reads a second; without jitter all 640 would come at once.
    expect(worst).toBeLessThan(100);
  });
});
