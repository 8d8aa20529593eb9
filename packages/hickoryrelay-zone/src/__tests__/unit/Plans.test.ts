import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { DemandRoles, meetsNeeds, shareMet, StaticRoles } from 'hickoryrelay-zone/RolePlan';
import { DemandSupply, leastHarm, StaticSupply } from 'hickoryrelay-zone/SupplyPlan';

import { KIND } from './AuthorityWorld.js';
import type { EngineRole } from 'hickoryrelay-endpoint/Engine';
import type { PlannedEngine, RoleObservation } from 'hickoryrelay-zone/RolePlan';
import type { SupplyObservation } from 'hickoryrelay-zone/SupplyPlan';

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

const NEEDS = [{ className: 'ask', models: ['model-one'], prefillEngines: 2, decodeEngines: 2 }];

function observe(
  nowSeconds: number,
  list: PlannedEngine[],
  prefill: number,
  decode: number,
): RoleObservation {
  const nowMilliseconds = nowSeconds * 1000;
  return { nowMilliseconds, engines: list, demand: { prefill, decode }, needs: NEEDS };
}

describe('DemandRoles', () => {
  it('changes one engine to the kind of work that is short, once that is confirmed', () => {
    const policy = new DemandRoles();
    const list = engines({ prefill: 4, decode: 6 });
    expect(policy.decide(observe(0, list, 6, 3)).change).toBeUndefined();
    expect(policy.decide(observe(20, list, 6, 3)).change).toMatchObject({ role: 'prefill' });
    const changing = list.map((each, index) => ({ ...each, isChanging: index === 9 }));
    expect(policy.decide(observe(25, changing, 6, 3)).change).toBeUndefined();
  });

  it('changes nothing for noise or when the demand is met', () => {
    const policy = new DemandRoles();
    const list = engines({ prefill: 4, decode: 6 });
    for (let second = 0; second < 600; second += 5) {
      const noise = second % 10 === 0 ? 0.1 : -0.1;
      const observation = observe(second, list, 3.5 + noise, 5.3 - noise);
      expect(policy.decide(observation).change).toBeUndefined();
    }
    expect(new StaticRoles().decide().change).toBeUndefined();
  });

  it('never goes below what a class needs', () => {
    const policy = new DemandRoles();
    const list = engines({ prefill: 8, decode: 2 });
    policy.decide(observe(0, list, 20, 0.5));
    expect(policy.decide(observe(20, list, 20, 0.5)).change).toBeUndefined();
    fc.assert(
      fc.property(fc.nat(12), fc.nat(12), fc.nat(6), fc.nat(20), fc.nat(20), (...values) => {
        const [prefill, decode, mixed, demandPrefill, demandDecode] = values;
        const all = engines({ prefill, decode, mixed });
        const random = new DemandRoles();
        random.decide(observe(0, all, demandPrefill, demandDecode));
        const { change } = random.decide(observe(20, all, demandPrefill, demandDecode));
        const others = all.filter((each) => each.identifier !== change?.endpoint);
        return change === undefined || meetsNeeds(others, NEEDS);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it('counts the share met by the kind that is short, with mixed engines for either', () => {
    expect(shareMet({ prefill: 4, decode: 6 }, { prefill: 4, decode: 6, mixed: 0 })).toBe(1);
    expect(shareMet({ prefill: 8, decode: 2 }, { prefill: 4, decode: 6, mixed: 0 })).toBe(0.5);
    expect(shareMet({ prefill: 8, decode: 2 }, { prefill: 0, decode: 0, mixed: 10 })).toBe(0.85);
  });
});

const CHEAP = { ...KIND, name: 'cheap', reclaimable: true, costPerHour: 1 };
const ask = {
  className: 'ask',
  units: 4,
  unitsAfterLead: 4,
  survivesLoss: true,
  lossTarget: 0.05,
};
const book = { ...ask, className: 'book', units: 2, unitsAfterLead: 2, survivesLoss: false };

function supplyOf(lasting: number, cheap: number, spendLimit = 100_000): SupplyObservation {
  return {
    nowMilliseconds: 0,
    kinds: [
      { kind: KIND, count: lasting, idle: ['lasting-0'] },
      { kind: CHEAP, count: cheap, idle: ['cheap-0'] },
    ],
    demands: [ask, { ...book, lossTarget: 0.001 }],
    largestReclaim: 2,
    zoneCount: 3,
    spendLimit,
    spent: lasting * 4000 + cheap * 1000,
  };
}

describe('DemandSupply', () => {
  it('orders lasting endpoints for fragile work and the reclaim of a zone, cheap ones for the rest', () => {
    const policy = new DemandSupply();
    expect(policy.decide(supplyOf(2, 4)).order?.name).toBe(KIND.name);
    expect(policy.decide(supplyOf(3, 1)).order?.name).toBe('cheap');
    expect(policy.decide(supplyOf(3, 3))).toMatchObject({ shortfalls: [] });
    expect(new StaticSupply().decide().order).toBeUndefined();
  });

  it('orders for the demand after the lead time', () => {
    const grown = { ...supplyOf(3, 3), demands: [{ ...ask, unitsAfterLead: 6 }, book] };
    expect(new DemandSupply().decide(grown).order?.name).toBe('cheap');
  });

  it('stays within the budget and puts the harm where the targets allow the most loss', () => {
    const { order, shortfalls, reason } = new DemandSupply().decide(supplyOf(3, 1, 13_500));
    expect([order, shortfalls]).toEqual([undefined, [{ className: 'ask', units: 2 }]]);
    expect(reason).toContain('budget limit 13500 reached');
    expect(leastHarm([{ ...book, lossTarget: 0.001 }, ask], 5)).toEqual([
      { className: 'ask', units: 4 },
      { className: 'book', units: 1 },
    ]);
    const second = new DemandSupply().decide(supplyOf(2, 1, 10_500));
    expect(second.order?.name).toBe('cheap');
  });

  it('releases only after a long surplus, the dearest endpoint that is not needed', () => {
    const policy = new DemandSupply();
    const surplus = supplyOf(5, 6);
    expect(policy.decide(surplus).release).toBeUndefined();
    expect(policy.decide({ ...surplus, nowMilliseconds: 800_000 }).release).toBeUndefined();
    expect(policy.decide({ ...surplus, nowMilliseconds: 900_000 }).release).toBe('lasting-0');
  });
});
