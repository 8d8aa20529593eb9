import fc from 'fast-check';
import { expect, it } from 'vitest';
import { invariant } from 'hickoryrelay/Invariant';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { fuzzSettings } from 'hickoryrelay-standin/FuzzSettings';

import { EngineFault, startInstance, World } from './TestWorld.js';
import type { UsageSeal } from '../../UsageSeal.js';
import type { TestInstance } from './TestWorld.js';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { UsageLineEntry } from 'hickoryrelay-link/PeerMessages';

const { seed: SEED, runs: RUNS, path: PATH, replayPath: REPLAY_PATH } = fuzzSettings(30);
const REPLAY = REPLAY_PATH === undefined ? {} : { replayPath: REPLAY_PATH };
const ZONES = ['zone-a', 'zone-b'];
const NAMES = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2'];
const KEY_COUNT = 6;
const TALLY = new FaultTally();
const FAULTS = [
  FaultKind.Kill,
  FaultKind.Pause,
  FaultKind.CutMessage,
  FaultKind.LostMessage,
  FaultKind.RepeatedMessage,
  FaultKind.DelayedMessage,
  FaultKind.Outage,
  FaultKind.Refusal,
  FaultKind.LostAnswer,
  FaultKind.LateEffect,
  FaultKind.AuthorityChange,
];

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string) {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => groups.set(keyOf(item), [...(groups.get(keyOf(item)) ?? []), item]));
  return groups;
}

/** A call as the oracle knows it; its account is its own, so that its lines can be told apart. */
interface OracleCall {
  readonly account: string;
  readonly owner: TestInstance;
  readonly figure: number;
  isClosed: boolean;
  /** True if a seal counted the call before `close` resolved. */
  isSealed: boolean;
  /** Instances that held the final figure when `close` resolved. */
  holders: readonly TestInstance[];
}

/** What the oracle remembers. */
class Oracle {
  readonly calls: OracleCall[] = [];

  readonly sealed: UsageLineEntry[] = [];

  readonly sealedWindows: string[] = [];

  readonly grants: string[] = [];

  /** Calls of which an instance may have counted the last progress, for want of the engine's count. */
  estimable = 0;

  /** Calls whose owner and all holders were killed. */
  lost = 0;
}

class System {
  readonly world: World;

  constructor(
    seed: number,
    readonly oracle: Oracle,
  ) {
    this.world = new World(seed, undefined, TALLY);
    this.world.table.subscribe(({ events }) => {
      for (const event of events) {
        if (event.type === 'put' && /^\/hickoryrelay\/usage\/.*\/\d+$/u.test(event.value.key)) {
          const seal = JSON.parse(event.value.value) as UsageSeal;
          this.oracle.sealed.push(...seal.lines);
          this.oracle.sealedWindows.push(event.value.key);
        }
      }
    });
    NAMES.forEach((name) => startInstance(this.world, name, `zone-${name[0]}`));
    ZONES.forEach((zone, index) => this.world.grantAuthority(zone, this.at(index * 3)));
  }

  at(index: number): TestInstance {
    const name = NAMES[index % NAMES.length];
    const found = this.world.live.find(({ identity }) => identity.name === name);
    invariant(found !== undefined, `no live instance ${name}`);
    return found;
  }

  call(instance: TestInstance, duration: number, tokens: number): void {
    const { oracle, world } = this;
    const account = `call-${oracle.calls.length}`;
    const call: OracleCall = {
      ...{
        account,
        owner: instance,
        figure: tokens,
        isClosed: false,
        isSealed: false,
        holders: [],
      },
    };
    oracle.calls.push(call);
    const end = world.now() + duration;
    const metered = instance.usage.meter.open(
      serviceCall(account, 'ask', account),
      `engine-${tokens % 3}`,
    );
    const { incarnation } = instance.identity;
    const sequence = instance.nextSequence();
    world.engineCounts.set(account, () => {
      const isFinished = world.now() >= end || instance.clock.isKilled;
      const completionTokens = world.now() >= end ? tokens : Math.floor(tokens / 2);
      return { isFinished, promptTokens: 7, completionTokens };
    });
    instance.clock.schedule(duration / 2, () => metered.progress(Math.floor(tokens / 2)));
    instance.clock.schedule(duration, () => {
      void metered.close({ promptTokens: 7, completionTokens: tokens }).then(() => {
        call.isClosed = true;
        call.holders = world.instances.filter((each) =>
          each.usage.replica.hasFinalCounts(incarnation, sequence),
        );
        call.isSealed = oracle.sealed.some(([sealed]) => sealed === account);
      });
    });
  }

  async claim(instance: TestInstance, key: number, isAnswered: boolean): Promise<void> {
    const call = serviceCall(
      `claim-${this.world.random.identifier(8)}`,
      'book',
      `key-${key}`,
      'account',
    );
    try {
      const outcome = await instance.claims.claim(call);
      if (outcome.kind === 'granted') {
        this.oracle.grants.push(`key-${key}`);
        if (isAnswered) {
          const body = Buffer.from(`key-${key}`);
          await instance.claims.store(call, { status: 200, contentType: 'text/plain', body });
        }
      } else if (outcome.kind === 'answered') {
        expect(outcome.answer.body.toString()).toBe(`key-${key}`);
      }
    } catch {
      // Refused as not run.
    }
  }

  async settle(): Promise<void> {
    const { world } = this;
    Object.assign(world.faults, { messageLoss: 0, messageDuplicates: 0, lostAnswers: 0 });
    Object.assign(world.faults, { messageDelay: 0, storeOut: false, sinkOut: false });
    world.faults.engines = EngineFault.None;
    world.cuts.clear();
    world.live.forEach((instance) => instance.resume());
    ZONES.forEach((zone, index) => world.grantAuthority(zone, this.at(index * 3)));
    // Ends well after a window was due, so that its seal must be reported.
    const intoWindow = world.clock.wallMilliseconds() % 60_000;
    await world.clock.advance(300_000 - intoWindow + 45_000);
  }

  check(): void {
    const { oracle, world } = this;
    const lines = groupBy(oracle.sealed, ([account]) => account);
    for (const call of oracle.calls) {
      const own = lines.get(call.account) ?? [];
      const count = own.reduce((sum, line) => sum + line[4], 0);
      const tokens = own.reduce((sum, line) => sum + line[6], 0);
      expect(count, `${call.account} counted ${count} times`).toBeLessThanOrEqual(1);
      const isLost = call.owner.clock.isKilled && call.holders.every(({ clock }) => clock.isKilled);
      if (call.isClosed && !isLost) {
        const { incarnation } = call.owner.identity;
        expect(count, `${call.account} of ${incarnation} closed and not counted`).toBe(1);
      }
      if (world.estimable.has(call.account)) {
        oracle.estimable += 1;
        expect(tokens, `${call.account} estimated too high`).toBeLessThanOrEqual(call.figure);
      } else if (count === 1 && call.isClosed) {
        expect(tokens, `${call.account} counted with a wrong figure`).toBe(call.figure);
      }
      oracle.lost += call.isClosed && count === 0 ? 1 : 0;
    }
    for (const { usage, identity } of world.instances) {
      const unsafe = oracle.calls.filter(
        ({ owner, isClosed, isSealed, holders }) =>
          owner.identity === identity && isClosed && !isSealed && holders.length === 0,
      );
      const { closedWithoutPeer, closedUnacknowledged } = usage.meter.counts;
      expect(unsafe.length, 'closed without a holder and not noted').toBeLessThanOrEqual(
        closedWithoutPeer + closedUnacknowledged,
      );
    }
    const reports = groupBy(
      world.submitted,
      (report) => `${report.zone} ${report.windowStartMilliseconds}`,
    );
    for (const [window, same] of reports) {
      const figures = new Set(same.map((report) => JSON.stringify(report.lines)));
      const holders = new Set(same.map((report) => report.fencingNumber));
      expect(figures.size, `${window} reported with different figures`).toBe(1);
      expect(holders.size, `${window} reported by two holders`).toBe(1);
    }
    expect(reports.size, 'windows reported').toBeGreaterThan(0);
    expect(reports.size, 'sealed windows reported').toBe(oracle.sealedWindows.length);
    expect(new Set(oracle.grants).size, 'a claimed call was granted twice').toBe(
      oracle.grants.length,
    );
  }
}

function serviceCall(request: string, route: string, key: string, account = request): ServiceCall {
  return {
    ...{ kind: 'service', requestIdentifier: request, accountName: account, className: 'work' },
    ...{ keyIdentifier: undefined, arrivalMilliseconds: 0, deadlineMilliseconds: 1e9 },
    ...{ isIdempotent: false, idempotencyKey: key, route, method: 'POST', path: '/' },
    ...{ contentType: undefined, body: Buffer.from(key) },
  };
}

/** One command of a scenario: an event of the world, with its parameters. */
class Event implements fc.AsyncCommand<Oracle, System> {
  constructor(
    readonly name: string,
    readonly parameters: readonly number[],
    readonly apply: (system: System) => void | Promise<void>,
  ) {}

  check(): boolean {
    return true;
  }

  async run(oracle: Oracle, system: System): Promise<void> {
    await this.apply(system);
  }

  toString(): string {
    return `${this.name}(${this.parameters.join(', ')})`;
  }
}

const index = fc.nat({ max: NAMES.length - 1 });
const share = fc.constantFrom(0, 0, 0.1, 0.5);

/** Calls of 1 ms to the longest duration at one instance, or at all. */
const traffic = (count: number, longest: number) =>
  fc.tuple(index, fc.integer({ min: 1, max: longest }), fc.integer({ min: 2, max: 900 })).map(
    (p) =>
      new Event(`traffic ${count}`, p, (system) => {
        for (let each = 0; each < count; each += 1) {
          system.call(system.at(p[0] + each), 1 + Math.floor(p[1] / (each + 1)), p[2] + each);
        }
      }),
  );

const EVENTS = [
  traffic(2, 3000),
  traffic(5, 40_000),
  traffic(10, 100_000),
  fc
    .tuple(
      index,
      fc.nat({ max: KEY_COUNT - 1 }),
      fc.nat({ max: 1 }),
      fc.integer({ min: 1, max: 4 }),
    )
    .map(
      (p) =>
        new Event('claim', p, (system) => {
          for (let each = 0; each < p[3]; each += 1) {
            void system.claim(system.at(p[0] + each), p[1], p[2] === 1);
          }
        }),
    ),
  fc.tuple(fc.integer({ min: 4000, max: 20_000 })).map(
    (p) =>
      new Event('advance into window', p, ({ world }) => {
        const intoWindow = world.clock.wallMilliseconds() % 60_000;
        return world.clock.advance(60_000 - intoWindow + p[0]);
      }),
  ),
  fc
    .tuple(fc.integer({ min: 1, max: 30_000 }))
    .map((p) => new Event('advance', p, ({ world }) => world.clock.advance(p[0]))),
  fc
    .tuple(fc.integer({ min: 1, max: 400 }))
    .map((p) => new Event('advance', p, ({ world }) => world.clock.advance(p[0]))),
  fc.tuple(index).map(
    (p) =>
      new Event('kill', p, (system) => {
        const instance = system.at(p[0]);
        const { name, zone } = instance.identity;
        const wasHolder = instance.authority.isHeld;
        instance.kill();
        const next = startInstance(system.world, name, zone);
        if (wasHolder) {
          system.world.grantAuthority(zone, next);
        }
      }),
  ),
  fc.tuple(index).map((p) => new Event('pause', p, (system) => system.at(p[0]).pause())),
  fc.tuple(index).map((p) => new Event('resume', p, (system) => system.at(p[0]).resume())),
  fc.tuple(index, index).map(
    (p) =>
      new Event('cut', p, ({ world }) => {
        world.cuts.set(World.pair(NAMES[p[0]] ?? '', NAMES[p[1]] ?? ''), world.now());
      }),
  ),
  fc.constant([]).map((p) => new Event('heal', p, ({ world }) => world.cuts.clear())),
  fc.tuple(share, share, fc.constantFrom(0, 800, 8000, 70_000)).map(
    (p) =>
      new Event('links', p, ({ world }) => {
        const [messageLoss, messageDuplicates, messageDelay] = p;
        Object.assign(world.faults, { messageLoss, messageDuplicates, messageDelay });
      }),
  ),
  fc.tuple(fc.constantFrom(0, 0, 0, 1), share, fc.constantFrom(0, 0, 0, 1)).map(
    (p) =>
      new Event('platform', p, ({ world }) => {
        const [storeOut, lostAnswers, sinkOut] = p;
        Object.assign(world.faults, { storeOut: storeOut === 1, lostAnswers });
        Object.assign(world.faults, { sinkOut: sinkOut === 1 });
      }),
  ),
  fc.nat({ max: 2 }).map(
    (p) =>
      new Event('engines', [p], ({ world }) => {
        Object.assign(world.faults, { engines: Object.values(EngineFault)[p] });
      }),
  ),
  fc
    .tuple(index)
    .map(
      (p) =>
        new Event('authority', p, (system) =>
          system.world.grantAuthority(system.at(p[0]).identity.zone, system.at(p[0])),
        ),
    ),
];

// Guards against usage that is lost or counted twice, reports that differ, and calls that run twice.
it('counts each call once, reports one figure and grants each claim once', async () => {
  let [calls, lost, estimable] = [0, 0, 0];
  await fc.assert(
    fc.asyncProperty(
      fc.nat(),
      fc.commands(EVENTS, { maxCommands: 60, size: 'max', ...REPLAY }),
      async (seed, commands) => {
        const oracle = new Oracle();
        const system = new System(seed, oracle);
        await fc.asyncModelRun(() => ({ model: oracle, real: system }), commands);
        await system.settle();
        system.check();
        calls += oracle.calls.length;
        lost += oracle.lost;
        estimable += oracle.estimable;
      },
    ),
    {
      numRuns: RUNS,
      seed: SEED,
      endOnFailure: process.env.FUZZ_SHRINK === undefined,
      ...(PATH === undefined ? {} : { path: PATH }),
    },
  );
  process.stdout.write(
    `usage fuzz: seed ${SEED}, ${RUNS} runs, ${calls} calls, ${lost} lost with all their holders, ` +
      `${estimable} that may be estimated\n`,
  );
  process.stdout.write(TALLY.describe('usage', FAULTS));
}, 900_000);
