import { beforeEach, describe, expect, it, vi } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineOrderReceiver, InProcessOrderLink } from 'hickoryrelay-standin/EngineOrderReceiver';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { InProcessExchange } from 'hickoryrelay-standin/InProcessExchange';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import { EndpointOrderDispatcher } from 'hickoryrelay-zone/EndpointOrderDispatcher';
import { authorityKey, intentKey } from 'hickoryrelay-zone/ZoneKeyUtils';

const ZONE = 'zone-a';
const ENGINE = 'engine-1';
const DRAIN = { type: 'drain' as const };

describe('EndpointOrderDispatcher', () => {
  let clock: ManualClock;
  let table: KeyValueTable;
  let store: InProcessKeyValueStore;
  let side: EngineOrderReceiver;
  let orders: InProcessExchange;
  let reads: InProcessExchange;

  beforeEach(() => {
    clock = new ManualClock();
    table = new KeyValueTable(clock);
    const process = new ProcessClock(clock);
    store = new InProcessKeyValueStore(table, clock, process);
    side = new EngineOrderReceiver(clock, { fencing: false, deadline: false });
    orders = new InProcessExchange(clock, process);
    reads = new InProcessExchange(clock, process);
  });

  function put(key: string, value: string): void {
    table.commit({ compare: [], success: [{ type: 'put', key, value }], failure: [] });
  }

  async function createDispatcher(fencingNumber: number) {
    const term = new AuthorityTerm(
      { zone: ZONE, holder: 'first', fencingNumber, lease: '1' },
      clock,
      {
        requestedMilliseconds: clock.monotonicMilliseconds(),
        timeToLiveSeconds: 600,
        marginMilliseconds: 0,
      },
    );
    put(authorityKey(ZONE), term.storedValue);
    const dispatcher = new EndpointOrderDispatcher({
      term,
      store,
      clock,
      random: new SeededRandomSource(fencingNumber),
      openLink: (endpoint, check) =>
        new InProcessOrderLink(endpoint, side, { orders, reads }, check),
    });
    const recovery = dispatcher.recover(term.signal);
    return { dispatcher, term, recovery };
  }

  async function createReadyDispatcher(fencingNumber: number) {
    const created = await createDispatcher(fencingNumber);
    await clock.advance(6000);
    await created.recovery;
    return created;
  }

  function storedIntent(): string | undefined {
    return table.range(intentKey(ZONE, ENGINE)).values[0]?.value;
  }

  // Guards against orders that leave no trace for the next holder after a crash.
  it('writes the intent before it sends the order and deletes it after the response', async () => {
    const { dispatcher } = await createReadyDispatcher(1);
    orders.setDelays(100, 0);
    const issuing = dispatcher.issue(ENGINE, DRAIN);
    await clock.advance(50);
    expect([storedIntent() === undefined, side.taken.length]).toEqual([false, 0]);
    await clock.advance(100);
    expect(await issuing).toBe('taken');
    expect([storedIntent(), side.taken.length]).toEqual([undefined, 1]);
  });

  // Guards against orders of a holder that does not know yet that it lost the authority.
  it('issues no order after another holder has taken over, even if its own term has not expired', async () => {
    const { dispatcher } = await createReadyDispatcher(1);
    put(authorityKey(ZONE), 'another holder');
    await expect(dispatcher.issue(ENGINE, DRAIN)).rejects.toThrow('taken over');
    expect([storedIntent(), side.taken.length]).toEqual([undefined, 0]);
  });

  // Guards against buffered orders that reach an endpoint after the end of the term.
  it('closes its order connections when the term ends', async () => {
    const { dispatcher, term } = await createReadyDispatcher(1);
    await dispatcher.issue(ENGINE, DRAIN);
    const close = vi.spyOn(InProcessOrderLink.prototype, 'close');
    term.end();
    expect(close).toHaveBeenCalledTimes(1);
    close.mockRestore();
  });

  // Guards against orders that an endpoint with deadline checks accepts after the end of the term.
  it('limits the deadline of an order to the end of the term', async () => {
    const { dispatcher, term } = await createReadyDispatcher(1);
    await clock.advance(592_500);
    expect(term.remainingMilliseconds).toBe(1500);
    await dispatcher.issue(ENGINE, DRAIN);
    const deadline = side.taken[0]?.issued.deadlineMilliseconds ?? 0;
    expect(deadline - clock.wallMilliseconds()).toBe(1500);
  });

  // Guards against a delayed order of the previous term that arrives after one of the new term.
  it('issues no order while orders of the previous term may still arrive', async () => {
    const { dispatcher, recovery } = await createDispatcher(2);
    await clock.advance(5900);
    await expect(dispatcher.issue(ENGINE, DRAIN)).rejects.toThrow('previous term are not resolved');
    await clock.advance(200);
    await recovery;
    expect(await dispatcher.issue(ENGINE, DRAIN)).toBe('taken');
  });

  // Guards against a second order to an endpoint that has not completed the first one.
  it('sends no order to an endpoint that is carrying out an order of the previous term', async () => {
    const { dispatcher } = await createReadyDispatcher(1);
    side.orderDurationMilliseconds = 60_000;
    await dispatcher.issue(ENGINE, DRAIN);
    const successor = await createReadyDispatcher(2);
    expect(await successor.dispatcher.issue(ENGINE, DRAIN)).toBe('no-effect');
    expect(side.taken.length).toBe(1);
  });

  // Guards against a duplicate order after the response to the first one was lost.
  it('resolves a lost response by reading the state and does not resend the order', async () => {
    const { dispatcher } = await createReadyDispatcher(1);
    orders.faults.enqueue(Fault.LoseResponse);
    expect(await dispatcher.issue(ENGINE, DRAIN)).toBe('taken');
    expect(side.taken.length).toBe(1);
  });

  // Guards against an intent deleted too early, after which a second order could overtake the first
  // one.
  it('keeps the intent of a delayed order open until the order can no longer arrive', async () => {
    const { dispatcher } = await createReadyDispatcher(1);
    orders.setDelays(4500, 0);
    const issuing = dispatcher.issue(ENGINE, DRAIN);
    await clock.advance(2100);
    expect(await issuing).toBe('open');
    expect(await dispatcher.resolveOpenIntents()).toBe(1);
    await expect(dispatcher.issue(ENGINE, DRAIN)).rejects.toThrow('an order is open');
    expect(side.taken.length).toBe(0);
    await clock.advance(2500);
    expect(side.taken.length).toBe(1);
    await clock.advance(2500);
    expect(await dispatcher.resolveOpenIntents()).toBe(0);
    expect(storedIntent()).toBeUndefined();
  });
});
