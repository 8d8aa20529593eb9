import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { StageShare } from 'hickoryrelay-supply/StageShare';
import { enginesPerZone, SupplyPlan } from 'hickoryrelay-supply/SupplyPlan';

const LIMITS = { minimum: 1, maximum: 50 };

const arbitraryRequired = fastCheck.record({
  prefill: fastCheck.double({ min: 1, max: 100, noNaN: true }),
  decode: fastCheck.double({ min: 1, max: 100, noNaN: true }),
});

describe('enginesPerZone', () => {
  // Guards against a shortage when the reclaimable engines of a zone are taken away at once.
  it('leaves enough engines without any one zone, within the limits', () => {
    fastCheck.assert(
      fastCheck.property(
        arbitraryRequired,
        fastCheck.integer({ min: 2, max: 11 }),
        (required, zoneCount) => {
          const perZone = enginesPerZone(required, LIMITS, zoneCount);
          expect(perZone).toBeLessThanOrEqual(LIMITS.maximum);
          if (perZone < LIMITS.maximum) {
            const left = perZone * (zoneCount - 1);
            expect(left).toBeGreaterThanOrEqual(required.prefill + required.decode - 1e-9);
          }
        },
      ),
    );
  });

  it('keeps a reserve in a single zone', () => {
    expect(enginesPerZone({ prefill: 6, decode: 4 }, LIMITS, 1)).toBe(15);
  });
});

describe('SupplyPlan', () => {
  // Guards against engines that are ordered and handed back in turns.
  it('keeps the plan while the work changes little', () => {
    const plan = new SupplyPlan();
    const first = plan.update({ prefill: 30, decode: 10 }, LIMITS, 3);
    expect(first).toBe(20);
    expect(plan.update({ prefill: 31, decode: 10 }, LIMITS, 3)).toBe(first);
    expect(plan.update({ prefill: 26, decode: 10 }, LIMITS, 3)).toBe(first);
  });

  it('follows a larger change in both directions', () => {
    const plan = new SupplyPlan();
    plan.update({ prefill: 30, decode: 10 }, LIMITS, 3);
    expect(plan.update({ prefill: 60, decode: 20 }, LIMITS, 3)).toBe(40);
    expect(plan.update({ prefill: 10, decode: 4 }, LIMITS, 3)).toBe(7);
  });

  it('reaches the maximum although it is close to the previous plan', () => {
    const plan = new SupplyPlan();
    plan.update({ prefill: 70, decode: 25 }, LIMITS, 3);
    expect(plan.update({ prefill: 80, decode: 25 }, LIMITS, 3)).toBe(50);
  });
});

describe('StageShare', () => {
  it('keeps the default until the work is known', () => {
    expect(new StageShare().update(undefined)).toBe(0.45);
  });

  // Guards against stages that follow each fluctuation, which takes engines out of service.
  it('follows the mix within its bounds and ignores small changes', () => {
    const share = new StageShare();
    expect(share.update({ prefill: 10, decode: 10 })).toBe(0.45);
    expect(share.update({ prefill: 60, decode: 40 })).toBe(0.6);
    expect(share.update({ prefill: 63, decode: 37 })).toBe(0.6);
    expect(share.update({ prefill: 1, decode: 99 })).toBe(0.35);
    expect(share.update({ prefill: 99, decode: 1 })).toBe(0.65);
  });
});
