import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { hashString } from 'hickoryrelay/RendezvousUtils';
import { AccountQuota } from 'hickoryrelay-quota/AccountQuota';
import { AccountQuotas } from 'hickoryrelay-quota/AccountQuotas';
import { noUseOf } from 'hickoryrelay-quota/AccountUse';
import { UseWindow } from 'hickoryrelay-quota/UseWindow';

import { SimulationClock } from './QuotaSimulation.js';

import type { QuotaTake } from 'hickoryrelay-quota/QuotaTake';

const ACCOUNT = 'account-1';
const HASH = hashString(ACCOUNT);
const LIMIT = { ratePerSecond: 1000, burst: 2000 };
const BOUNDS = { windowMilliseconds: 8000, overshoot: 0.1, slack: 0 };

/** Later than a window after the start, so that nothing is assumed of an earlier process. */
const START = 20_000;

function makeQuotas(limits = new Map([[ACCOUNT, LIMIT]]), instances = 1) {
  const clock = new SimulationClock();
  const state = { limits, instances };
  const quotas = new AccountQuotas({
    limits: () => state.limits,
    bounds: BOUNDS,
    listedInstances: () => state.instances,
    clock,
    random: new SeededRandomSource(1),
  });
  clock.now = START;
  return { quotas, clock, state };
}

function ownUse(quotas: AccountQuotas, now: number) {
  return quotas.report(now).find(({ account }) => account === HASH) ?? noUseOf(HASH);
}

describe('AccountQuotas', () => {
  it('admits a burst, refuses what exceeds it, and names a time to return', () => {
    const { quotas } = makeQuotas();
    const kinds = Array.from({ length: 100 }, () => quotas.tryTake(ACCOUNT, 100, START));
    const taken = kinds.filter(({ kind }) => kind === 'taken').length;
    expect(taken).toBeGreaterThanOrEqual(20);
    expect(taken * 100).toBeLessThanOrEqual(2000 + 1000);
    for (const decision of kinds) {
      if (decision.kind === 'refused') {
        expect(decision.retryAfterMilliseconds).toBeGreaterThanOrEqual(100);
        expect(decision.retryAfterMilliseconds).toBeLessThanOrEqual(BOUNDS.windowMilliseconds);
      }
    }
  });

  it('limits no account without a quota and reports nothing of it', () => {
    const { quotas } = makeQuotas(new Map());
    expect(quotas.isActive).toBe(false);
    for (let count = 0; count < 100; count += 1) {
      expect(quotas.tryTake(ACCOUNT, 1e9, START).kind).toBe('taken');
    }
    expect(quotas.report(START)).toEqual([]);
  });

  // Guards against reports that go on for accounts without recent use.
  it('reports an account only while its use counts', () => {
    const { quotas } = makeQuotas();
    quotas.tryTake(ACCOUNT, 100, START);
    expect(quotas.report(START)).toHaveLength(1);
    expect(quotas.report(START + 30_000)).toEqual([]);
  });

  // Guards against a quota of the earlier configuration that stays in force.
  it('adopts changed limits and forgets removed ones', () => {
    const { quotas, state } = makeQuotas();
    quotas.tryTake(ACCOUNT, 1500, START);
    state.limits = new Map([[ACCOUNT, { ratePerSecond: 10, burst: 10 }]]);
    expect(quotas.tryTake(ACCOUNT, 1, START).kind).toBe('refused');
    state.limits = new Map();
    expect(quotas.tryTake(ACCOUNT, 1e6, START).kind).toBe('taken');
  });

  // Guards against a share that a lone instance takes of all others because it hears none of them.
  it('uses the share of one of the listed instances until it has heard others', () => {
    const { quotas, clock } = makeQuotas(undefined, 50);
    let taken = 0;
    for (let now = START; now < START + 60_000; now += 20) {
      clock.now = now;
      taken += quotas.tryTake(ACCOUNT, 50, now).kind === 'taken' ? 50 : 0;
    }
    expect(taken).toBeLessThan((60 * LIMIT.ratePerSecond + LIMIT.burst) / 50 + 200);
    expect(taken).toBeGreaterThan((60 * LIMIT.ratePerSecond) / 50 / 2);
  });

  // Guards against what is given back twice, or below zero.
  it('gives back each cost once and counts nothing below zero, in any order', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(
          fastCheck.record({
            elapsed: fastCheck.integer({ min: 0, max: 3000 }),
            cost: fastCheck.integer({ min: 0, max: 3000 }),
            returned: fastCheck.array(fastCheck.nat(30), { maxLength: 4 }),
            runsAgain: fastCheck.boolean(),
            othersLevel: fastCheck.integer({ min: 0, max: 2000 }),
          }),
          { maxLength: 60 },
        ),
        (steps) => {
          const { quotas, clock } = makeQuotas(undefined, 2);
          const takes: QuotaTake[] = [];
          let now = START;
          for (const { elapsed, cost, returned, runsAgain, othersLevel } of steps) {
            now += elapsed;
            clock.now = now;
            const use = { ...noUseOf(HASH), level: othersLevel, windowUse: othersLevel };
            quotas.receive({ instances: 1, accounts: new Map([[HASH, use]]) }, now);
            const decision = quotas.tryTake(ACCOUNT, cost, now);
            if (decision.kind === 'taken') {
              takes.push(decision.take);
              if (runsAgain) {
                decision.take.addRun();
              }
            }
            returned.forEach((index) => takes[index]?.giveBack());
            const own = ownUse(quotas, now);
            expect(own.level).toBeGreaterThanOrEqual(0);
            expect(own.windowUse).toBeGreaterThanOrEqual(0);
            const [counts] = [...quotas.counts()];
            expect(counts?.returnedUnits ?? 0).toBeLessThanOrEqual(counts?.takenUnits ?? 0);
            expect(own.windowUse).toBeLessThanOrEqual(
              (counts?.takenUnits ?? 0) - (counts?.returnedUnits ?? 0) + 1e-6,
            );
          }
        },
      ),
      { numRuns: 300 },
    );
  });

  it('gives back the whole cost if nothing has leaked since', () => {
    const { quotas } = makeQuotas();
    const decision = quotas.tryTake(ACCOUNT, 700, START);
    expect(ownUse(quotas, START)).toMatchObject({ level: 700, windowUse: 700 });
    if (decision.kind === 'taken') {
      decision.take.giveBack();
      decision.take.giveBack();
    }
    expect(ownUse(quotas, START)).toMatchObject({ level: 0, windowUse: 0 });
  });

  // Guards against a retry that runs twice and is counted once.
  it('counts a further run, after which nothing is given back', () => {
    const { quotas } = makeQuotas();
    const decision = quotas.tryTake(ACCOUNT, 300, START);
    if (decision.kind === 'taken') {
      decision.take.addRun();
      decision.take.giveBack();
    }
    expect(ownUse(quotas, START)).toMatchObject({ level: 600, windowUse: 600 });
  });
});

describe('AccountQuota', () => {
  // Guards against parts of the level that leak faster than the rate together.
  it('leaks its part of the level at its part of the rate', () => {
    const coverage = { heardInstances: 4, listedInstances: 4 };
    const quota = new AccountQuota(HASH, LIMIT, BOUNDS, 0);
    quota.take(1000, 0);
    quota.setOthers({ ...noUseOf(HASH), level: 3000 }, coverage, 0);
    expect(quota.ownUse(500).level).toBeCloseTo(875, 0);
    expect(quota.ownUse(900).level).toBeCloseTo(775, 0);
  });

  // Guards against a surge that each instance leaks at the whole rate, since it knows only its part.
  it('leaks nothing before the others can have reported', () => {
    const quota = new AccountQuota(HASH, LIMIT, BOUNDS, 0);
    quota.ownUse(0);
    quota.take(1000, 100);
    expect(quota.ownUse(400).level).toBe(1000);
    expect(quota.ownUse(1100).level).toBeLessThan(1000);
  });

  it('admits no request above the rest of the tolerance, even with an empty bucket', () => {
    const quota = new AccountQuota(HASH, LIMIT, BOUNDS, 0);
    expect(quota.decide(3100, 0, 0).isAdmitted).toBe(false);
    expect(quota.decide(2900, 0, 0).isAdmitted).toBe(true);
  });
});

describe('requests that can never be admitted', () => {
  // Guards against an account whose requests are refused because one caller repeats a too large one.
  it('do not count as demand', () => {
    const { quotas } = makeQuotas();
    for (let count = 0; count < 50; count += 1) {
      expect(quotas.tryTake(ACCOUNT, 20_000, START).kind).toBe('refused');
    }
    expect(quotas.tryTake(ACCOUNT, 500, START).kind).toBe('taken');
  });
});

describe('UseWindow', () => {
  // Guards against a sum below what a sliding window includes.
  it('sums at least the window and at most one slot more', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(
          fastCheck.tuple(fastCheck.nat(5000), fastCheck.integer({ min: 1, max: 100 })),
          { maxLength: 50 },
        ),
        (steps) => {
          const window = new UseWindow(8000);
          const added: { at: number; units: number }[] = [];
          let now = 0;
          for (const [elapsed, units] of steps) {
            now += elapsed;
            window.add(units, now);
            added.push({ at: now, units });
            const sumSince = (start: number) =>
              added.filter(({ at }) => at > start).reduce((sum, each) => sum + each.units, 0);
            const at = now;
            expect(window.sumAt(at)).toBeGreaterThanOrEqual(sumSince(at - 8000));
            expect(window.sumAt(at)).toBeLessThanOrEqual(sumSince(at - 8501));
          }
        },
      ),
    );
  });
});
