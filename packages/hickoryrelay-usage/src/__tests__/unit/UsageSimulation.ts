import { FailureKind } from 'hickoryrelay/Failure';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import { StoreEra } from 'hickoryrelay-platform/StoreEra';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import { UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';

import { Authority } from '../../Authority.js';
import { EngineUsageSource } from '../../EngineUsageSource.js';
import { InstanceLiveness } from '../../InstanceLiveness.js';
import { InstanceUsage } from '../../InstanceUsage.js';
import { KeyValueClaimRegister } from '../../KeyValueClaimRegister.js';
import { usageTasks } from '../../UsageTasks.js';

import type { EngineCount } from '../../EngineUsageSource.js';
import type { ReplicationSettings } from '../../UsageMeter.js';
import type {
  InstanceIdentity,
  PeerMessage,
  ReceivedPeerMessage,
} from 'hickoryrelay-link/PeerMessages';
import type { Comparison, RangeResult, Transaction } from 'hickoryrelay-platform/KeyValueStore';
import type { UsageReport } from 'hickoryrelay-platform/UsageReportSink';

const LINK_TIMEOUT_MILLISECONDS = 3000;
const DEAD_AFTER_MILLISECONDS = 15_000;
const PLATFORM_TIMEOUT_MILLISECONDS = 2000;
const ESTIMATE_AFTER_MILLISECONDS = 60_000;

/** How the engines respond to queries for the token counts of a request. */
export const EngineFault = {
  None: 'none',
  /** No response. */
  Unavailable: 'unavailable',
  /** A response without token counts, as after a restart. */
  NoCount: 'no-count',
} as const;

export type EngineFault = (typeof EngineFault)[keyof typeof EngineFault];

/** Faults of the simulation, which tests change while it runs. */
export interface SimulationFaults {
  messageLoss: number;
  messageDuplicates: number;
  messageDelayMilliseconds: number;
  isStoreUnavailable: boolean;
  /** Share of platform calls whose response is lost, before or after they take effect. */
  lostResponses: number;
  isSinkUnavailable: boolean;
  engines: EngineFault;
}

/** Simulates the environment of the instances: time, links, the platform and the engines. */
export class UsageSimulation {
  readonly clock = new ManualClock();

  readonly random: SeededRandomSource;

  readonly table = new KeyValueTable(this.clock);

  readonly faults: SimulationFaults = {
    ...{ messageLoss: 0, messageDuplicates: 0, messageDelayMilliseconds: 0, lostResponses: 0 },
    ...{ isStoreUnavailable: false, isSinkUnavailable: false, engines: EngineFault.None },
  };

  readonly instances: TestInstance[] = [];

  readonly submittedReports: UsageReport[] = [];

  readonly engineCounts = new Map<string, () => EngineCount>();

  /** Requests that an instance may estimate, since it got no engine count for long enough. */
  readonly estimableRequests = new Set<string>();

  /** Cut links by the names of both ends, with the time of the cut. */
  readonly cutLinks = new Map<string, number>();

  /** Called with each message that is sent. */
  readonly observers: ((from: string, to: string, message: PeerMessage) => void)[] = [];

  readonly counts = { reads: 0, writes: 0 };

  constructor(
    seed: number,
    readonly replication?: ReplicationSettings,
    readonly tally = new FaultTally(),
  ) {
    this.random = new SeededRandomSource(seed);
  }

  get live(): readonly TestInstance[] {
    return this.instances.filter(({ clock }) => !clock.isKilled);
  }

  now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Time for which an instance has received no messages from another one. */
  silenceMilliseconds(left: TestInstance, right: TestInstance): number {
    const cutAt = this.cutLinks.get(
      UsageSimulation.linkKey(left.identity.name, right.identity.name),
    );
    const sinceMilliseconds = Math.min(right.silentSinceMilliseconds, cutAt ?? Infinity);
    return Math.max(0, this.now() - sinceMilliseconds);
  }

  deliver(from: TestInstance, name: string, message: PeerMessage): void {
    const { messageLoss, messageDuplicates, messageDelayMilliseconds } = this.faults;
    const target = this.live.find(({ identity }) => identity.name === name);
    const copies = this.random.fraction() < messageDuplicates ? 2 : 1;
    this.observers.forEach((observe) => observe(from.identity.name, name, message));
    if (copies > 1) {
      this.tally.count(FaultKind.RepeatedMessage);
    }
    for (let copy = 0; copy < copies; copy += 1) {
      const delayMilliseconds = 1 + this.random.fraction() * messageDelayMilliseconds;
      const isCut = this.cutLinks.has(UsageSimulation.linkKey(from.identity.name, name));
      const isLost = isCut || this.random.fraction() < messageLoss;
      if (isLost) {
        this.tally.count(isCut ? FaultKind.CutMessage : FaultKind.LostMessage);
      } else if (messageDelayMilliseconds > 0) {
        this.tally.count(FaultKind.DelayedMessage);
      }
      if (target !== undefined && !isLost) {
        const received = structuredClone({ from: from.identity, message });
        this.clock.schedule(delayMilliseconds, () =>
          target.clock.receive(() => target.network.push(received)),
        );
      }
    }
  }

  static linkKey(left: string, right: string): string {
    return [left, right].toSorted().join('|');
  }

  /** Grants the authority over a zone to an instance. Ends the term of the previous holder. */
  grantAuthority(zone: string, holder: TestInstance): void {
    const key = `/authority/${zone}`;
    if (this.instances.some((each) => each !== holder && each.holdsAuthority(zone))) {
      this.tally.count(FaultKind.AuthorityChange);
    }
    this.instances
      .filter((each) => each.identity.zone === zone)
      .forEach((each) => each.loseAuthority());
    this.table.commit({
      compare: [],
      success: [
        { type: 'delete', key },
        { type: 'put', key: `/fencing/${zone}`, value: '' },
      ],
      failure: [],
    });
    const value = holder.identity.incarnation;
    this.table.commit({ compare: [], success: [{ type: 'put', key, value }], failure: [] });
    const term = this.table.range(key).values[0]?.createRevision.number ?? 0;
    holder.startTerm(term, this.now());
  }
}

/** Links of one instance, with the faults of the simulation. */
class TestNetwork extends PeerNetwork {
  private readonly queue: ReceivedPeerMessage[] = [];

  private wake = () => {};

  constructor(private readonly owner: TestInstance) {
    super();
  }

  override get identity(): InstanceIdentity {
    return this.owner.identity;
  }

  override connectedPeers(): readonly InstanceIdentity[] {
    const { simulation } = this.owner;
    return simulation.instances
      .filter(
        (each) =>
          each !== this.owner &&
          simulation.silenceMilliseconds(this.owner, each) < LINK_TIMEOUT_MILLISECONDS,
      )
      .map(({ identity }) => identity);
  }

  override send(name: string, message: PeerMessage): boolean {
    if (!this.connectedPeers().some((peer) => peer.name === name)) {
      return false;
    }
    this.owner.simulation.deliver(this.owner, name, message);
    return true;
  }

  push(received: ReceivedPeerMessage): void {
    this.queue.push(received);
    this.wake();
  }

  override async *messages(): AsyncGenerator<ReceivedPeerMessage, void, void> {
    for (;;) {
      yield* this.queue.splice(0);
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }
}

function platformUnavailable(mayHaveTakenEffect: boolean): RelayError {
  const kind = FailureKind.PlatformUnavailable;
  return new RelayError({ kind, service: 'test', reason: 'fault', mayHaveTakenEffect });
}

/** Runs a platform call of one instance, with the faults of the simulation. */
async function callPlatform<Result>(
  { simulation, clock }: TestInstance,
  maximumDelayMilliseconds: number,
  isUnavailable: () => boolean,
  effect: () => Result,
): Promise<Result> {
  const { random, faults } = simulation;
  const isLost = random.fraction() < faults.lostResponses;
  // A call whose response is lost takes effect before the timeout, after it, or never.
  const isDelayedLong = random.fraction() < 0.2;
  const maximumMilliseconds = isDelayedLong
    ? maximumDelayMilliseconds
    : 2 * PLATFORM_TIMEOUT_MILLISECONDS;
  const delayMilliseconds = isLost ? random.fraction() * maximumMilliseconds : 2;
  const isDropped = isLost && random.fraction() < 0.3;
  return new Promise<Result>((resolve, reject) => {
    simulation.clock.schedule(delayMilliseconds, () => {
      if (isUnavailable() || isDropped) {
        simulation.tally.count(isUnavailable() ? FaultKind.Outage : FaultKind.Refusal);
        clock.receive(() => reject(platformUnavailable(isLost)));
        return;
      }
      const result = effect();
      if (isLost) {
        const isLate = delayMilliseconds > PLATFORM_TIMEOUT_MILLISECONDS;
        simulation.tally.count(isLate ? FaultKind.LateEffect : FaultKind.LostResponse);
      } else {
        clock.receive(() => resolve(result));
      }
    });
    if (isLost) {
      clock.schedule(PLATFORM_TIMEOUT_MILLISECONDS, () => reject(platformUnavailable(true)));
    }
  });
}

/** An in-memory key-value service, with the faults of the simulation. */
class TestStore extends KeyValueStore {
  override readonly era = new StoreEra(new ManualClock());

  constructor(private readonly owner: TestInstance) {
    super();
  }

  private call<Result>(kind: 'reads' | 'writes', effect: () => Result): Promise<Result> {
    const { simulation } = this.owner;
    simulation.counts[kind] += 1;
    return callPlatform(this.owner, 90_000, () => simulation.faults.isStoreUnavailable, effect);
  }

  override range(key: string, options?: { prefix?: boolean }): Promise<RangeResult> {
    return this.call('reads', () => this.owner.simulation.table.range(key, options?.prefix));
  }

  override commit(transaction: Transaction) {
    return this.call('writes', () => this.owner.simulation.table.commit(transaction));
  }

  override grantLease(seconds: number) {
    return this.call('writes', () => this.owner.simulation.table.grantLease(seconds));
  }

  override keepLeaseAlive(identifier: string) {
    return this.call('writes', () => this.owner.simulation.table.keepLeaseAlive(identifier));
  }

  override async revokeLease(): Promise<void> {
    throw platformUnavailable(false);
  }

  // eslint-disable-next-line require-yield
  override async *watch(): AsyncGenerator<never, void, void> {
    throw platformUnavailable(false);
  }
}

/** The usage report sink of the platform. Accepts all reports, so that tests can check them. */
class TestSink extends UsageReportSink {
  constructor(private readonly owner: TestInstance) {
    super();
  }

  private call<Result>(effect: () => Result): Promise<Result> {
    return callPlatform(
      this.owner,
      2 * PLATFORM_TIMEOUT_MILLISECONDS,
      () => this.owner.simulation.faults.isSinkUnavailable,
      effect,
    );
  }

  override async submit(report: UsageReport): Promise<void> {
    await this.call(() => this.owner.simulation.submittedReports.push(report));
  }

  override find(zone: string, start: number): Promise<UsageReport | undefined> {
    return this.call(() =>
      this.owner.simulation.submittedReports.find(
        (each) => each.zone === zone && each.windowStartMilliseconds === start,
      ),
    );
  }
}

class TestAuthority extends Authority {
  term = 0;

  sinceMilliseconds = Infinity;

  constructor(override readonly zone: string) {
    super();
  }

  override get fencingNumber(): number {
    return this.term;
  }

  override get isHeld(): boolean {
    return this.sinceMilliseconds < Infinity;
  }

  override get heldSinceMilliseconds(): number {
    return this.sinceMilliseconds;
  }

  override assertHeld(): void {
    if (!this.isHeld) {
      const { zone, term } = this;
      throw new RelayError({ kind: FailureKind.AuthorityLost, zone, fencingNumber: term });
    }
  }

  override comparison(): Comparison {
    const operand = new StoreRevision(0, this.term);
    return { key: `/authority/${this.zone}`, target: 'create-revision', operand };
  }
}

/** An entry instance that consists of usage accounting and a claim register. */
export class TestInstance {
  readonly clock: ProcessClock;

  readonly network: TestNetwork;

  readonly usage: InstanceUsage;

  readonly claims: KeyValueClaimRegister;

  readonly authority: TestAuthority;

  readonly store: KeyValueStore;

  readonly sink: UsageReportSink;

  silentSinceMilliseconds = Infinity;

  private openedRecordCount = 0;

  /** Time of the last engine count of a request, or of the first query without one. */
  private readonly lastCountMilliseconds = new Map<string, number>();

  /** True once any instance has considered this one dead. */
  wasConsideredDead = false;

  constructor(
    readonly simulation: UsageSimulation,
    readonly identity: InstanceIdentity,
  ) {
    const { random } = simulation;
    this.clock = new ProcessClock(simulation.clock);
    this.clock.tally = simulation.tally;
    this.network = new TestNetwork(this);
    this.authority = new TestAuthority(identity.zone);
    this.store = new TestStore(this);
    this.sink = new TestSink(this);
    const { store, sink } = this;
    const isDead = (incarnation: string) => this.considersDead(incarnation);
    const countOf = (request: string) => this.countOf(request);
    this.usage = new InstanceUsage({
      network: this.network,
      store,
      sink,
      authority: this.authority,
      liveness: new (class extends InstanceLiveness {
        override isDead = isDead;
      })(),
      engines: new (class extends EngineUsageSource {
        override count = async (endpoint: string, request: string) => countOf(request);
      })(),
      clock: this.clock,
      random,
      log: silentLogger,
      ...(simulation.replication === undefined ? {} : { replication: simulation.replication }),
    });
    this.claims = new KeyValueClaimRegister(store, this.clock, silentLogger);
    const lifecycle = new LifecycleManager(identity.name, this.clock, (owner, failure) => {
      throw new RelayError(failure);
    });
    usageTasks(this.usage).forEach((task) => lifecycle.start(task));
  }

  /** Sequence of the next usage record of this instance. */
  nextSequence(): number {
    this.openedRecordCount += 1;
    return this.openedRecordCount;
  }

  /** Whether this instance holds the authority over the zone. */
  holdsAuthority(zone: string): boolean {
    return this.identity.zone === zone && this.authority.isHeld;
  }

  kill(): void {
    this.silentSinceMilliseconds = Math.min(this.silentSinceMilliseconds, this.simulation.now());
    this.clock.kill();
  }

  pause(): void {
    this.silentSinceMilliseconds = Math.min(this.silentSinceMilliseconds, this.simulation.now());
    this.clock.pause();
  }

  resume(): void {
    if (!this.clock.isKilled) {
      this.silentSinceMilliseconds = Infinity;
      void this.clock.resume();
    }
  }

  startTerm(term: number, sinceMilliseconds: number): void {
    Object.assign(this.authority, { term, sinceMilliseconds });
  }

  loseAuthority(): void {
    this.authority.sinceMilliseconds = Infinity;
  }

  private countOf(request: string): EngineCount | undefined {
    const { faults, engineCounts, estimableRequests } = this.simulation;
    const now = this.simulation.now();
    const sinceMilliseconds = this.lastCountMilliseconds.get(request) ?? now;
    this.lastCountMilliseconds.set(
      request,
      faults.engines === EngineFault.None ? now : sinceMilliseconds,
    );
    if (faults.engines === EngineFault.None) {
      return engineCounts.get(request)?.();
    }
    if (now - sinceMilliseconds >= ESTIMATE_AFTER_MILLISECONDS) {
      estimableRequests.add(request);
    }
    if (faults.engines === EngineFault.Unavailable) {
      throw platformUnavailable(false);
    }
    return undefined;
  }

  private considersDead(incarnation: string): boolean {
    const other = this.simulation.instances.find(
      (each) => each.identity.incarnation === incarnation,
    );
    const isDead =
      other === undefined ||
      this.simulation.silenceMilliseconds(this, other) >= DEAD_AFTER_MILLISECONDS;
    if (isDead && other !== undefined) {
      other.wasConsideredDead = true;
    }
    return isDead;
  }
}

/** Starts a new incarnation of the named instance. */
export function startInstance(
  simulation: UsageSimulation,
  name: string,
  zone: string,
): TestInstance {
  const incarnation = `${name}.${simulation.instances.length}`;
  const instance = new TestInstance(simulation, { name, zone, incarnation });
  simulation.instances.push(instance);
  return instance;
}
