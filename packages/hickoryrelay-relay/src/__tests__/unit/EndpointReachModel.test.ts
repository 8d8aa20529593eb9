import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import { EndpointReach, ReachState } from '../../EndpointReach.js';

/** `FUZZ_SEED` plays other sequences. */
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_208);
const SERVICE = 'chat';
const TICK_MILLISECONDS = 100;
const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** One connect timeout, one period of probes and the steps of the return. */
const RETURN_TICKS = 32;

/** As long in the worst case, that is in the first step of a return. */
const PARTITION_TICKS = 40;

const Path = { Open: 'open', Refused: 'refused', Hanging: 'hanging' } as const;

type Path = (typeof Path)[keyof typeof Path];

/** An instance before endpoints whose connections open, are refused or hang. */
class World {
  readonly clock = new ManualClock();

  readonly random: SeededRandomSource;

  readonly reach: EndpointReach;

  readonly seenStates = new Set<ReachState>();

  paths: Map<string, Path>;

  constructor(endpoints: number, seed: number) {
    this.random = new SeededRandomSource(seed);
    const { clock, random } = this;
    const onChange = ({ state }: { state: ReachState }) => this.seenStates.add(state);
    this.reach = new EndpointReach({ clock, random, onChange });
    this.paths = new Map(Array.from({ length: endpoints }, (_, index) => [`${index}`, Path.Open]));
    this.register();
  }

  get state(): ReachState {
    return this.reach.stateOf(SERVICE);
  }

  register(): void {
    this.reach.setEndpoints(new Map([[SERVICE, new Set(this.paths.keys())]]));
  }

  setPaths(path: Path, isAffected: (index: number) => boolean = () => true): void {
    [...this.paths.keys()].forEach((endpoint, index) => {
      if (isAffected(index)) {
        this.paths.set(endpoint, path);
      }
    });
  }

  /** Sends a request to an endpoint, unless it is passed on. */
  send(choice: number): void {
    if (!this.reach.shouldRelay(SERVICE)) {
      this.connect([...this.paths.keys()][choice % this.paths.size] ?? '');
    }
  }

  /** An endpoint responds on a connection that was open before. */
  respond(choice: number): void {
    this.reach.recordResponse(SERVICE, [...this.paths.keys()][choice % this.paths.size] ?? '');
  }

  async tick(): Promise<void> {
    for (const { endpoint } of this.reach.dueProbes()) {
      this.connect(endpoint);
    }
    await this.clock.advance(TICK_MILLISECONDS);
  }

  async ticks(count: number): Promise<void> {
    for (let tick = 0; tick < count; tick += 1) {
      this.send(this.random.integerBelow(this.paths.size));
      await this.tick();
    }
  }

  private connect(endpoint: string): void {
    const path = this.paths.get(endpoint);
    if (path === Path.Open) {
      this.reach.recordOpened(SERVICE, endpoint);
    } else if (path === Path.Refused) {
      this.reach.recordFailed(SERVICE, endpoint);
    } else {
      const fail = () => this.reach.recordFailed(SERVICE, endpoint);
      this.clock.schedule(CONNECT_TIMEOUT_MILLISECONDS, fail);
    }
  }
}

const paths = fc.constantFrom(...Object.values(Path));
const setups = {
  endpoints: fc.integer({ min: 1, max: 6 }),
  seed: fc.integer(),
  steps: fc.array(
    fc.tuple(fc.constantFrom('send', 'tick', 'paths', 'replace', 'respond'), fc.nat(63), paths),
    { maxLength: 60 },
  ),
};

describe('EndpointReach in any sequence of faults', () => {
  // Guards against one or two crashed or full engines that turn all requests away from the others.
  it('stays reachable while fewer endpoints fail than it takes', async () => {
    await fc.assert(
      fc.asyncProperty(fc.record(setups), paths, async ({ endpoints, seed, steps }, path) => {
        const world = new World(endpoints, seed);
        world.setPaths(path, (index) => index < Math.min(2, endpoints - 1));
        for (const [name, choice] of steps) {
          if (name === 'tick') {
            await world.tick();
          } else {
            world.send(choice);
          }
        }
        await world.ticks(RETURN_TICKS);
        expect(world.seenStates).not.toContain(ReachState.Unreachable);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  // Guards against a fleet that stops using its open connections while all engines are full.
  it('stays reachable while endpoints respond and new connections fail', async () => {
    await fc.assert(
      fc.asyncProperty(fc.record(setups), paths, async ({ endpoints, seed, steps }, path) => {
        const world = new World(endpoints, seed);
        world.setPaths(path);
        for (const [name, choice] of steps) {
          world.respond(choice);
          world.send(choice);
          await (name === 'tick' ? world.clock.advance(choice * 10) : world.tick());
        }
        expect(world.seenStates).not.toContain(ReachState.Unreachable);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  // Guards against an instance that attempts in a partition, or passes requests on after its end.
  it('is unreachable in a partition and reachable within a bound after it', async () => {
    await fc.assert(
      fc.asyncProperty(fc.record(setups), async ({ endpoints, seed, steps }) => {
        const world = new World(endpoints, seed);
        for (const [name, choice, path] of steps) {
          switch (name) {
            case 'send':
              world.send(choice);
              break;
            case 'tick':
              await world.tick();
              break;
            case 'respond':
              world.respond(choice);
              break;
            case 'paths':
              world.setPaths(path, (index) => ((choice >> index) & 1) === 1);
              break;
            default:
              world.paths.delete([...world.paths.keys()][choice % world.paths.size] ?? '');
              world.paths.set(`${name}-${world.clock.monotonicMilliseconds()}-${choice}`, path);
              world.register();
          }
        }
        world.setPaths(Path.Hanging);
        await world.ticks(PARTITION_TICKS);
        expect(world.state).toBe(ReachState.Unreachable);
        world.setPaths(Path.Open);
        await world.ticks(RETURN_TICKS);
        expect(world.state).toBe(ReachState.Reachable);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });
});
