import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { InProcessExchange } from 'hickoryrelay-standin/InProcessExchange';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { InProcessEndpointSupply, SupplySide } from 'hickoryrelay-standin/SupplySide';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import { Spend } from 'hickoryrelay-zone/Spend';
import { SupplyBook } from 'hickoryrelay-zone/SupplyBook';
import { authorityKey, SPEND_KEY } from 'hickoryrelay-zone/ZoneKeyUtils';

import { KIND, ZONE } from './AuthorityWorld.js';

describe('SupplyBook', () => {
  let clock: ManualClock;
  let table: KeyValueTable;
  let side: SupplySide;
  let store: InProcessKeyValueStore;
  let orders: InProcessExchange;
  let reads: InProcessExchange;

  beforeEach(() => {
    clock = new ManualClock();
    table = new KeyValueTable(clock);
    side = new SupplySide(clock);
    const process = new ProcessClock(clock);
    store = new InProcessKeyValueStore(table, clock, process);
    orders = new InProcessExchange(clock, process);
    reads = new InProcessExchange(clock, process);
  });

  function put(key: string, value: string): void {
    table.commit({ compare: [], success: [{ type: 'put', key, value }], failure: [] });
  }

  function openBook(fencingNumber = 1) {
    const grant = { zone: ZONE, holder: 'first', fencingNumber, lease: '1' };
    const term = new AuthorityTerm(grant, clock, {
      askedMilliseconds: clock.monotonicMilliseconds(),
      timeToLiveSeconds: 600,
      marginMilliseconds: 0,
    });
    put(authorityKey(ZONE), term.storedValue);
    const book = new SupplyBook({
      term,
      store,
      clock,
      random: new SeededRandomSource(fencingNumber),
      supply: new InProcessEndpointSupply(side, { orders, reads }),
    });
    return { book, beginning: book.begin(term.signal) };
  }

  async function readyBook(fencingNumber = 1) {
    const { book, beginning } = openBook(fencingNumber);
    await clock.advance(6000);
    await beginning;
    return book;
  }

  const reserved = () => Spend.parse(table.range(SPEND_KEY).values[0]?.value).total;

  it('orders within the limit and refuses beyond it', async () => {
    const book = await readyBook();
    expect(await book.order(KIND, 5000)).toBe('taken');
    await expect(book.order(KIND, 5000)).rejects.toThrow('budget');
    expect([side.list().length, reserved()]).toEqual([1, 4000]);
  });

  it('gives the spend back when an order certainly had no effect', async () => {
    const book = await readyBook();
    orders.faults.next(Fault.Refuse);
    expect(await book.order(KIND, 5000)).toBe('no-effect');
    expect([side.list().length, reserved()]).toEqual([0, 0]);
  });

  it('resolves a lost answer by the effective orders', async () => {
    const book = await readyBook();
    orders.faults.next(Fault.LoseAnswer);
    expect(await book.order(KIND, 5000)).toBe('taken');
    expect([side.received.length, reserved()]).toEqual([1, 4000]);
  });

  it('keeps the spend and allows no release while an order may still arrive', async () => {
    const book = await readyBook();
    orders.slow(2500, 0);
    const ordering = book.order(KIND, 5000);
    await clock.advance(2100);
    expect([await ordering, await book.settleOpen(), reserved()]).toEqual(['open', 1, 4000]);
    await clock.advance(500);
    orders.slow(0, 0);
    const endpoint = side.list()[0]!;
    // Released now, the endpoint would be gone but its spend never given back.
    await expect(book.release(endpoint)).rejects.toThrow('an order for the endpoint is open');
    expect(await book.settleOpen()).toBe(0);
    expect(await book.release(endpoint)).toBe('taken');
    expect([side.list().length, reserved()]).toEqual([0, 0]);
  });

  it('issues nothing before the orders of the predecessor can no longer arrive', async () => {
    const { book, beginning } = openBook(2);
    await clock.advance(5900);
    await expect(book.order(KIND, 5000)).rejects.toThrow('not settled');
    await clock.advance(200);
    await beginning;
    expect(await book.order(KIND, 5000)).toBe('taken');
  });

  it('loses no change of another zone that comes while it settles', async () => {
    const book = await readyBook();
    store.exchange.slow(100, 0);
    orders.faults.next(Fault.Refuse);
    const ordering = book.order(KIND, 50_000);
    while (side.received.length === 0 && reserved() === 0) {
      await clock.advance(10);
    }
    for (let step = 1; step <= 12; step += 1) {
      await clock.advance(50);
      put(
        SPEND_KEY,
        Spend.parse(table.range(SPEND_KEY).values[0]?.value).add('zone-b', 1).serialize(),
      );
    }
    // With changes at that rate the settling repeats; it ends once they stop.
    await clock.advance(5000);
    await ordering;
    const spend = Spend.parse(table.range(SPEND_KEY).values[0]?.value);
    expect([spend.forZone('zone-b'), spend.forZone(ZONE)]).toEqual([12, 0]);
  });
});
