import { describe, expect, it } from 'vitest';

import { countedKey, reportedKey } from '../../UsageSeal.js';
import { callOf, FIGURES, HeldCall, holdCommit, smallWorld, WINDOW, writes } from './SmallWorld.js';

const ZONE = 'zone-a';
const SEAL = /usage\/zone-a\/\d+$/u;
const REPORTED = /usage\/zone-a\/reported$/u;

/** Advances until the condition holds, in steps finer than the intervals of the tasks. */
async function until({ world }: ReturnType<typeof smallWorld>, isReached: () => boolean) {
  const end = world.now() + 3 * WINDOW;
  while (!isReached()) {
    expect(world.now(), 'never reached').toBeLessThan(end);
    await world.clock.advance(10);
  }
}

describe('seals', () => {
  // Guards against a write of a lost holder that its successor's reporter does not expect.
  it('refuses a seal of an earlier holder before its successor has sealed', async () => {
    const small = smallWorld();
    const { world, first, second, seals } = small;
    const held = holdCommit(first, (transaction) => writes(transaction, 'put', SEAL));
    await until(small, () => held.isHeld);
    world.grantAuthority(ZONE, second);
    held.release();
    await world.clock.advance(2 * WINDOW);
    expect(new Set(seals.map((seal) => seal.fencingNumber))).toEqual(
      new Set([second.authority.fencingNumber]),
    );
  });

  // Guards against other figures for a window that may be reported, should `counted` be deleted.
  it('does not replace a seal when what is counted was deleted', async () => {
    const small = smallWorld();
    const { world, second, seals } = small;
    world.faults.sinkOut = true;
    await until(small, () => seals.length === 1);
    const success = [{ type: 'delete' as const, key: countedKey(ZONE) }];
    world.table.commit({ compare: [], success, failure: [] });
    world.grantAuthority(ZONE, second);
    await world.clock.advance(2 * WINDOW);
    expect(seals.length).toBeGreaterThan(1);
    expect(new Set(seals.map((seal) => seal.window)).size).toBe(seals.length);
  });

  // Guards against records that count twice because the marks go back to an earlier seal.
  it('refuses its own earlier seal after a later one', async () => {
    const small = smallWorld();
    const { world, first, second, seals, lines } = small;
    await until(small, () => seals.length === 1);
    void second.usage.meter.open(callOf('once'), 'engine-1').close(FIGURES);
    const held = holdCommit(first, (transaction) => writes(transaction, 'put', SEAL));
    await until(small, () => held.isHeld);
    world.faults.storeOut = true;
    await world.clock.advance(WINDOW);
    world.faults.storeOut = false;
    await until(small, () => seals.length === 2);
    held.release();
    await world.clock.advance(2 * WINDOW);
    expect(lines().map(([account]) => account)).toEqual(['once']);
  });

  // Guards against statements that are refused for ever because they hold counted records.
  it('counts records that close after others were counted', async () => {
    const small = smallWorld();
    const { second, seals, lines } = small;
    for (const account of ['earlier', 'later']) {
      void second.usage.meter.open(callOf(account), 'engine-1').close(FIGURES);
      const count = seals.length;
      await until(small, () => seals.length === count + 2);
    }
    expect(lines().map(([account]) => account)).toEqual(['earlier', 'later']);
  });

  // Guards against a late statement that ends a collection before its instance has answered.
  it('does not take the statement of an earlier collection for that of a later one', async () => {
    const small = smallWorld();
    const { world, first, second, seals } = small;
    const repeats = new Map<string, () => void>();
    world.observers.push((from, to, message) => {
      const sender = world.live.find(({ identity }) => identity.name === from);
      if (sender !== undefined && message.type === 'usage-statement') {
        const received = structuredClone({ from: sender.identity, message });
        repeats.set(from, () => first.network.push(received));
      }
    });
    await until(small, () => seals.length === 1);
    void second.usage.meter.open(callOf('in time'), 'engine-1').close(FIGURES);
    await world.clock.advance(2000);
    // The statements take longer than the interval at which the collection is checked.
    world.faults.messageDelay = 1400;
    world.observers.push((from, to, message) => {
      if (message.type === 'usage-collect') {
        repeats.get(to)?.();
      }
    });
    await until(small, () => seals.length === 2);
    expect(seals[1]?.lines.map(([account]) => account)).toEqual(['in time']);
  });
});

describe('reports', () => {
  // Guards against a report of a predecessor that arrives after its successor asked for it.
  it('waits for a report that its predecessor has under way', async () => {
    const small = smallWorld();
    const { world, first, second } = small;
    const held = new HeldCall(first.sink.submit.bind(first.sink));
    first.sink.submit = held.pass;
    await until(small, () => held.isHeld);
    world.grantAuthority(ZONE, second);
    await world.clock.advance(8000);
    held.release();
    await world.clock.advance(20_000);
    expect(world.submitted.length).toBe(1);
  });

  // Guards against a report of a process that was paused while it asked whether one exists.
  it('does not report when the authority ended while the platform was asked', async () => {
    const small = smallWorld();
    const { world, first, second } = small;
    world.faults.sinkOut = true;
    const find = first.sink.find.bind(first.sink);
    let isPaused = false;
    first.sink.find = (zone, start) => {
      isPaused = true;
      first.pause();
      return find(zone, start);
    };
    // The first submission fails, so that the platform is asked before the second.
    await world.clock.advance(14_000);
    world.faults.sinkOut = false;
    await until(small, () => isPaused);
    await world.clock.advance(1000);
    world.grantAuthority(ZONE, second);
    await world.clock.advance(20_000);
    expect(world.submitted.length).toBe(1);
    first.resume();
    await world.clock.advance(1000);
    expect(world.submitted.map((report) => report.fencingNumber)).toEqual([
      second.authority.fencingNumber,
    ]);
  });

  // Guards against a mark that goes back, after which windows whose seals are pruned seem unreported.
  it('does not take the reported mark back when an earlier write arrives late', async () => {
    const small = smallWorld();
    const { world, first } = small;
    const marked = () => Number(world.table.range(reportedKey(ZONE)).values[0]?.value ?? 0);
    const held = holdCommit(first, (transaction) => writes(transaction, 'put', REPORTED));
    await until(small, () => held.isHeld);
    await until(small, () => marked() > 0);
    const earlier = marked();
    await until(small, () => marked() > earlier);
    const later = marked();
    held.release();
    await world.clock.advance(1000);
    expect(marked()).toBe(later);
  });
});
