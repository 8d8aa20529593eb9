import { describe, expect, it } from 'vitest';

import { countedKey, reportedKey } from '../../UsageSeal.js';
import {
  callOf,
  TOKEN_COUNTS,
  DelayedCall,
  delayCommit,
  createUsageFixture,
  WINDOW_MILLISECONDS,
  writes,
} from './UsageFixture.js';

const ZONE = 'zone-a';
const SEAL_KEY = /usage\/zone-a\/\d+$/u;
const REPORTED_KEY = /usage\/zone-a\/reported$/u;

/** Advances until the condition is met, in steps shorter than the intervals of the tasks. */
async function advanceUntil(
  { simulation }: ReturnType<typeof createUsageFixture>,
  isMet: () => boolean,
) {
  const end = simulation.now() + 3 * WINDOW_MILLISECONDS;
  while (!isMet()) {
    expect(simulation.now(), 'condition not met in time').toBeLessThan(end);
    await simulation.clock.advance(10);
  }
}

describe('seals', () => {
  // Guards against a late write by an earlier authority holder, which the reporter does not expect.
  it('rejects a seal of an earlier authority holder before its successor has sealed', async () => {
    const fixture = createUsageFixture();
    const { simulation, first, second, seals } = fixture;
    const delayed = delayCommit(first, (transaction) => writes(transaction, 'put', SEAL_KEY));
    await advanceUntil(fixture, () => delayed.isDelayed);
    simulation.grantAuthority(ZONE, second);
    delayed.release();
    await simulation.clock.advance(2 * WINDOW_MILLISECONDS);
    expect(new Set(seals.map((seal) => seal.fencingNumber))).toEqual(
      new Set([second.authority.fencingNumber]),
    );
  });

  // Guards against a second, different seal for a reported window after `counted` was deleted.
  it('does not replace a seal after the counted state was deleted', async () => {
    const fixture = createUsageFixture();
    const { simulation, second, seals } = fixture;
    simulation.faults.isSinkUnavailable = true;
    await advanceUntil(fixture, () => seals.length === 1);
    const success = [{ type: 'delete' as const, key: countedKey(ZONE) }];
    simulation.table.commit({ compare: [], success, failure: [] });
    simulation.grantAuthority(ZONE, second);
    await simulation.clock.advance(2 * WINDOW_MILLISECONDS);
    expect(seals.length).toBeGreaterThan(1);
    expect(new Set(seals.map((seal) => seal.window)).size).toBe(seals.length);
  });

  // Guards against counting records twice because the marks revert to those of an earlier seal.
  it('rejects its own earlier seal after a later one', async () => {
    const fixture = createUsageFixture();
    const { simulation, first, second, seals, lines } = fixture;
    await advanceUntil(fixture, () => seals.length === 1);
    void second.usage.meter.open(callOf('once'), 'engine-1').close(TOKEN_COUNTS);
    const delayed = delayCommit(first, (transaction) => writes(transaction, 'put', SEAL_KEY));
    await advanceUntil(fixture, () => delayed.isDelayed);
    simulation.faults.isStoreUnavailable = true;
    await simulation.clock.advance(WINDOW_MILLISECONDS);
    simulation.faults.isStoreUnavailable = false;
    await advanceUntil(fixture, () => seals.length === 2);
    delayed.release();
    await simulation.clock.advance(2 * WINDOW_MILLISECONDS);
    expect(lines().map(([account]) => account)).toEqual(['once']);
  });

  // Guards against statements that are always rejected because they include counted records.
  it('counts records that close after others were counted', async () => {
    const fixture = createUsageFixture();
    const { second, seals, lines } = fixture;
    for (const account of ['earlier', 'later']) {
      void second.usage.meter.open(callOf(account), 'engine-1').close(TOKEN_COUNTS);
      const count = seals.length;
      await advanceUntil(fixture, () => seals.length === count + 2);
    }
    expect(lines().map(([account]) => account)).toEqual(['earlier', 'later']);
  });

  // Guards against a late statement that ends the next collection before its instance responds.
  it('ignores the statement of an earlier collection', async () => {
    const fixture = createUsageFixture();
    const { simulation, first, second, seals } = fixture;
    const repeats = new Map<string, () => void>();
    simulation.observers.push((from, to, message) => {
      const sender = simulation.live.find(({ identity }) => identity.name === from);
      if (sender !== undefined && message.type === 'usage-statement') {
        const received = structuredClone({ from: sender.identity, message });
        repeats.set(from, () => first.network.push(received));
      }
    });
    await advanceUntil(fixture, () => seals.length === 1);
    void second.usage.meter.open(callOf('in time'), 'engine-1').close(TOKEN_COUNTS);
    await simulation.clock.advance(2000);
    // The statements take longer than the poll interval of the collection.
    simulation.faults.messageDelayMilliseconds = 1400;
    simulation.observers.push((from, to, message) => {
      if (message.type === 'usage-collect') {
        repeats.get(to)?.();
      }
    });
    await advanceUntil(fixture, () => seals.length === 2);
    expect(seals[1]?.lines.map(([account]) => account)).toEqual(['in time']);
  });
});

describe('reports', () => {
  // Guards against a duplicate report because that of a predecessor arrives after the query for it.
  it('waits for a report of its predecessor that is in flight', async () => {
    const fixture = createUsageFixture();
    const { simulation, first, second } = fixture;
    const delayed = new DelayedCall(first.sink.submit.bind(first.sink));
    first.sink.submit = delayed.invoke;
    await advanceUntil(fixture, () => delayed.isDelayed);
    simulation.grantAuthority(ZONE, second);
    await simulation.clock.advance(8000);
    delayed.release();
    await simulation.clock.advance(20_000);
    expect(simulation.submittedReports.length).toBe(1);
  });

  // Guards against a report by a process that was paused while it queried for an existing report.
  it('does not report if it loses the authority while it queries for a report', async () => {
    const fixture = createUsageFixture();
    const { simulation, first, second } = fixture;
    simulation.faults.isSinkUnavailable = true;
    const find = first.sink.find.bind(first.sink);
    let isPaused = false;
    first.sink.find = (zone, start) => {
      isPaused = true;
      first.pause();
      return find(zone, start);
    };
    // The first submission fails, so the sink is queried before the second.
    await simulation.clock.advance(14_000);
    simulation.faults.isSinkUnavailable = false;
    await advanceUntil(fixture, () => isPaused);
    await simulation.clock.advance(1000);
    simulation.grantAuthority(ZONE, second);
    await simulation.clock.advance(20_000);
    expect(simulation.submittedReports.length).toBe(1);
    first.resume();
    await simulation.clock.advance(1000);
    expect(simulation.submittedReports.map((report) => report.fencingNumber)).toEqual([
      second.authority.fencingNumber,
    ]);
  });

  // Guards against a mark that reverts, so that windows with deleted seals seem unreported.
  it('does not revert the reported mark when an earlier write arrives late', async () => {
    const fixture = createUsageFixture();
    const { simulation, first } = fixture;
    const reportedMark = () =>
      Number(simulation.table.range(reportedKey(ZONE)).values[0]?.value ?? 0);
    const delayed = delayCommit(first, (transaction) => writes(transaction, 'put', REPORTED_KEY));
    await advanceUntil(fixture, () => delayed.isDelayed);
    await advanceUntil(fixture, () => reportedMark() > 0);
    const earlier = reportedMark();
    await advanceUntil(fixture, () => reportedMark() > earlier);
    const later = reportedMark();
    delayed.release();
    await simulation.clock.advance(1000);
    expect(reportedMark()).toBe(later);
  });
});
