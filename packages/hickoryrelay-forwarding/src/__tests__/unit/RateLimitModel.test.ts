import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';

import { RateLimitWorld, ZONES } from './RateLimitWorld.js';

const SEEDS = [1, 2026, 40_417];

/** Scales the runs of the model. */
const RUNS = Number(process.env.FUZZ_RUNS ?? 60);

/** Requests per second of each instance; the ample ones are several times its shares. */
const SIZES = [
  { instances: 8, demand: 12, ampleDemand: 24, steps: 40, runs: RUNS },
  { instances: 66, demand: 3, ampleDemand: 6, steps: 30, runs: Math.ceil(RUNS / 6) },
  { instances: 640, demand: 1.5, ampleDemand: 6, steps: 20, runs: Math.ceil(RUNS / 60) },
];

const ENDPOINTS = 4;

/** Fraction of a limit that must be used while demand is ample and nothing fails. */
const MINIMUM_USE = 0.6;

const index = fastCheck.nat(1000);

const milliseconds = fastCheck.constantFrom(300, 2000, 7000, 25_000);

const limit = fastCheck.constantFrom(undefined, 0, 0.1, 0.7, 1, 2.5, 5.7, 9, 30, 1e9);

const step = fastCheck.oneof(
  {
    weight: 8,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('limit' as const),
      limits: fastCheck.array(fastCheck.option(limit, { nil: 'unchanged' as const }), {
        minLength: ENDPOINTS,
        maxLength: ENDPOINTS,
      }),
    }),
  },
  {
    weight: 12,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('wait' as const),
      milliseconds: fastCheck.constantFrom(200, 1000, 4000, 8000, 12_000),
    }),
  },
  {
    weight: 3,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('burst' as const),
      requests: fastCheck.integer({ min: 1, max: 5 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({ kind: fastCheck.constant('restart endpoint' as const), index }),
  },
  { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant('join' as const) }) },
  { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant('stop' as const), index }) },
  {
    weight: 2,
    arbitrary: fastCheck.record({ kind: fastCheck.constant('restart' as const), index }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('freeze' as const),
      index,
      milliseconds,
    }),
  },
  {
    weight: 1,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('cut off' as const),
      zone: fastCheck.nat(ZONES - 1),
      milliseconds,
    }),
  },
  {
    weight: 1,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('store' as const),
      isAway: fastCheck.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('network' as const),
      lossFraction: fastCheck.constantFrom(0, 0.02, 0.5),
      lateFraction: fastCheck.constantFrom(0, 0.02, 0.3),
      connectMilliseconds: fastCheck.constantFrom(20, 500, 6000),
      responseMilliseconds: fastCheck.constantFrom(400, 6000),
    }),
  },
);

type Step = typeof step extends fastCheck.Arbitrary<infer Value> ? Value : never;

async function apply(world: RateLimitWorld, each: Step): Promise<void> {
  switch (each.kind) {
    case 'limit':
      each.limits.forEach((named, endpoint) => {
        if (named !== 'unchanged') {
          world.nameLimit(endpoint, named);
        }
      });
      break;
    case 'wait':
      await world.advance(each.milliseconds);
      break;
    case 'burst':
      world.burst(each.requests);
      break;
    case 'restart endpoint':
      world.startEndpoint(each.index % ENDPOINTS);
      break;
    case 'join':
      world.join(Math.ceil(world.instances.length / 10));
      break;
    case 'stop':
      if (world.instances.length > 4) {
        world.stop(each.index);
      }
      break;
    case 'restart':
      world.restart(each.index);
      break;
    case 'freeze':
      world.freeze(each.index, each.milliseconds);
      break;
    case 'cut off':
      world.cutOff(each.zone, each.milliseconds);
      break;
    case 'store':
      world.setStoreAway(each.isAway);
      break;
    default:
      world.setNetwork(each);
  }
}

describe.each(SIZES)(
  'the rate limits of endpoints, with $instances instances',
  ({ instances, demand, ampleDemand, steps: maxLength, runs }) => {
    it.each(SEEDS)(
      'hold over all instances by the records of the endpoints, seed %i',
      async (seed) => {
        await fastCheck.assert(
          fastCheck.asyncProperty(
            fastCheck.integer(),
            fastCheck.array(step, { minLength: 15, maxLength }),
            async (worldSeed, steps) => {
              const world = new RateLimitWorld({
                seed: worldSeed,
                instances,
                endpoints: ENDPOINTS,
                demand,
              });
              await world.advance(4000);
              for (const each of steps) {
                await apply(world, each);
              }
              await world.advance(2000);
              expect(world.breaches).toEqual([]);
            },
          ),
          { seed, numRuns: runs },
        );
      },
      300_000,
    );

    // Guards against limits that hold because nothing is sent.
    it('leave most of what is allowed in use, and end for all instances', async () => {
      const world = new RateLimitWorld({
        seed: 1,
        instances,
        endpoints: ENDPOINTS,
        demand: ampleDemand,
      });
      world.setNetwork({
        lossFraction: 0,
        lateFraction: 0,
        connectMilliseconds: 20,
        responseMilliseconds: 400,
      });
      await world.advance(4000);
      const limits = [1.5, 5.7, 9, 30];
      limits.forEach((each, endpoint) => world.nameLimit(endpoint, each));
      await world.advance(6000);
      const from = world.clock.monotonicMilliseconds();
      await world.advance(20_000);
      expect(world.breaches).toEqual([]);
      const used = limits.map((each, endpoint) => {
        const { arrivals } = world.endpoint(endpoint);
        const count = arrivals.filter(({ atMilliseconds }) => atMilliseconds >= from).length;
        return count / 20 / each;
      });
      expect(Math.min(...used)).toBeGreaterThan(MINIMUM_USE);
      limits.forEach((_each, endpoint) => world.nameLimit(endpoint, undefined));
      await world.advance(8000);
      const known = world.instances.flatMap(({ registry }) =>
        [...registry.rateLimits()].map(({ requestsPerSecond }) => requestsPerSecond),
      );
      expect(new Set(known)).toEqual(new Set([undefined]));
    }, 120_000);
  },
);
