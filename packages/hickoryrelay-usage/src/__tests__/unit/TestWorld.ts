import { FailureKind } from 'hickoryrelay/Failure';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
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

const LINK_TIMEOUT = 3000;
const DEAD_AFTER = 15_000;
const STORE_TIMEOUT = 2000;
const ESTIMATE_AFTER = 60_000;

/** What the engines do when they are asked for their count of a request. */
export const EngineFault = {
  None: 'none',
  /** No answer. */
  Out: 'out',
  /** An answer without usage figures, as after a restart. */
  NoFigures: 'no-figures',
} as const;

export type EngineFault = (typeof EngineFault)[keyof typeof EngineFault];

/** Faults of the world, changed by commands while it runs. */
export interface WorldFaults {
  messageLoss: number;
  messageDuplicates: number;
  messageDelay: number;
  storeOut: boolean;
  /** Share of writes whose answer is lost, before or after they take effect. */
  lostAnswers: number;
  sinkOut: boolean;
  engines: EngineFault;
}

/** Everything around the instances: time, links, the platform and the engines. */
export class World {
  readonly clock = new ManualClock();

  readonly random: SeededRandomSource;

  readonly table = new KeyValueTable(this.clock);

  readonly faults: WorldFaults = {
    ...{ messageLoss: 0, messageDuplicates: 0, messageDelay: 0, lostAnswers: 0 },
    ...{ storeOut: false, sinkOut: false, engines: EngineFault.None },
  };

  readonly instances: TestInstance[] = [];

  readonly submitted: UsageReport[] = [];

  readonly engineCounts = new Map<string, () => EngineCount>();

  /** Requests for which some instance got no count in the time after which it may estimate. */
  readonly estimable = new Set<string>();

  /** Pairs of names with a cut link, and the time of the cut. */
  readonly cuts = new Map<string, number>();

  /** Observers of messages, to measure them. */
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

  /** Time for which one instance has not heard of another, in milliseconds. */
  silence(left: TestInstance, right: TestInstance): number {
    const cutAt = this.cuts.get(World.pair(left.identity.name, right.identity.name));
    const since = Math.min(right.silentSince, cutAt ?? Infinity);
    return Math.max(0, this.now() - since);
  }

  deliver(from: TestInstance, name: string, message: PeerMessage): void {
    const { messageLoss, messageDuplicates, messageDelay } = this.faults;
    const target = this.live.find(({ identity }) => identity.name === name);
    const copies = this.random.fraction() < messageDuplicates ? 2 : 1;
    this.observers.forEach((observe) => observe(from.identity.name, name, message));
    if (copies > 1) {
      this.tally.count(FaultKind.RepeatedMessage);
    }
    for (let copy = 0; copy < copies; copy += 1) {
      const delay = 1 + this.random.fraction() * messageDelay;
      const isCut = this.cuts.has(World.pair(from.identity.name, name));
      const isLost = isCut || this.random.fraction() < messageLoss;
      if (isLost) {
        this.tally.count(isCut ? FaultKind.CutMessage : FaultKind.LostMessage);
      } else if (messageDelay > 0) {
        this.tally.count(FaultKind.DelayedMessage);
      }
      if (target !== undefined && !isLost) {
        const received = structuredClone({ from: from.identity, message });
        this.clock.schedule(delay, () => target.clock.receive(() => target.network.push(received)));
      }
    }
  }

  static pair(left: string, right: string): string {
    return [left, right].toSorted().join('|');
  }

  /** Gives the authority over a zone to an instance. The term of the holder before ends. */
  grantAuthority(zone: string, holder: TestInstance): void {
    const key = `/authority/${zone}`;
    if (this.instances.some((each) => each !== holder && each.holds(zone))) {
      this.tally.count(FaultKind.AuthorityChange);
    }
    this.instances.filter((each) => each.identity.zone === zone).forEach((each) => each.lose());
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
    const term = this.table.range(key).values[0]?.createRevision ?? 0;
    holder.take(term, this.now());
  }
}

/** Links over the world, with its faults. */
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
    const { world } = this.owner;
    return world.instances
      .filter((each) => each !== this.owner && world.silence(this.owner, each) < LINK_TIMEOUT)
      .map(({ identity }) => identity);
  }

  override send(name: string, message: PeerMessage): boolean {
    if (!this.connectedPeers().some((peer) => peer.name === name)) {
      return false;
    }
    this.owner.world.deliver(this.owner, name, message);
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

function unavailable(mayHaveTakenEffect: boolean): RelayError {
  const kind = FailureKind.PlatformUnavailable;
  return new RelayError({ kind, service: 'test', reason: 'fault', mayHaveTakenEffect });
}

/** A platform call by one process, with the faults of the world. */
async function callPlatform<Answer>(
  { world, clock }: TestInstance,
  longestDelay: number,
  isOut: () => boolean,
  effect: () => Answer,
): Promise<Answer> {
  const { random, faults } = world;
  const isLost = random.fraction() < faults.lostAnswers;
  // A lost answer belongs to a write that takes effect now, after the time-out, or never.
  const isHeldLong = random.fraction() < 0.2;
  const longest = isHeldLong ? longestDelay : 2 * STORE_TIMEOUT;
  const delay = isLost ? random.fraction() * longest : 2;
  const isDropped = isLost && random.fraction() < 0.3;
  return new Promise<Answer>((resolve, reject) => {
    world.clock.schedule(delay, () => {
      if (isOut() || isDropped) {
        world.tally.count(isOut() ? FaultKind.Outage : FaultKind.Refusal);
        clock.receive(() => reject(unavailable(isLost)));
        return;
      }
      const answer = effect();
      if (isLost) {
        const isLate = delay > STORE_TIMEOUT;
        world.tally.count(isLate ? FaultKind.LateEffect : FaultKind.LostAnswer);
      } else {
        clock.receive(() => resolve(answer));
      }
    });
    if (isLost) {
      clock.schedule(STORE_TIMEOUT, () => reject(unavailable(true)));
    }
  });
}

/** The key-value service over a table in memory, with the faults of the world. */
class TestStore extends KeyValueStore {
  constructor(private readonly owner: TestInstance) {
    super();
  }

  private call<Answer>(kind: 'reads' | 'writes', effect: () => Answer): Promise<Answer> {
    const { world } = this.owner;
    world.counts[kind] += 1;
    return callPlatform(this.owner, 90_000, () => world.faults.storeOut, effect);
  }

  override range(key: string, options?: { prefix?: boolean }): Promise<RangeResult> {
    return this.call('reads', () => this.owner.world.table.range(key, options?.prefix));
  }

  override commit(transaction: Transaction) {
    return this.call('writes', () => this.owner.world.table.commit(transaction));
  }

  override grantLease(seconds: number) {
    return this.call('writes', () => this.owner.world.table.grantLease(seconds));
  }

  override keepLeaseAlive(identifier: string) {
    return this.call('writes', () => this.owner.world.table.keepLeaseAlive(identifier));
  }

  override async revokeLease(): Promise<void> {
    throw unavailable(false);
  }

  // eslint-disable-next-line require-yield
  override async *watch(): AsyncGenerator<never, void, void> {
    throw unavailable(false);
  }
}

/** The usage reports of the platform. It takes whatever comes, so that the oracle sees it. */
class TestSink extends UsageReportSink {
  constructor(private readonly owner: TestInstance) {
    super();
  }

  private call<Answer>(effect: () => Answer): Promise<Answer> {
    return callPlatform(
      this.owner,
      2 * STORE_TIMEOUT,
      () => this.owner.world.faults.sinkOut,
      effect,
    );
  }

  override async submit(report: UsageReport): Promise<void> {
    await this.call(() => this.owner.world.submitted.push(report));
  }

  override find(zone: string, start: number): Promise<UsageReport | undefined> {
    return this.call(() =>
      this.owner.world.submitted.find(
        (each) => each.zone === zone && each.windowStartMilliseconds === start,
      ),
    );
  }
}

class TestAuthority extends Authority {
  term = 0;

  since = Infinity;

  constructor(override readonly zone: string) {
    super();
  }

  override get fencingNumber(): number {
    return this.term;
  }

  override get isHeld(): boolean {
    return this.since < Infinity;
  }

  override get heldSinceMilliseconds(): number {
    return this.since;
  }

  override assertHeld(): void {
    if (!this.isHeld) {
      const { zone, term } = this;
      throw new RelayError({ kind: FailureKind.AuthorityLost, zone, fencingNumber: term });
    }
  }

  override comparison(): Comparison {
    return { key: `/authority/${this.zone}`, target: 'create-revision', operand: this.term };
  }
}

/** One entry instance: a process with the usage part and the claim register. */
export class TestInstance {
  readonly clock: ProcessClock;

  readonly network: TestNetwork;

  readonly usage: InstanceUsage;

  readonly claims: KeyValueClaimRegister;

  readonly authority: TestAuthority;

  readonly store: KeyValueStore;

  readonly sink: UsageReportSink;

  silentSince = Infinity;

  private opened = 0;

  /** Time of the last count of a request, or of the first question without one. */
  private readonly uncountedSince = new Map<string, number>();

  /** True once any instance believed this one dead. */
  wasBelievedDead = false;

  constructor(
    readonly world: World,
    readonly identity: InstanceIdentity,
  ) {
    const { random } = world;
    this.clock = new ProcessClock(world.clock);
    this.clock.tally = world.tally;
    this.network = new TestNetwork(this);
    this.authority = new TestAuthority(identity.zone);
    this.store = new TestStore(this);
    this.sink = new TestSink(this);
    const { store, sink } = this;
    const isDead = (incarnation: string) => this.believesDead(incarnation);
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
      ...(world.replication === undefined ? {} : { replication: world.replication }),
    });
    this.claims = new KeyValueClaimRegister(store, this.clock, silentLogger);
    const lifecycle = new LifecycleManager(identity.name, this.clock, (owner, failure) => {
      throw new RelayError(failure);
    });
    usageTasks(this.usage).forEach((task) => lifecycle.start(task));
  }

  /** Number of the next usage record of this instance. */
  nextSequence(): number {
    this.opened += 1;
    return this.opened;
  }

  /** Whether this instance holds the authority over the zone. */
  holds(zone: string): boolean {
    return this.identity.zone === zone && this.authority.isHeld;
  }

  kill(): void {
    this.silentSince = Math.min(this.silentSince, this.world.now());
    this.clock.kill();
  }

  pause(): void {
    this.silentSince = Math.min(this.silentSince, this.world.now());
    this.clock.pause();
  }

  resume(): void {
    if (!this.clock.isKilled) {
      this.silentSince = Infinity;
      void this.clock.resume();
    }
  }

  take(term: number, since: number): void {
    Object.assign(this.authority, { term, since });
  }

  lose(): void {
    this.authority.since = Infinity;
  }

  private countOf(request: string): EngineCount | undefined {
    const { faults, engineCounts, estimable } = this.world;
    const now = this.world.now();
    const since = this.uncountedSince.get(request) ?? now;
    this.uncountedSince.set(request, faults.engines === EngineFault.None ? now : since);
    if (faults.engines === EngineFault.None) {
      return engineCounts.get(request)?.();
    }
    if (now - since >= ESTIMATE_AFTER) {
      estimable.add(request);
    }
    if (faults.engines === EngineFault.Out) {
      throw unavailable(false);
    }
    return undefined;
  }

  private believesDead(incarnation: string): boolean {
    const other = this.world.instances.find((each) => each.identity.incarnation === incarnation);
    const isDead = other === undefined || this.world.silence(this, other) >= DEAD_AFTER;
    if (isDead && other !== undefined) {
      other.wasBelievedDead = true;
    }
    return isDead;
  }
}

/** Starts an instance, as a new incarnation if there was one of the name. */
export function startInstance(world: World, name: string, zone: string): TestInstance {
  const incarnation = `${name}.${world.instances.length}`;
  const instance = new TestInstance(world, { name, zone, incarnation });
  world.instances.push(instance);
  return instance;
}
