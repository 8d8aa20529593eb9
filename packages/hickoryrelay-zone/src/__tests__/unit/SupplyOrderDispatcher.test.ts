import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import {
  InProcessEndpointSupply,
  EndpointSupplyStandIn,
} from 'hickoryrelay-standin/EndpointSupplyStandIn';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { InProcessExchange } from 'hickoryrelay-standin/InProcessExchange';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import { Spend } from 'hickoryrelay-zone/Spend';
import { SupplyOrderDispatcher } from 'hickoryrelay-zone/SupplyOrderDispatcher';
import { authorityKey, SPEND_KEY } from 'hickoryrelay-zone/ZoneKeyUtils';

import { KIND, ZONE } from './AuthoritySimulation.js';

describe('SupplyOrderDispatcher', () => {
  let clock: ManualClock;
  let table: KeyValueTable;
  let side: EndpointSupplyStandIn;
  let store: InProcessKeyValueStore;
  let orders: InProcessExchange;
  let reads: InProcessExchange;

  beforeEach(() => {
    clock = new ManualClock();
    table = new KeyValueTable(clock);
    side = new EndpointSupplyStandIn(clock);
    const process = new ProcessClock(clock);
    store = new InProcessKeyValueStore(table, clock, process);
    orders = new InProcessExchange(clock, process);
    reads = new InProcessExchange(clock, process);
  });

  function put(key: string, value: string): void {
    table.commit({ compare: [], success: [{ type: 'put', key, value }], failure: [] });
  }

  function createDispatcher(fencingNumber = 1) {
    const grant = { zone: ZONE, holder: 'first', fencingNumber, lease: '1' };
    const term = new AuthorityTerm(grant, clock, {
      requestedMilliseconds: clock.monotonicMilliseconds(),
      timeToLiveSeconds: 600,
      marginMilliseconds: 0,
    });
    put(authorityKey(ZONE), term.storedValue);
    const dispatcher = new SupplyOrderDispatcher({
      term,
      store,
      clock,
      random: new SeededRandomSource(fencingNumber),
      supply: new InProcessEndpointSupply(side, { orders, reads }),
    });
    return { dispatcher, recovery: dispatcher.recover(term.signal) };
  }

  async function createReadyDispatcher(fencingNumber = 1) {
    const { dispatcher, recovery } = createDispatcher(fencingNumber);
    await clock.advance(6000);
    await recovery;
    return dispatcher;
  }

  const reserved = () => Spend.parse(table.range(SPEND_KEY).values[0]?.value).total;

  // Guards against spend beyond the budget.
  it('orders within the limit and refuses beyond it', async () => {
    const dispatcher = await createReadyDispatcher();
    expect(await dispatcher.order(KIND, 5000)).toBe('taken');
    await expect(dispatcher.order(KIND, 5000)).rejects.toThrow('budget');
    expect([side.list().length, reserved()]).toEqual([1, 4000]);
  });

  // Guards against spend that stays reserved without an endpoint.
  it('returns the spend of an order that is known to have had no effect', async () => {
    const dispatcher = await createReadyDispatcher();
    orders.faults.enqueue(Fault.Refuse);
    expect(await dispatcher.order(KIND, 5000)).toBe('no-effect');
    expect([side.list().length, reserved()]).toEqual([0, 0]);
  });

  // Guards against a second endpoint ordered after a lost response.
  it('resolves a lost response by reading the effective orders', async () => {
    const dispatcher = await createReadyDispatcher();
    orders.faults.enqueue(Fault.LoseResponse);
    expect(await dispatcher.order(KIND, 5000)).toBe('taken');
    expect([side.received.length, reserved()]).toEqual([1, 4000]);
  });

  // Guards against spend that is never returned because the release precedes the order record.
  it('keeps the spend reserved and refuses a release while an order may still arrive', async () => {
    const dispatcher = await createReadyDispatcher();
    orders.setDelays(2500, 0);
    const ordering = dispatcher.order(KIND, 5000);
    await clock.advance(2100);
    expect([await ordering, await dispatcher.resolveOpenIntents(), reserved()]).toEqual([
      'open',
      1,
      4000,
    ]);
    await clock.advance(500);
    orders.setDelays(0, 0);
    const endpoint = side.list()[0]!;
    // A release at this point would remove the endpoint but never return its spend.
    await expect(dispatcher.release(endpoint)).rejects.toThrow('an order for the endpoint is open');
    expect(await dispatcher.resolveOpenIntents()).toBe(0);
    expect(await dispatcher.release(endpoint)).toBe('taken');
    expect([side.list().length, reserved()]).toEqual([0, 0]);
  });

  // Guards against a delayed order of the previous term whose spend was already returned.
  it('issues no order while orders of the previous term may still arrive', async () => {
    const { dispatcher, recovery } = createDispatcher(2);
    await clock.advance(5900);
    await expect(dispatcher.order(KIND, 5000)).rejects.toThrow('previous term are not resolved');
    await clock.advance(200);
    await recovery;
    expect(await dispatcher.order(KIND, 5000)).toBe('taken');
  });

  // Guards against a lost update of the shared spend.
  it('preserves concurrent updates of the spend by another zone', async () => {
    const dispatcher = await createReadyDispatcher();
    store.exchange.setDelays(100, 0);
    orders.faults.enqueue(Fault.Refuse);
    const ordering = dispatcher.order(KIND, 50_000);
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
    // The compare-and-swap is retried during these updates and succeeds once they stop.
    await clock.advance(5000);
    await ordering;
    const spend = Spend.parse(table.range(SPEND_KEY).values[0]?.value);
    expect([spend.forZone('zone-b'), spend.forZone(ZONE)]).toEqual([12, 0]);
  });
});
