import { describe, expect, it } from 'vitest';
import { DEFAULT_QUOTA_BOUNDS, toleranceOf, windowQuantityOf } from 'hickoryrelay-quota/QuotaLimit';

import {
  SEEDS,
  SPREADS,
  cutZone,
  fullestOf,
  leastUsedOf,
  mostUsedOf,
  runAll,
} from './QuotaFaultFixture.js';
import { fullestWindowOf } from './QuotaSimulation.js';

describe('AccountQuotas with partitions, restarts and lower limits', () => {
  // Guards against the quota being used once by each part of a partition.
  it.each(
    SPREADS.flatMap((size) => [
      { ...size, name: 'overloaded', multipleAt: () => 3 },
      { ...size, name: 'light', multipleAt: (now: number) => (now < 12_000 ? 0.1 : 5) },
      { ...size, name: 'idle', multipleAt: (now: number) => (now < 12_000 ? 0 : 5) },
      { ...size, name: 'rising at once', multipleAt: (now: number) => (now < 10_000 ? 0.3 : 5) },
    ]),
  )('keeps to the bound while a zone is cut off, $name, $instances', (scenario) => {
    const runs = runAll({ ...scenario, onStep: cutZone(10_000, 30_000) });
    expect(fullestOf(runs)).toBeLessThan(1);
    // Without the first 12 s, in which the account may have asked for nothing.
    expect(leastUsedOf(runs)).toBeGreaterThan(0.6);
  });

  // Guards against a share that grows while the others are silent, and a sum over 1.
  it('divides the quota between the parts of a partition, and never increases a share', () => {
    const shares: number[][] = [[], []];
    runAll({
      multipleAt: () => 3,
      onStep: (scheme, now) => {
        cutZone(10_000, 30_000)(scheme, now);
        if (now >= 15_000 && now < 30_000) {
          shares[0]?.push(scheme.shareAt(3));
          shares[1]?.push(scheme.shareAt(4));
        }
        if (now === 29_980) {
          expect(scheme.shareAt(3) + scheme.shareAt(4)).toBeLessThan(1.2);
          expect(scheme.shareAt(3)).toBeGreaterThan(0.15);
        }
        if (now === 39_980) {
          expect([scheme.shareAt(3), scheme.shareAt(4)]).toEqual([1, 1]);
        }
      },
    });
    const perRun = (shares[0]?.length ?? 0) / SEEDS.length;
    for (const side of shares) {
      for (let run = 0; run < SEEDS.length; run += 1) {
        const ofRun = side.slice(run * perRun, (run + 1) * perRun);
        ofRun.slice(1).forEach((share, index) => {
          expect(share).toBeLessThanOrEqual((ofRun[index] as number) * 1.01);
        });
      }
    }
  });

  it.each(SPREADS)('keeps to the bound when no instance hears another (%o)', (size) => {
    const runs = runAll({
      ...size,
      multipleAt: () => 3,
      onStep: (scheme, now) => {
        scheme.setReach(() => now < 10_000 || now >= 30_000);
      },
    });
    expect(fullestOf(runs)).toBeLessThan(0.9);
  });

  // Guards against a burst for each instance that forgets what it has admitted.
  it.each(SPREADS)('keeps to the bound when instances restart (%o)', (size) => {
    const { instances } = size;
    const all = runAll({
      ...size,
      multipleAt: () => 3,
      onStep: (scheme, now) => {
        for (let index = 0; now === 20_000 && index < instances; index += 1) {
          scheme.restart(index);
        }
      },
    });
    expect(fullestOf(all)).toBeLessThan(0.9);
    const inTurn = runAll({
      ...size,
      multipleAt: () => 3,
      onStep: (scheme, now) => {
        if (now > 10_000 && now % 1000 === 0) {
          scheme.restart((now / 1000) % instances);
        }
      },
    });
    expect(fullestOf(inTurn)).toBeLessThan(0.9);
    expect(mostUsedOf(inTurn)).toBeLessThan(1.25);
  });

  // Guards against use before a reduction that no longer counts after it.
  it('admits nothing after a reduction until the window has room', () => {
    const lowered = { ratePerSecond: 2900, burst: 2960 };
    const bounds = DEFAULT_QUOTA_BOUNDS;
    const runs = runAll({
      multipleAt: () => 3,
      bounds,
      onStep: (scheme, now) => {
        if (now === 15_000) {
          scheme.setLimit(lowered);
        }
      },
    });
    const bound = windowQuantityOf(lowered, bounds) + toleranceOf(lowered, bounds);
    for (const { outcome } of runs) {
      const after = outcome.admitted.filter(({ atMilliseconds }) => atMilliseconds > 15_000);
      const soon = after.filter(({ atMilliseconds }) => atMilliseconds < 20_000);
      expect(soon.reduce((sum, { cost }) => sum + cost, 0)).toBe(0);
      expect(after.length).toBeGreaterThan(0);
      // A request of 17,000 is larger than the tolerance of this limit, so only small ones run.
      expect(fullestWindowOf(after, bounds.windowMilliseconds)).toBeLessThan(bound);
    }
  });

  // Without slack, the tolerance is little more than one large request; see account-quotas.md.
  it('keeps the bound without slack', () => {
    const runs = runAll({ multipleAt: () => 3, bounds: DEFAULT_QUOTA_BOUNDS });
    expect(fullestOf(runs)).toBeLessThanOrEqual(1);
    expect(leastUsedOf(runs)).toBeGreaterThan(0.8);
  });
});
