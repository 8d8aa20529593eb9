import fc from 'fast-check';
import { expect, it } from 'vitest';
import { invariant } from 'hickoryrelay/Invariant';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { fuzzSettings } from 'hickoryrelay-standin/FuzzSettings';

import { EngineFault, startInstance, UsageSimulation } from './UsageSimulation.js';
import type { UsageSeal } from '../../UsageSeal.js';
import type { TestInstance } from './UsageSimulation.js';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { UsageLineEntry } from 'hickoryrelay-link/PeerMessages';

const { seed: SEED, runs: RUNS, path: PATH, replayPath: REPLAY_PATH } = fuzzSettings(30);
const REPLAY = REPLAY_PATH === undefined ? {} : { replayPath: REPLAY_PATH };
const ZONES = ['zone-a', 'zone-b'];
const NAMES = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2'];
const KEY_COUNT = 6;
const FAULT_TALLY = new FaultTally();
const INJECTED_FAULTS = [
  FaultKind.Kill,
  FaultKind.Pause,
  FaultKind.CutMessage,
  FaultKind.LostMessage,
  FaultKind.RepeatedMessage,
  FaultKind.DelayedMessage,
  FaultKind.Outage,
  FaultKind.Refusal,
  FaultKind.LostResponse,
  FaultKind.LateEffect,
  FaultKind.AuthorityChange,
];

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string) {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => groups.set(keyOf(item), [...(groups.get(keyOf(item)) ?? []), item]));
  return groups;
}

/** Expected usage of a call. Each call has its own account, which identifies its lines. */
interface OracleCall {
  readonly account: string;
  readonly owner: TestInstance;
  readonly completionTokens: number;
  isClosed: boolean;
  /** True if a seal counted the call before `close` resolved. */
  isSealed: boolean;
  /** Instances that stored the final token counts when `close` resolved. */
  replicaPeers: readonly TestInstance[];
}

/** Expected and observed results of a scenario. */
class Oracle {
  readonly calls: OracleCall[] = [];

  readonly sealed: UsageLineEntry[] = [];

  readonly sealedWindows: string[] = [];

  readonly grants: string[] = [];

  /** Calls that an instance may have counted with their last progress, without an engine count. */
  estimable = 0;

  /** Calls lost because their owner and all replica peers were killed. */
  lost = 0;
}

class SystemUnderTest {
  readonly simulation: UsageSimulation;

  constructor(
    seed: number,
    readonly oracle: Oracle,
  ) {
    this.simulation = new UsageSimulation(seed, undefined, FAULT_TALLY);
    this.simulation.table.subscribe(({ events }) => {
      for (const event of events) {
        if (event.type === 'put' && /^\/hickoryrelay\/usage\/.*\/\d+$/u.test(event.value.key)) {
          const seal = JSON.parse(event.value.value) as UsageSeal;
          this.oracle.sealed.push(...seal.lines);
          this.oracle.sealedWindows.push(event.value.key);
        }
      }
    });
    NAMES.forEach((name) => startInstance(this.simulation, name, `zone-${name[0]}`));
    ZONES.forEach((zone, index) => this.simulation.grantAuthority(zone, this.at(index * 3)));
  }

  at(index: number): TestInstance {
    const name = NAMES[index % NAMES.length];
    const found = this.simulation.live.find(({ identity }) => identity.name === name);
    invariant(found !== undefined, `no live instance ${name}`);
    return found;
  }

  startCall(instance: TestInstance, durationMilliseconds: number, tokens: number): void {
    const { oracle, simulation } = this;
    const account = `call-${oracle.calls.length}`;
    const call: OracleCall = {
      ...{
        account,
        owner: instance,
        completionTokens: tokens,
        isClosed: false,
        isSealed: false,
        replicaPeers: [],
      },
    };
    oracle.calls.push(call);
    const end = simulation.now() + durationMilliseconds;
    const metered = instance.usage.meter.open(
      serviceCall(account, 'ask', account),
      `engine-${tokens % 3}`,
    );
    const { incarnation } = instance.identity;
    const sequence = instance.nextSequence();
    simulation.engineCounts.set(account, () => {
      const isFinished = simulation.now() >= end || instance.clock.isKilled;
      const completionTokens = simulation.now() >= end ? tokens : Math.floor(tokens / 2);
      return { isFinished, promptTokens: 7, completionTokens };
    });
    instance.clock.schedule(durationMilliseconds / 2, () =>
      metered.progress(Math.floor(tokens / 2)),
    );
    instance.clock.schedule(durationMilliseconds, () => {
      void metered.close({ promptTokens: 7, completionTokens: tokens }).then(() => {
        call.isClosed = true;
        call.replicaPeers = simulation.instances.filter((each) =>
          each.usage.replica.hasFinalCounts(incarnation, sequence),
        );
        call.isSealed = oracle.sealed.some(([sealed]) => sealed === account);
      });
    });
  }

  async claim(instance: TestInstance, key: number, isAnswered: boolean): Promise<void> {
    const call = serviceCall(
      `claim-${this.simulation.random.identifier(8)}`,
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
      // The claim failed, so the call is not sent.
    }
  }

  async settle(): Promise<void> {
    const { simulation } = this;
    Object.assign(simulation.faults, { messageLoss: 0, messageDuplicates: 0, lostResponses: 0 });
    Object.assign(simulation.faults, {
      messageDelayMilliseconds: 0,
      isStoreUnavailable: false,
      isSinkUnavailable: false,
    });
    simulation.faults.engines = EngineFault.None;
    simulation.cutLinks.clear();
    simulation.live.forEach((instance) => instance.resume());
    ZONES.forEach((zone, index) => simulation.grantAuthority(zone, this.at(index * 3)));
    // Ends 45 s into a window, by when the seal of the previous window must be reported.
    const windowOffsetMilliseconds = simulation.clock.wallMilliseconds() % 60_000;
    await simulation.clock.advance(300_000 - windowOffsetMilliseconds + 45_000);
  }

  check(): void {
    const { oracle, simulation } = this;
    const lines = groupBy(oracle.sealed, ([account]) => account);
    for (const call of oracle.calls) {
      const linesOfCall = lines.get(call.account) ?? [];
      const count = linesOfCall.reduce((sum, line) => sum + line[4], 0);
      const tokens = linesOfCall.reduce((sum, line) => sum + line[6], 0);
      expect(count, `${call.account} counted ${count} times`).toBeLessThanOrEqual(1);
      const isLost =
        call.owner.clock.isKilled && call.replicaPeers.every(({ clock }) => clock.isKilled);
      if (call.isClosed && !isLost) {
        const { incarnation } = call.owner.identity;
        expect(count, `${call.account} of ${incarnation} closed and not counted`).toBe(1);
      }
      if (simulation.estimableRequests.has(call.account)) {
        oracle.estimable += 1;
        expect(tokens, `${call.account} estimated too high`).toBeLessThanOrEqual(
          call.completionTokens,
        );
      } else if (count === 1 && call.isClosed) {
        expect(tokens, `${call.account} counted with wrong tokens`).toBe(call.completionTokens);
      }
      oracle.lost += call.isClosed && count === 0 ? 1 : 0;
    }
    for (const { usage, identity } of simulation.instances) {
      const unreplicated = oracle.calls.filter(
        ({ owner, isClosed, isSealed, replicaPeers }) =>
          owner.identity === identity && isClosed && !isSealed && replicaPeers.length === 0,
      );
      const { closedWithoutPeer, closedUnacknowledged } = usage.meter.counts;
      expect(
        unreplicated.length,
        'closed without a replica and not counted as such',
      ).toBeLessThanOrEqual(closedWithoutPeer + closedUnacknowledged);
    }
    const reports = groupBy(
      simulation.submittedReports,
      (report) => `${report.zone} ${report.windowStartMilliseconds}`,
    );
    for (const [window, reportsOfWindow] of reports) {
      const reportedLines = new Set(reportsOfWindow.map((report) => JSON.stringify(report.lines)));
      const fencingNumbers = new Set(reportsOfWindow.map((report) => report.fencingNumber));
      expect(reportedLines.size, `${window} reported with different lines`).toBe(1);
      expect(fencingNumbers.size, `${window} reported by two authority holders`).toBe(1);
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

/** One command of a scenario, with its parameters. */
class ScenarioCommand implements fc.AsyncCommand<Oracle, SystemUnderTest> {
  constructor(
    readonly name: string,
    readonly parameters: readonly number[],
    readonly apply: (system: SystemUnderTest) => void | Promise<void>,
  ) {}

  check(): boolean {
    return true;
  }

  async run(oracle: Oracle, system: SystemUnderTest): Promise<void> {
    await this.apply(system);
  }

  toString(): string {
    return `${this.name}(${this.parameters.join(', ')})`;
  }
}

const index = fc.nat({ max: NAMES.length - 1 });
const share = fc.constantFrom(0, 0, 0.1, 0.5);

/** Starts calls of 1 ms to the maximum duration at consecutive instances. */
const traffic = (count: number, maximumMilliseconds: number) =>
  fc
    .tuple(
      index,
      fc.integer({ min: 1, max: maximumMilliseconds }),
      fc.integer({ min: 2, max: 900 }),
    )
    .map(
      (parameters) =>
        new ScenarioCommand(`traffic ${count}`, parameters, (system) => {
          for (let offset = 0; offset < count; offset += 1) {
            system.startCall(
              system.at(parameters[0] + offset),
              1 + Math.floor(parameters[1] / (offset + 1)),
              parameters[2] + offset,
            );
          }
        }),
    );

const COMMANDS = [
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
      (parameters) =>
        new ScenarioCommand('claim', parameters, (system) => {
          for (let offset = 0; offset < parameters[3]; offset += 1) {
            void system.claim(
              system.at(parameters[0] + offset),
              parameters[1],
              parameters[2] === 1,
            );
          }
        }),
    ),
  fc.tuple(fc.integer({ min: 4000, max: 20_000 })).map(
    (parameters) =>
      new ScenarioCommand('advance into window', parameters, ({ simulation }) => {
        const windowOffsetMilliseconds = simulation.clock.wallMilliseconds() % 60_000;
        return simulation.clock.advance(60_000 - windowOffsetMilliseconds + parameters[0]);
      }),
  ),
  fc
    .tuple(fc.integer({ min: 1, max: 30_000 }))
    .map(
      (parameters) =>
        new ScenarioCommand('advance', parameters, ({ simulation }) =>
          simulation.clock.advance(parameters[0]),
        ),
    ),
  fc
    .tuple(fc.integer({ min: 1, max: 400 }))
    .map(
      (parameters) =>
        new ScenarioCommand('advance', parameters, ({ simulation }) =>
          simulation.clock.advance(parameters[0]),
        ),
    ),
  fc.tuple(index).map(
    (parameters) =>
      new ScenarioCommand('kill', parameters, (system) => {
        const instance = system.at(parameters[0]);
        const { name, zone } = instance.identity;
        const wasHolder = instance.authority.isHeld;
        instance.kill();
        const next = startInstance(system.simulation, name, zone);
        if (wasHolder) {
          system.simulation.grantAuthority(zone, next);
        }
      }),
  ),
  fc
    .tuple(index)
    .map(
      (parameters) =>
        new ScenarioCommand('pause', parameters, (system) => system.at(parameters[0]).pause()),
    ),
  fc
    .tuple(index)
    .map(
      (parameters) =>
        new ScenarioCommand('resume', parameters, (system) => system.at(parameters[0]).resume()),
    ),
  fc.tuple(index, index).map(
    (parameters) =>
      new ScenarioCommand('cut', parameters, ({ simulation }) => {
        simulation.cutLinks.set(
          UsageSimulation.linkKey(NAMES[parameters[0]] ?? '', NAMES[parameters[1]] ?? ''),
          simulation.now(),
        );
      }),
  ),
  fc
    .constant([])
    .map(
      (parameters) =>
        new ScenarioCommand('heal', parameters, ({ simulation }) => simulation.cutLinks.clear()),
    ),
  fc.tuple(share, share, fc.constantFrom(0, 800, 8000, 70_000)).map(
    (parameters) =>
      new ScenarioCommand('links', parameters, ({ simulation }) => {
        const [messageLoss, messageDuplicates, messageDelayMilliseconds] = parameters;
        Object.assign(simulation.faults, {
          messageLoss,
          messageDuplicates,
          messageDelayMilliseconds,
        });
      }),
  ),
  fc.tuple(fc.constantFrom(0, 0, 0, 1), share, fc.constantFrom(0, 0, 0, 1)).map(
    (parameters) =>
      new ScenarioCommand('platform', parameters, ({ simulation }) => {
        const [isStoreUnavailable, lostResponses, isSinkUnavailable] = parameters;
        Object.assign(simulation.faults, {
          isStoreUnavailable: isStoreUnavailable === 1,
          lostResponses,
        });
        Object.assign(simulation.faults, { isSinkUnavailable: isSinkUnavailable === 1 });
      }),
  ),
  fc.nat({ max: 2 }).map(
    (fault) =>
      new ScenarioCommand('engines', [fault], ({ simulation }) => {
        Object.assign(simulation.faults, { engines: Object.values(EngineFault)[fault] });
      }),
  ),
  fc
    .tuple(index)
    .map(
      (parameters) =>
        new ScenarioCommand('authority', parameters, (system) =>
          system.simulation.grantAuthority(
            system.at(parameters[0]).identity.zone,
            system.at(parameters[0]),
          ),
        ),
    ),
];

// Guards against usage that is lost or counted twice, reports that differ and calls that run twice.
it('counts each call once, reports one set of lines and grants each claim once', async () => {
  let [calls, lost, estimable] = [0, 0, 0];
  await fc.assert(
    fc.asyncProperty(
      fc.nat(),
      fc.commands(COMMANDS, { maxCommands: 60, size: 'max', ...REPLAY }),
      async (seed, commands) => {
        const oracle = new Oracle();
        const system = new SystemUnderTest(seed, oracle);
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
    `usage fuzz: seed ${SEED}, ${RUNS} runs, ${calls} calls, ${lost} lost with all replicas, ` +
      `${estimable} that may be estimated\n`,
  );
  process.stdout.write(FAULT_TALLY.describe('usage', INJECTED_FAULTS));
}, 900_000);
