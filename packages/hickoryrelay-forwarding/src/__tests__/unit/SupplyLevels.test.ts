import { describe, expect, it } from 'vitest';
import { supplyLevels } from 'hickoryrelay-forwarding/SupplyLevels';

import type {
  ForwardingService,
  SupplyBounds,
} from 'hickoryrelay-forwarding/ForwardingConfiguration';

const serviceOf = (supply: Partial<SupplyBounds> = {}): ForwardingService => ({
  name: 'model',
  maximumConnections: 10,
  supply: { minimum: 1, maximum: 8, reclaimablePrice: 0.2, zonePrices: new Map(), ...supply },
});

function countsOf(
  service: ForwardingService,
  onDemand: number,
  reclaimable: number,
  isScarce: boolean,
  zoneCount = 3,
) {
  const supply = { zone: 'z', onDemand, reclaimable, isScarce, zoneCount };
  const levels = supplyLevels(service, supply);
  return {
    onDemand: levels.find(({ isReclaimable }) => !isReclaimable)?.count,
    reclaimable: levels.find(({ isReclaimable }) => isReclaimable)?.count,
  };
}

describe('supplyLevels', () => {
  it('fills the maximum with reclaimable endpoints and the minimum of on-demand ones', () => {
    expect(countsOf(serviceOf(), 1, 7, false)).toEqual({ onDemand: 1, reclaimable: 7 });
    const large = serviceOf({ maximum: 26 });
    expect(countsOf(large, 3, 23, false)).toEqual({ onDemand: 1, reclaimable: 25 });
    const demanding = serviceOf({ minimum: 3, maximum: 26 });
    expect(countsOf(demanding, 3, 23, false)).toEqual({ onDemand: 3, reclaimable: 23 });
  });

  // Guards against paying for on-demand endpoints where the loss of two zones leaves half of them.
  it('has no on-demand endpoints in four or more zones while reclaimable ones are available', () => {
    expect(countsOf(serviceOf(), 0, 8, false, 4)).toEqual({ onDemand: 0, reclaimable: 8 });
    expect(countsOf(serviceOf(), 0, 0, true, 5)).toEqual({ onDemand: 5, reclaimable: 3 });
    expect(countsOf(serviceOf(), 5, 0, false, 5)).toEqual({ onDemand: undefined, reclaimable: 3 });
    expect(countsOf(serviceOf(), 5, 3, false, 5)).toEqual({ onDemand: 0, reclaimable: 8 });
  });

  it('replaces reclaimable endpoints by on-demand ones while they are scarce', () => {
    expect(countsOf(serviceOf(), 1, 0, true)).toEqual({ onDemand: 5, reclaimable: 3 });
  });

  it('releases on-demand endpoints only after the first reclaimable ones are back', () => {
    expect(countsOf(serviceOf(), 5, 0, false)).toEqual({ onDemand: undefined, reclaimable: 3 });
    expect(countsOf(serviceOf(), 5, 3, false)).toEqual({ onDemand: 1, reclaimable: 7 });
  });

  it('has no levels if reclaimable endpoints save little', () => {
    expect(countsOf(serviceOf({ reclaimablePrice: 0.9 }), 4, 0, false)).toEqual({
      onDemand: undefined,
      reclaimable: undefined,
    });
  });

  it.each([1, 2, 5, 8, 40])('stays within a maximum of %i endpoints', (maximum) => {
    for (const isScarce of [true, false]) {
      for (let onDemand = 0; onDemand <= maximum; onDemand += 1) {
        const service = serviceOf({ maximum });
        const counts = countsOf(service, onDemand, maximum - onDemand, isScarce);
        expect((counts.onDemand ?? 0) + (counts.reclaimable ?? 0)).toBeLessThanOrEqual(maximum);
        expect(counts.onDemand ?? 1).toBeGreaterThanOrEqual(1);
        const many = countsOf(service, onDemand, maximum - onDemand, isScarce, 4);
        const ordered = (many.onDemand ?? 0) + (many.reclaimable ?? 0);
        expect(ordered).toBeLessThanOrEqual(maximum);
        expect(ordered + (many.onDemand === undefined ? onDemand : 0)).toBeGreaterThanOrEqual(1);
      }
    }
  });

  // Guards against on-demand endpoints that are paid for although those of other zones are enough.
  it('follows the plan, and replaces lost endpoints only as far as other zones do not have them', () => {
    const plannedLevels = (isScarce: boolean, uncovered: number) =>
      supplyLevels(serviceOf({ maximum: 26 }), {
        zone: 'z',
        onDemand: 1,
        reclaimable: isScarce ? 0 : 9,
        isScarce,
        zoneCount: 3,
        planned: 10,
        uncovered,
      }).map(
        ({ count, isReclaimable }) => `${count} ${isReclaimable ? 'reclaimable' : 'on-demand'}`,
      );
    expect(plannedLevels(false, 0)).toEqual(['1 on-demand', '9 reclaimable']);
    expect(plannedLevels(true, 0)).toEqual(['1 on-demand', '9 reclaimable']);
    expect(plannedLevels(true, 4)).toEqual(['4 on-demand', '6 reclaimable']);
    expect(plannedLevels(true, 20)).toEqual(['6 on-demand', '4 reclaimable']);
  });
});
