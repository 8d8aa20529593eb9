import { beforeEach, describe, expect, it, vi } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineOrderSide, InProcessOrderLink } from 'hickoryrelay-standin/EngineOrderSide';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { InProcessExchange } from 'hickoryrelay-standin/InProcessExchange';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import { OrderBook } from 'hickoryrelay-zone/OrderBook';
import { authorityKey, intentKey } from 'hickoryrelay-zone/ZoneKeyUtils';

const ZONE = 'zone-a';
const ENGINE = 'engine-1';
const DRAIN = { type: 'drain' as const };

describe('OrderBook', () => {
  let clock: ManualClock;
  let table: KeyValueTable;
  let store: InProcessKeyValueStore;
  let side: EngineOrderSide;
  let orders: InProcessExchange;
  let reads: InProcessExchange;

  beforeEach(() => {
    clock = new ManualClock();
    table = new KeyValueTable(clock);
    const process = new ProcessClock(clock);
    store = new InProcessKeyValueStore(table, clock, process);
    side = new EngineOrderSide(clock, { fencing: false, deadline: false });
    orders = new InProcessExchange(clock, process);
    reads = new InProcessExchange(clock, process);
  });

  function put(key: string, value: string): void {
    table.commit({ compare: [], success: [{ type: 'put', key, value }], failure: [] });
  }

  async function openBook(fencingNumber: number) {
    const term = new AuthorityTerm(
      { zone: ZONE, holder: 'first', fencingNumber, lease: '1' },
      clock,
      {
        askedMilliseconds: clock.monotonicMilliseconds(),
        timeToLiveSeconds: 600,
        marginMilliseconds: 0,
      },
    );
    put(authorityKey(ZONE), term.storedValue);
    const book = new OrderBook({
      term,
      store,
      clock,
      random: new SeededRandomSource(fencingNumber),
      openLink: (endpoint, check) =>
        new InProcessOrderLink(endpoint, side, { orders, reads }, check),
    });
    const beginning = book.begin(term.signal);
    return { book, term, beginning };
  }

  async function readyBook(fencingNumber: number) {
    const opened = await openBook(fencingNumber);
    await clock.advance(6000);
    await opened.beginning;
    return opened;
  }

  function openIntent(): string | undefined {
    return table.range(intentKey(ZONE, ENGINE)).values[0]?.value;
  }

  it('writes the intent before the order and deletes it after the answer', async () => {
    const { book } = await readyBook(1);
    orders.slow(100, 0);
    const issuing = book.issue(ENGINE, DRAIN);
    await clock.advance(50);
    expect([openIntent() === undefined, side.taken.length]).toEqual([false, 0]);
    await clock.advance(100);
    expect(await issuing).toBe('taken');
    expect([openIntent(), side.taken.length]).toEqual([undefined, 1]);
  });

  it('issues nothing when another holder has taken over, whatever its own clock says', async () => {
    const { book } = await readyBook(1);
    put(authorityKey(ZONE), 'another holder');
    await expect(book.issue(ENGINE, DRAIN)).rejects.toThrow('taken over');
    expect([openIntent(), side.taken.length]).toEqual([undefined, 0]);
  });

  it('closes its ordering connections when the term ends', async () => {
    const { book, term } = await readyBook(1);
    await book.issue(ENGINE, DRAIN);
    const close = vi.spyOn(InProcessOrderLink.prototype, 'close');
    term.end();
    expect(close).toHaveBeenCalledTimes(1);
    close.mockRestore();
  });

  it('gives no order a deadline after the end of its term', async () => {
    const { book, term } = await readyBook(1);
    await clock.advance(592_500);
    expect(term.remainingMilliseconds).toBe(1500);
    await book.issue(ENGINE, DRAIN);
    const deadline = side.taken[0]?.issued.deadlineMilliseconds ?? 0;
    expect(deadline - clock.wallMilliseconds()).toBe(1500);
  });

  it('issues nothing before the orders of the predecessor can no longer arrive', async () => {
    const { book, beginning } = await openBook(2);
    await clock.advance(5900);
    await expect(book.issue(ENGINE, DRAIN)).rejects.toThrow('not settled');
    await clock.advance(200);
    await beginning;
    expect(await book.issue(ENGINE, DRAIN)).toBe('taken');
  });

  it('does not order an endpoint that still carries out the order of a predecessor', async () => {
    const { book } = await readyBook(1);
    side.orderMilliseconds = 60_000;
    await book.issue(ENGINE, DRAIN);
    const successor = await readyBook(2);
    expect(await successor.book.issue(ENGINE, DRAIN)).toBe('no-effect');
    expect(side.taken.length).toBe(1);
  });

  it('resolves a lost answer by reading the state and does not send the order again', async () => {
    const { book } = await readyBook(1);
    orders.faults.next(Fault.LoseAnswer);
    expect(await book.issue(ENGINE, DRAIN)).toBe('taken');
    expect(side.taken.length).toBe(1);
  });

  it('keeps an order open while it may still arrive, and settles it after', async () => {
    const { book } = await readyBook(1);
    orders.slow(4500, 0);
    const issuing = book.issue(ENGINE, DRAIN);
    await clock.advance(2100);
    expect(await issuing).toBe('open');
    expect(await book.settleOpen()).toBe(1);
    await expect(book.issue(ENGINE, DRAIN)).rejects.toThrow('an order is open');
    expect(side.taken.length).toBe(0);
    await clock.advance(2500);
    expect(side.taken.length).toBe(1);
    await clock.advance(2500);
    expect(await book.settleOpen()).toBe(0);
    expect(openIntent()).toBeUndefined();
  });
});
