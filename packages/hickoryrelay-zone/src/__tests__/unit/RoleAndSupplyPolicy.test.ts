import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  DemandRolePolicy,
  meetsRequirements,
  capacityRatio,
  StaticRolePolicy,
} from 'hickoryrelay-zone/RolePolicy';
import {
  DemandSupplyPolicy,
  allocateShortfall,
  StaticSupplyPolicy,
} from 'hickoryrelay-zone/SupplyPolicy';

import { KIND } from './AuthoritySimulation.js';
import type { EngineRole } from 'hickoryrelay-endpoint/Engine';
import type { PlannedEngine, RoleObservation } from 'hickoryrelay-zone/RolePolicy';
import type { SupplyObservation } from 'hickoryrelay-zone/SupplyPolicy';

function engines(roles: Partial<Record<EngineRole, number>>): PlannedEngine[] {
  return Object.entries(roles).flatMap(([role, count]) =>
    Array.from({ length: count }, (empty, index) => ({
      identifier: `${role}-${index}`,
      role: role as EngineRole,
      models: ['model-one'],
      isChanging: false,
    })),
  );
}

const REQUIREMENTS = [
  { className: 'ask', models: ['model-one'], prefillEngines: 2, decodeEngines: 2 },
];

function observationOf(
  nowSeconds: number,
  engineList: PlannedEngine[],
  prefill: number,
  decode: number,
): RoleObservation {
  const nowMilliseconds = nowSeconds * 1000;
  return {
    nowMilliseconds,
    engines: engineList,
    demand: { prefill, decode },
    requirements: REQUIREMENTS,
  };
}

describe('DemandRolePolicy', () => {
  // Guards against several engines out of service at once, and changes for a short shift.
  it('changes one engine to the role with too little capacity after the confirmation time', () => {
    const policy = new DemandRolePolicy();
    const engineList = engines({ prefill: 4, decode: 6 });
    expect(policy.decide(observationOf(0, engineList, 6, 3)).change).toBeUndefined();
    expect(policy.decide(observationOf(20, engineList, 6, 3)).change).toMatchObject({
      role: 'prefill',
    });
    const changing = engineList.map((each, index) => ({ ...each, isChanging: index === 9 }));
    expect(policy.decide(observationOf(25, changing, 6, 3)).change).toBeUndefined();
  });

  // Guards against role changes that cost more than they gain.
  it('changes no role because of noise or while the demand is met', () => {
    const policy = new DemandRolePolicy();
    const engineList = engines({ prefill: 4, decode: 6 });
    for (let fallback = 0; fallback < 600; fallback += 5) {
      const noise = fallback % 10 === 0 ? 0.1 : -0.1;
      const observation = observationOf(fallback, engineList, 3.5 + noise, 5.3 - noise);
      expect(policy.decide(observation).change).toBeUndefined();
    }
    expect(new StaticRolePolicy().decide().change).toBeUndefined();
  });

  // Guards against fewer engines than a class requires for one phase.
  it('never violates the requirements of a class', () => {
    const policy = new DemandRolePolicy();
    const engineList = engines({ prefill: 8, decode: 2 });
    policy.decide(observationOf(0, engineList, 20, 0.5));
    expect(policy.decide(observationOf(20, engineList, 20, 0.5)).change).toBeUndefined();
    fc.assert(
      fc.property(fc.nat(12), fc.nat(12), fc.nat(6), fc.nat(20), fc.nat(20), (...values) => {
        const [prefill, decode, mixed, demandPrefill, demandDecode] = values;
        const all = engines({ prefill, decode, mixed });
        const randomPolicy = new DemandRolePolicy();
        randomPolicy.decide(observationOf(0, all, demandPrefill, demandDecode));
        const { change } = randomPolicy.decide(observationOf(20, all, demandPrefill, demandDecode));
        const others = all.filter((each) => each.identifier !== change?.endpoint);
        return change === undefined || meetsRequirements(others, REQUIREMENTS);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  // Guards against spare capacity of one phase that hides a shortfall of the other.
  it('takes the capacity ratio from the scarcer phase and counts mixed engines for either', () => {
    expect(capacityRatio({ prefill: 4, decode: 6 }, { prefill: 4, decode: 6, mixed: 0 })).toBe(1);
    expect(capacityRatio({ prefill: 8, decode: 2 }, { prefill: 4, decode: 6, mixed: 0 })).toBe(0.5);
    expect(capacityRatio({ prefill: 8, decode: 2 }, { prefill: 0, decode: 0, mixed: 10 })).toBe(
      0.85,
    );
  });
});

const RECLAIMABLE_KIND = { ...KIND, name: 'reclaimable', reclaimable: true, costPerHour: 1 };
const tolerantDemand = {
  className: 'ask',
  units: 4,
  unitsAfterLeadTime: 4,
  toleratesLoss: true,
  lossTarget: 0.05,
};
const sensitiveDemand = {
  ...tolerantDemand,
  className: 'book',
  units: 2,
  unitsAfterLeadTime: 2,
  toleratesLoss: false,
};

function supplyObservation(
  onDemand: number,
  reclaimable: number,
  spendLimit = 100_000,
): SupplyObservation {
  return {
    nowMilliseconds: 0,
    kinds: [
      { kind: KIND, count: onDemand, idle: ['on-demand-0'] },
      { kind: RECLAIMABLE_KIND, count: reclaimable, idle: ['reclaimable-0'] },
    ],
    demands: [tolerantDemand, { ...sensitiveDemand, lossTarget: 0.001 }],
    largestReclaim: 2,
    zoneCount: 3,
    spendLimit,
    spent: onDemand * 4000 + reclaimable * 1000,
  };
}

describe('DemandSupplyPolicy', () => {
  // Guards against calls without retry on endpoints that can be reclaimed.
  it('orders on-demand endpoints for loss-sensitive work and a reclaim, reclaimable ones otherwise', () => {
    const policy = new DemandSupplyPolicy();
    expect(policy.decide(supplyObservation(2, 4)).order?.name).toBe(KIND.name);
    expect(policy.decide(supplyObservation(3, 1)).order?.name).toBe('reclaimable');
    expect(policy.decide(supplyObservation(3, 3))).toMatchObject({ shortfalls: [] });
    expect(new StaticSupplyPolicy().decide().order).toBeUndefined();
  });

  // Guards against endpoints that become ready too late for a growing demand.
  it('orders for the demand expected after the lead time', () => {
    const growingDemand = {
      ...supplyObservation(3, 3),
      demands: [{ ...tolerantDemand, unitsAfterLeadTime: 6 }, sensitiveDemand],
    };
    expect(new DemandSupplyPolicy().decide(growingDemand).order?.name).toBe('reclaimable');
  });

  // Guards against spend beyond the budget, and a shortfall of the class with the strictest loss
  // target.
  it('stays within the budget and allocates the shortfall to the highest loss target', () => {
    const { order, shortfalls, reason } = new DemandSupplyPolicy().decide(
      supplyObservation(3, 1, 13_500),
    );
    expect([order, shortfalls]).toEqual([undefined, [{ className: 'ask', units: 2 }]]);
    expect(reason).toContain('budget limit 13500 reached');
    expect(
      allocateShortfall([{ ...sensitiveDemand, lossTarget: 0.001 }, tolerantDemand], 5),
    ).toEqual([
      { className: 'ask', units: 4 },
      { className: 'book', units: 1 },
    ]);
    const fallback = new DemandSupplyPolicy().decide(supplyObservation(2, 1, 10_500));
    expect(fallback.order?.name).toBe('reclaimable');
  });

  // Guards against releases during a short dip of the demand.
  it('releases the most expensive surplus endpoint, only after a long surplus', () => {
    const policy = new DemandSupplyPolicy();
    const surplus = supplyObservation(5, 6);
    expect(policy.decide(surplus).release).toBeUndefined();
    expect(policy.decide({ ...surplus, nowMilliseconds: 800_000 }).release).toBeUndefined();
    expect(policy.decide({ ...surplus, nowMilliseconds: 900_000 }).release).toBe('on-demand-0');
  });
});
