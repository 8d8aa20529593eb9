import { beforeEach, describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineOrderReceiver, InProcessOrderLink } from 'hickoryrelay-standin/EngineOrderReceiver';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { InProcessExchange } from 'hickoryrelay-standin/InProcessExchange';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { EndpointOrderDispatcher } from 'hickoryrelay-zone/EndpointOrderDispatcher';
import { FencingCounterTask } from 'hickoryrelay-zone/FencingCounterTask';
import { FencingFloor } from 'hickoryrelay-zone/FencingFloor';
import { ZoneAuthority } from 'hickoryrelay-zone/ZoneAuthority';
import { fencingKey } from 'hickoryrelay-zone/ZoneKeyUtils';

import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

const ZONE = 'zone-a';
const ENGINE = 'engine-1';

describe('fencing numbers across a restore of the store', () => {
  let clock: ManualClock;
  let table: KeyValueTable;
  let engine: EngineOrderReceiver;
  /** Numbers of the terms in which orders could have been issued, in order. */
  let numbers: number[];

  beforeEach(() => {
    clock = new ManualClock();
    table = new KeyValueTable(clock);
    engine = new EngineOrderReceiver(clock, { fencing: true, deadline: true });
    numbers = [];
  });

  /** An instance that contends for the authority, as `ZoneController` does. */
  function createInstance(holder: string, seed: number) {
    const process = new ProcessClock(clock);
    const store = new InProcessKeyValueStore(table, clock, process);
    const lifecycle = new LifecycleManager(holder, process, () => {});
    const random = new SeededRandomSource(seed);
    const floor = new FencingFloor(process);
    const parts = { zone: ZONE, store, random, log: silentLogger };
    floor.observe(store.era);
    const dispatchers: EndpointOrderDispatcher[] = [];
    const createDispatcher = (term: AuthorityTerm) => {
      const exchange = new InProcessExchange(clock, process);
      const dispatcher = new EndpointOrderDispatcher({
        term,
        store,
        clock: process,
        random,
        floor,
        openLink: (endpoint, check) =>
          new InProcessOrderLink(endpoint, engine, { orders: exchange, reads: exchange }, check),
      });
      void dispatcher.recover(term.signal).catch(() => {});
      dispatchers.push(dispatcher);
    };
    const authority = new ZoneAuthority({
      ...parts,
      holder,
      lifecycle,
      fencingFloor: () => floor.highest,
      mayBeVacant: () => !floor.mayEarlierTermBeHeld,
      createTasks: (term) => {
        if (floor.isAssignedBefore(term)) {
          term.end();
          return [];
        }
        floor.record(term.fencingNumber);
        numbers.push(term.fencingNumber);
        createDispatcher(term);
        return [];
      },
    });
    const counter = new FencingCounterTask({
      ...parts,
      floor,
      currentTerm: () => authority.currentTerm,
    });
    return {
      authority,
      process,
      store,
      start: () => {
        lifecycle.start(authority);
        lifecycle.start(counter);
      },
      startAuthority: () => lifecycle.start(authority),
      startCounter: () => lifecycle.start(counter),
      stop: () => lifecycle.stop(),
      order: () =>
        dispatchers
          .at(-1)
          ?.issue(ENGINE, { type: 'drain' })
          .catch(() => 'failed'),
    };
  }

  function isStrictlyIncreasing(): boolean {
    return numbers.every((number, index) => index === 0 || number > numbers[index - 1]!);
  }

  // Guards against two holders with the same fencing number, whose orders no endpoint can tell apart.
  it('assigns no number again if any instance of the zone knows it', async () => {
    const first = createInstance('first', 1);
    const second = createInstance('second', 2);
    first.start();
    await clock.advance(10_000);
    const copy = table.copy();
    await first.stop();
    second.start();
    await clock.advance(80_000);
    await second.stop();
    const third = createInstance('third', 3);
    third.start();
    await clock.advance(80_000);
    expect(numbers).toEqual([1, 2, 3]);
    table.restore(copy);
    await clock.advance(80_000);
    expect(third.authority.currentTerm?.fencingNumber).toBeGreaterThan(3);
    expect(isStrictlyIncreasing()).toBe(true);
    expect(Number(table.range(fencingKey(ZONE)).values[0]?.value)).toBe(numbers.at(-1));
  });

  it('uses no number again that it has held itself', async () => {
    const first = createInstance('first', 1);
    const copy = table.copy();
    first.startAuthority();
    await clock.advance(10_000);
    table.restore(copy);
    await clock.advance(80_000);
    expect(first.authority.currentTerm?.fencingNumber).toBe(2);
    expect(numbers).toEqual([1, 2]);
  });

  // Guards against two holders at a time: the store has forgotten the lease of a holder that cannot reach
  // it, and the raised counter looks like that of an expired term.
  it('waits until a term of before the restore has ended everywhere', async () => {
    const first = createInstance('first', 1);
    const second = createInstance('second', 2);
    const copy = table.copy();
    first.start();
    await clock.advance(10_000);
    second.start();
    await clock.advance(1000);
    first.store.exchange.faults.defaultFault = Fault.Refuse;
    table.restore(copy);
    await Promise.all([second.store.get('/any'), clock.advance(100)]);
    for (let elapsed = 0; elapsed < 40_000; elapsed += 100) {
      await clock.advance(100);
      const holders = [first, second].filter(({ authority }) => authority.currentTerm);
      expect(holders.length).toBeLessThanOrEqual(1);
    }
    expect(second.authority.currentTerm?.fencingNumber).toBeGreaterThan(1);
  });

  // Guards against a new instance that knows no number and takes one that others know.
  it('raises the counter for an instance that was started after the restore', async () => {
    const first = createInstance('first', 1);
    const other = createInstance('other', 2);
    const copy = table.copy();
    first.start();
    await clock.advance(10_000);
    other.startCounter();
    await clock.advance(1000);
    await first.stop();
    table.restore(copy);
    await other.store.get('/any');
    await clock.advance(4000);
    const late = createInstance('late', 3);
    late.start();
    await clock.advance(10_000);
    expect(late.authority.currentTerm?.fencingNumber).toBe(2);
  });

  // Guards against orders of a term whose number an endpoint has seen from another term: it accepts
  // them as if they were of the same holder.
  it('ends a term whose number an endpoint has seen from another one, and passes it', async () => {
    const first = createInstance('first', 1);
    const copy = table.copy();
    first.start();
    await clock.advance(10_000);
    const issued = first.order();
    await clock.advance(1000);
    expect(await issued).toBe('taken');
    await first.stop();
    table.restore(copy);
    const second = createInstance('second', 2);
    second.startAuthority();
    await clock.advance(20_000);
    expect(second.authority.currentTerm?.fencingNumber).toBe(1);
    const refused = second.order();
    await clock.advance(1000);
    expect(await refused).toBe('no-effect');
    await clock.advance(60_000);
    const accepted = second.order();
    await clock.advance(1000);
    expect(await accepted).toBe('taken');
    expect(engine.taken.map(({ issued: { fencingNumber } }) => fencingNumber)).toEqual([1, 2]);
  });

  // Guards against a number that is raised beyond use by a faulty endpoint.
  it.each([Number.MAX_SAFE_INTEGER, Number.NaN, Infinity, 1.5])('ignores %s', (number) => {
    const floor = new FencingFloor(clock);
    floor.record(number);
    expect(floor.highest).toBe(0);
  });
});
