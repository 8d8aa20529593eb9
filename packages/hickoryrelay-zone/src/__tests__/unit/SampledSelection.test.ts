import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { ModelOperation } from 'hickoryrelay-link/Call';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';

import { withoutEjected } from '../../Ejection.js';
import { EndpointPool } from '../../EndpointPool.js';
import { EndpointSubset } from '../../EndpointSubset.js';
import { Fleet } from '../../Fleet.js';
import { SampledSelection } from '../../SampledSelection.js';
import type { ModelCall } from 'hickoryrelay-link/Call';

const SEED = 20_261_204;
const kind = (name: string, reclaimable: boolean) => ({
  name,
  serves: WorkKind.Model,
  models: ['model-one'],
  routes: [],
  checksFencing: true,
  reclaimable,
  costPerHour: 1,
});
const KINDS = new Map([
  ['lasting', kind('lasting', false)],
  ['cheap', kind('cheap', true)],
]);

interface Place {
  readonly zone: string;
  readonly kind?: string;
  readonly state?: SupplyState;
}

function fill(fleet: Fleet, places: readonly (Place | undefined)[]): void {
  const supplied = places.flatMap((place, index) =>
    place === undefined
      ? []
      : [
          {
            identifier: `engine-${index}`,
            kind: place.kind ?? 'lasting',
            zone: place.zone,
            url: 'http://127.0.0.1:1',
            state: place.state ?? SupplyState.Live,
          },
        ],
  );
  fleet.update(supplied, KINDS);
}

class SelectionDriver {
  readonly clock = new ManualClock();

  readonly fleet = new Fleet();

  readonly selection: SampledSelection;

  constructor(places: readonly Place[], instance = 'entry-1', decodeTokens = 10) {
    fill(this.fleet, places);
    this.selection = new SampledSelection({
      pool: new EndpointPool(new EndpointSubset(instance, 'zone-a'), this.fleet),
      ownZone: 'zone-a',
      clock: this.clock,
      random: new SeededRandomSource(instance.length + Number(instance.split('-')[1])),
      latenessMilliseconds: () => 1000,
      decodeTokens: () => decodeTokens,
      otherZoneMilliseconds: 3,
    });
  }

  get engines(): Engine[] {
    return [...this.fleet.endpoints()].filter((each) => each instanceof Engine);
  }

  report(index: number, waitingPrefillTokens: number): void {
    this.engine(index).load.update({
      running: 0,
      waiting: 0,
      slots: 100,
      waitingPrefillTokens,
      prefillRate: 1000,
      decodeRate: 1000,
      callMilliseconds: 0,
      sampledMilliseconds: this.clock.monotonicMilliseconds(),
    });
  }

  engine(index: number): Engine {
    const found = this.engines.find(({ identifier }) => identifier === `engine-${index}`);
    expect(found).toBeDefined();
    return found as Engine;
  }

  names(call: ModelCall): string[] {
    return [...this.selection.candidates(call)].map(({ identifier }) => identifier);
  }
}

function callOf(change: Partial<ModelCall> = {}): ModelCall {
  return {
    kind: WorkKind.Model,
    requestIdentifier: 'call',
    accountName: 'a',
    keyIdentifier: undefined,
    className: 'quick',
    arrivalMilliseconds: 0,
    deadlineMilliseconds: 1e6,
    isIdempotent: true,
    idempotencyKey: undefined,
    operation: ModelOperation.Completions,
    model: 'model-one',
    parameters: {},
    isStreaming: true,
    includesUsage: false,
    promptTokens: 100,
    ...change,
  };
}

describe('EndpointSubset', () => {
  // Guards against a change of one endpoint that moves many connections and cached prefixes.
  it('changes at most one place when an endpoint goes', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 30, max: 120 }),
        fc.integer({ min: 1, max: 4 }),
        fc.nat(1000),
        (count, zones, gone) => {
          const places: (Place | undefined)[] = Array.from({ length: count }, (empty, index) => ({
            zone: `zone-${'abcd'[index % zones]}`,
          }));
          const fleet = new Fleet();
          fill(fleet, places);
          const pool = new EndpointPool(new EndpointSubset('entry-1', 'zone-a'), fleet);
          const before = new Set(pool.members);
          places[gone % count] = undefined;
          fill(fleet, places);
          const added = pool.members.filter((each) => !before.has(each));
          expect(added.length).toBeLessThanOrEqual(1);
          expect(pool.members.length).toBe(24);
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });

  // Guards against engines that no instance or every instance uses.
  it('spreads the instances over the endpoints of a zone', () => {
    const uses = new Map<string, number>();
    const fleet = new Fleet();
    fill(
      fleet,
      Array.from({ length: 655 }, () => ({ zone: 'zone-a' })),
    );
    for (let instance = 0; instance < 58; instance += 1) {
      const pool = new EndpointPool(new EndpointSubset(`entry-${instance}`, 'zone-a'), fleet);
      for (const { identifier } of pool.members) {
        uses.set(identifier, (uses.get(identifier) ?? 0) + 1);
      }
    }
    // 58 instances with 24 places each make 2.1 a engine on average.
    expect(Math.max(...uses.values())).toBeLessThanOrEqual(10);
    expect(uses.size).toBeGreaterThanOrEqual(520);
  });
});

describe('withoutEjected', () => {
  // Guards against a fault on this side that ejects all endpoints.
  it('leaves out endpoints with open breakers, at most half of them', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { minLength: 1, maxLength: 24 }), (failing) => {
        const { engines } = new SelectionDriver(failing.map(() => ({ zone: 'zone-a' })));
        for (const [index, engine] of engines.entries()) {
          for (let failure = 0; failing[index] === true && failure < 3; failure += 1) {
            engine.breaker.startCall(0)(false, 0);
          }
        }
        const left = withoutEjected(engines, 1);
        const failed = failing.filter((each) => each).length;
        const ejected = Math.min(failed, Math.floor(failing.length / 2));
        expect(left.length).toBe(failing.length - ejected);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});

describe('SampledSelection', () => {
  const twelve = Array.from({ length: 12 }, () => ({ zone: 'zone-a' }));

  it('yields each endpoint once and none that is leaving', () => {
    const places = [...twelve, { zone: 'zone-a', state: SupplyState.Leaving }, { zone: 'zone-b' }];
    const names = new SelectionDriver(places).names(callOf());
    expect(new Set(names).size).toBe(13);
    expect(names.length).toBe(13);
    expect(names).not.toContain('engine-12');
  });

  // Guards against the herd: many instances read the same report and all choose the idle engine.
  it('spreads instances that see the same report', () => {
    let chosen = 0;
    for (let instance = 0; instance < 200; instance += 1) {
      const driver = new SelectionDriver(twelve, `entry-${instance}`);
      for (let index = 0; index < 12; index += 1) {
        driver.report(index, index === 0 ? 0 : 100 + index);
      }
      chosen += driver.names(callOf())[0] === 'engine-0' ? 1 : 0;
    }
    // A sample of 3 of 12 finds the idle engine in a quarter of the cases.
    expect(chosen).toBeGreaterThanOrEqual(30);
    expect(chosen).toBeLessThanOrEqual(80);
  });

  // Guards against affinity that ignores the queue, and against a queue that ignores the cache.
  it('weighs the cached prefix against the queue in milliseconds', () => {
    const prefixKeys = ['p1', 'p2', 'p3', 'p4'];
    const call = callOf({ promptTokens: 1024, prefixKeys });
    const driver = new SelectionDriver(twelve);
    for (let index = 0; index < 12; index += 1) {
      driver.report(index, 0);
    }
    driver.engine(7).prefixIndex.recordOwnCall(prefixKeys);
    driver.report(7, 0);
    expect(driver.names(call)[0]).toBe('engine-7');
    driver.engine(7).load.startCall(2000, 0);
    expect(driver.names(call)[0]).not.toBe('engine-7');
  });

  // Guards against calls that wait in the own zone while another zone is idle.
  it('uses another zone when the local wait is longer than the path', () => {
    const driver = new SelectionDriver([{ zone: 'zone-a' }, { zone: 'zone-b' }]);
    driver.report(0, 0);
    driver.report(1, 0);
    expect(driver.names(callOf())[0]).toBe('engine-0');
    driver.engine(0).load.startCall(50, 0);
    expect(driver.names(callOf())[0]).toBe('engine-1');
  });

  // Guards against long work without slack on engines that can vanish.
  it('sends work that survives a loss to cheap engines and the rest to lasting ones', () => {
    const places = [
      { zone: 'zone-a', kind: 'cheap' },
      { zone: 'zone-a', kind: 'lasting' },
    ];
    const short = new SelectionDriver(places);
    expect(short.names(callOf())[0]).toBe('engine-0');
    expect(short.names(callOf({ isIdempotent: false }))[0]).toBe('engine-1');
    const long = new SelectionDriver(places, 'entry-1', 5000);
    const withoutSlack = callOf({ promptTokens: 20_000, arrivalMilliseconds: -500 });
    expect(long.names(withoutSlack)[0]).toBe('engine-1');
  });

  // Guards against work beyond what an engine takes within its targets while others have room.
  it('prefers engines with room', () => {
    const driver = new SelectionDriver(twelve);
    for (let index = 1; index < 12; index += 1) {
      const engine = driver.engine(index);
      for (let call = 0; call < 4; call += 1) {
        engine.startCall();
      }
    }
    expect(driver.names(callOf())[0]).toBe('engine-0');
  });
});
