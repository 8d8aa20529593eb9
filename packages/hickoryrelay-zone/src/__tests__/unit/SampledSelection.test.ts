import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { ModelOperation } from 'hickoryrelay-link/Call';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';

import { EndpointPool } from '../../EndpointPool.js';
import { EndpointSubset } from '../../EndpointSubset.js';
import { Fleet } from '../../Fleet.js';
import { excludeEjected } from '../../OutlierEjection.js';
import { SampledSelection } from '../../SampledSelection.js';
import type { ModelCall } from 'hickoryrelay-link/Call';

const SEED = 20_261_204;
const kindOf = (name: string, reclaimable: boolean) => ({
  name,
  serves: WorkKind.Model,
  models: ['model-one'],
  routes: [],
  checksFencing: true,
  reclaimable,
  costPerHour: 1,
});
const KINDS = new Map([
  ['on-demand', kindOf('on-demand', false)],
  ['reclaimable', kindOf('reclaimable', true)],
]);

interface EndpointFixture {
  readonly zone: string;
  readonly kind?: string;
  readonly state?: SupplyState;
}

function updateFleet(fleet: Fleet, fixtures: readonly (EndpointFixture | undefined)[]): void {
  const supplied = fixtures.flatMap((fixture, index) =>
    fixture === undefined
      ? []
      : [
          {
            identifier: `engine-${index}`,
            kind: fixture.kind ?? 'on-demand',
            zone: fixture.zone,
            url: 'http://127.0.0.1:1',
            state: fixture.state ?? SupplyState.Live,
          },
        ],
  );
  fleet.update(supplied, KINDS);
}

class SelectionHarness {
  readonly clock = new ManualClock();

  readonly fleet = new Fleet();

  readonly selection: SampledSelection;

  constructor(fixtures: readonly EndpointFixture[], instance = 'entry-1', decodeTokens = 10) {
    updateFleet(this.fleet, fixtures);
    this.selection = new SampledSelection({
      pool: new EndpointPool(new EndpointSubset(instance, 'zone-a'), this.fleet),
      localZone: 'zone-a',
      clock: this.clock,
      random: new SeededRandomSource(instance.length + Number(instance.split('-')[1])),
      latenessMilliseconds: () => 1000,
      decodeTokens: () => decodeTokens,
      crossZoneMilliseconds: 3,
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

function callOf(overrides: Partial<ModelCall> = {}): ModelCall {
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
    ...overrides,
  };
}

describe('EndpointSubset', () => {
  // Guards against the loss of many connections and cached prefixes when one endpoint is removed.
  it('changes at most one member when an endpoint is removed', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 30, max: 120 }),
        fc.integer({ min: 1, max: 4 }),
        fc.nat(1000),
        (count, zones, removedIndex) => {
          const fixtures: (EndpointFixture | undefined)[] = Array.from(
            { length: count },
            (empty, index) => ({
              zone: `zone-${'abcd'[index % zones]}`,
            }),
          );
          const fleet = new Fleet();
          updateFleet(fleet, fixtures);
          const pool = new EndpointPool(new EndpointSubset('entry-1', 'zone-a'), fleet);
          const before = new Set(pool.members);
          fixtures[removedIndex % count] = undefined;
          updateFleet(fleet, fixtures);
          const added = pool.members.filter((each) => !before.has(each));
          expect(added.length).toBeLessThanOrEqual(1);
          expect(pool.members.length).toBe(24);
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });

  // Guards against engines that no instance uses and engines that every instance uses.
  it('spreads the instances over the endpoints of a zone', () => {
    const uses = new Map<string, number>();
    const fleet = new Fleet();
    updateFleet(
      fleet,
      Array.from({ length: 655 }, () => ({ zone: 'zone-a' })),
    );
    for (let instance = 0; instance < 58; instance += 1) {
      const pool = new EndpointPool(new EndpointSubset(`entry-${instance}`, 'zone-a'), fleet);
      for (const { identifier } of pool.members) {
        uses.set(identifier, (uses.get(identifier) ?? 0) + 1);
      }
    }
    // 58 instances with 24 members each over 655 engines are 2.1 per engine on average.
    expect(Math.max(...uses.values())).toBeLessThanOrEqual(10);
    expect(uses.size).toBeGreaterThanOrEqual(520);
  });
});

describe('excludeEjected', () => {
  // Guards against a local fault that ejects all endpoints.
  it('excludes endpoints with open breakers, at most half of all endpoints', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { minLength: 1, maxLength: 24 }), (failing) => {
        const { engines } = new SelectionHarness(failing.map(() => ({ zone: 'zone-a' })));
        for (const [index, engine] of engines.entries()) {
          for (let failure = 0; failing[index] === true && failure < 3; failure += 1) {
            engine.breaker.startCall(0)(false, 0);
          }
        }
        const remaining = excludeEjected(engines, 1);
        const failed = failing.filter((each) => each).length;
        const ejected = Math.min(failed, Math.floor(failing.length / 2));
        expect(remaining.length).toBe(failing.length - ejected);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});

describe('SampledSelection', () => {
  const twelveEndpoints = Array.from({ length: 12 }, () => ({ zone: 'zone-a' }));

  // Guards against retries on the same endpoint and calls to endpoints that are being removed.
  it('yields each live endpoint once and no leaving one', () => {
    const fixtures = [
      ...twelveEndpoints,
      { zone: 'zone-a', state: SupplyState.Leaving },
      { zone: 'zone-b' },
    ];
    const names = new SelectionHarness(fixtures).names(callOf());
    expect(new Set(names).size).toBe(13);
    expect(names.length).toBe(13);
    expect(names).not.toContain('engine-12');
  });

  // Guards against overload of an idle engine that many instances choose by the same report.
  it('spreads the calls of instances that see the same report', () => {
    let chosen = 0;
    for (let instance = 0; instance < 200; instance += 1) {
      const harness = new SelectionHarness(twelveEndpoints, `entry-${instance}`);
      for (let index = 0; index < 12; index += 1) {
        harness.report(index, index === 0 ? 0 : 100 + index);
      }
      chosen += harness.names(callOf())[0] === 'engine-0' ? 1 : 0;
    }
    // A sample of 3 of 12 includes the idle engine in a quarter of the cases.
    expect(chosen).toBeGreaterThanOrEqual(30);
    expect(chosen).toBeLessThanOrEqual(80);
  });

  // Guards against cache affinity that ignores the queue, and against queueing that ignores the cache.
  it('weighs a cached prefix against the queue wait', () => {
    const prefixKeys = ['p1', 'p2', 'p3', 'p4'];
    const call = callOf({ promptTokens: 1024, prefixKeys });
    const harness = new SelectionHarness(twelveEndpoints);
    for (let index = 0; index < 12; index += 1) {
      harness.report(index, 0);
    }
    harness.engine(7).prefixIndex.recordOwnCall(prefixKeys);
    harness.report(7, 0);
    expect(harness.names(call)[0]).toBe('engine-7');
    harness.engine(7).load.startCall(2000, 0);
    expect(harness.names(call)[0]).not.toBe('engine-7');
  });

  // Guards against calls that wait in the local zone while another zone is idle.
  it('uses another zone when the local wait exceeds the round-trip time', () => {
    const harness = new SelectionHarness([{ zone: 'zone-a' }, { zone: 'zone-b' }]);
    harness.report(0, 0);
    harness.report(1, 0);
    expect(harness.names(callOf())[0]).toBe('engine-0');
    harness.engine(0).load.startCall(50, 0);
    expect(harness.names(callOf())[0]).toBe('engine-1');
  });

  // Guards against long calls without slack on reclaimable engines.
  it('sends calls that tolerate a loss to reclaimable engines and the rest to on-demand ones', () => {
    const fixtures = [
      { zone: 'zone-a', kind: 'reclaimable' },
      { zone: 'zone-a', kind: 'on-demand' },
    ];
    const short = new SelectionHarness(fixtures);
    expect(short.names(callOf())[0]).toBe('engine-0');
    expect(short.names(callOf({ isIdempotent: false }))[0]).toBe('engine-1');
    const long = new SelectionHarness(fixtures, 'entry-1', 5000);
    const withoutSlack = callOf({ promptTokens: 20_000, arrivalMilliseconds: -500 });
    expect(long.names(withoutSlack)[0]).toBe('engine-1');
  });

  // Guards against calls beyond the in-flight limit of one engine while others have free capacity.
  it('prefers engines with free capacity', () => {
    const harness = new SelectionHarness(twelveEndpoints);
    for (let index = 1; index < 12; index += 1) {
      const engine = harness.engine(index);
      for (let call = 0; call < 4; call += 1) {
        engine.startCall();
      }
    }
    expect(harness.names(callOf())[0]).toBe('engine-0');
  });
});
