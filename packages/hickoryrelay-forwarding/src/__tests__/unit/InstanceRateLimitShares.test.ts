import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { InstanceRateLimitShares } from 'hickoryrelay-forwarding/InstanceRateLimitShares';

const SETTLED_MILLISECONDS = 3000;
const WINDOW_SECONDS = 4;

/** Requests of the window that the rule allows beyond the limit. */
const allowedIn = (limit: number) => 1.5 * limit * WINDOW_SECONDS + 5;

const namesOf = (count: number) =>
  Array.from({ length: count }, (_unused, index) => `instance-${index}`);

function makeShares(instance: string, clock: ManualClock, names: readonly string[]) {
  const shares = new InstanceRateLimitShares(instance, clock);
  shares.setInstances(names, 0);
  return shares;
}

/** Most requests in a window: a token in hand and the rate, for each instance that has a share. */
function burstOf(rates: readonly number[]): number {
  return rates
    .filter((rate) => rate > 0)
    .reduce((sum, rate) => sum + Math.max(1, rate / 4) + rate * WINDOW_SECONDS, 0);
}

async function setUp(count: number) {
  const clock = new ManualClock();
  const names = namesOf(count);
  const all = names.map((instance) => makeShares(instance, clock, names));
  await clock.advance(SETTLED_MILLISECONDS);
  const ratesOf = (endpoint: number, limit: number) =>
    all.map((each) => each.rateOf(endpoint, limit, clock.monotonicMilliseconds()));
  return { clock, names, all, ratesOf };
}

const LIMITS = [0.1, 0.5, 1, 2.5, 5.7, 9, 40, 300];

describe('InstanceRateLimitShares', () => {
  // Guards against a limit that every instance applies for itself alone.
  it.each([1, 8, 66, 640])('adds up to the limit over %i instances', async (count) => {
    const { ratesOf } = await setUp(count);
    for (const limit of LIMITS) {
      for (const endpoint of [1, 77, 4_000_000_000]) {
        const rates = ratesOf(endpoint, limit);
        expect(rates.reduce((sum, rate) => sum + rate, 0)).toBeCloseTo(limit);
        expect(burstOf(rates)).toBeLessThan(allowedIn(limit));
      }
    }
  });

  it('selects other instances for other endpoints', async () => {
    const { ratesOf } = await setUp(66);
    const users = Array.from({ length: 100 }, (_unused, endpoint) =>
      ratesOf(endpoint, 5).findIndex((rate) => rate > 0),
    );
    expect(new Set(users).size).toBeGreaterThan(10);
  });

  // Guards against a sum above the rule while the others do not know a new instance yet.
  it.each([
    [8, 1],
    [66, 1],
    [640, 1],
    [8, 2],
    [66, 2],
  ])('keeps to the rule if the lists of %i lack %i', async (count, missing) => {
    const { clock, names, all } = await setUp(count);
    const known = all.slice(0, missing);
    const others = names
      .slice(missing)
      .map((each) => makeShares(each, clock, names.slice(missing)));
    await clock.advance(SETTLED_MILLISECONDS);
    const now = clock.monotonicMilliseconds();
    known.forEach((each) => each.setInstances(names, 0));
    // Two more users exceed the rule for a limit of a few requests, if all send in the same moment.
    for (const limit of LIMITS.filter((each) => missing === 1 || each > 3)) {
      const endpoints = Array.from({ length: 5000 }, (_unused, endpoint) => endpoint)
        .filter((endpoint) => known.every((each) => each.rateOf(endpoint, limit, now) > 0))
        .slice(0, 10);
      for (const endpoint of endpoints) {
        const rates = [...known, ...others].map((each) => each.rateOf(endpoint, limit, now));
        expect(burstOf(rates)).toBeLessThanOrEqual(allowedIn(limit));
      }
      expect(endpoints.length + Number(limit < 1)).toBeGreaterThan(0);
    }
  });

  // Guards against an instance that is cut off from the store and still runs.
  it('counts an instance that has gone from the list for three leases', async () => {
    const { clock, names, all } = await setUp(8);
    const [first] = all as [InstanceRateLimitShares];
    const remaining = names.slice(0, 3);
    const rates = () => first.rateOf(1, 300, clock.monotonicMilliseconds());
    first.setInstances(remaining, 0);
    expect(rates()).toBeCloseTo(300 / 8);
    await clock.advance(15_000);
    first.setInstances(remaining, 0);
    expect(rates()).toBeCloseTo(300 / 8);
    await clock.advance(1);
    first.setInstances(remaining, 0);
    expect(rates()).toBeCloseTo(100);
  });

  // Guards against a share that counts too few instances after an outage in which registrations expired.
  it('counts instances that are missing after an outage from its end', async () => {
    const { clock, names, all } = await setUp(8);
    const [first] = all as [InstanceRateLimitShares];
    await clock.advance(60_000);
    first.setInstances(names.slice(0, 3), 0);
    expect(first.rateOf(1, 300, clock.monotonicMilliseconds())).toBeCloseTo(300 / 8);
  });

  it('counts an instance that sends messages although it is not listed', async () => {
    const { clock, names, all } = await setUp(3);
    const [first] = all as [InstanceRateLimitShares];
    first.recordMessage('unlisted');
    first.setInstances(names, 0);
    expect(first.rateOf(1, 300, clock.monotonicMilliseconds())).toBeCloseTo(75);
  });

  it('takes half its share while the list is old', async () => {
    const { clock, all } = await setUp(2);
    const [first] = all as [InstanceRateLimitShares];
    await clock.advance(2001);
    expect(first.rateOf(1, 300, clock.monotonicMilliseconds())).toBeCloseTo(75);
  });

  // Guards against a share that others take as well, as they do not know the new instance yet.
  it('has no share right after its start, unless it is alone', async () => {
    const clock = new ManualClock();
    const shares = makeShares('a', clock, ['a', 'b']);
    const alone = makeShares('a', clock, ['a']);
    await clock.advance(SETTLED_MILLISECONDS - 1);
    const rates = () =>
      [shares, alone].map((each) => each.rateOf(1, 300, clock.monotonicMilliseconds()));
    expect(rates()).toEqual([0, 300]);
    await clock.advance(1);
    expect(rates()).toEqual([150, 300]);
  });
});
