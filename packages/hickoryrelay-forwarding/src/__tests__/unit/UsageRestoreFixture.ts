import { Clock } from 'hickoryrelay/Clock';
import { invariant } from 'hickoryrelay/Invariant';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { FencedCallResult, FencedPlatform } from 'hickoryrelay-forwarding/FencedPlatform';
import { SealableWindows } from 'hickoryrelay-forwarding/SealableWindows';
import { UsageCountsRelay } from 'hickoryrelay-forwarding/UsageCountsRelay';
import { UsageCountsTask } from 'hickoryrelay-forwarding/UsageCountsTask';
import { UsageCountsWriter } from 'hickoryrelay-forwarding/UsageCountsWriter';
import { UsageReportTask } from 'hickoryrelay-forwarding/UsageReportTask';
import { UsageSeals } from 'hickoryrelay-forwarding/UsageSeals';
import { UsageTally } from 'hickoryrelay-forwarding/UsageTally';
import { ZoneRelaySelector } from 'hickoryrelay-forwarding/ZoneRelaySelector';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

import { HEARTBEAT_MILLISECONDS } from './ForwardingFixture.js';
import { InMemoryPeerNetwork, makePeer } from './InMemoryPeerNetwork.js';
import { RestorableStore, RestorableStoreClient } from './RestorableStore.js';

import type { AccountCounts } from 'hickoryrelay-forwarding/UsageTally';

/** Time after a restore in which no instance acquires the authority. */
export const LEASE_MILLISECONDS = 3000;

export const WINDOW_MILLISECONDS = 5000;
export const DUE_MILLISECONDS = 10_000;

const STEP_MILLISECONDS = 250;

/** Time between two store calls of each instance. */
const CALL_PERIOD_MILLISECONDS = 1500;

/** Time in which calls in progress end. */
const STOP_MILLISECONDS = 3000;

/** Start of a window. */
const START_MILLISECONDS = 1_700_000_000_000;

/** Time for which a previous holder of the authority may act beside a new one after a restore. */
const OVERLAP_MILLISECONDS = 1000;

/** A clock whose time of day differs from that of other instances. */
class OffsetClock extends Clock {
  offsetMilliseconds = 0;

  private readonly clock: Clock;

  constructor(clock: Clock) {
    super();
    this.clock = clock;
  }

  override monotonicMilliseconds(): number {
    return this.clock.monotonicMilliseconds();
  }

  override wallMilliseconds(): number {
    return this.clock.wallMilliseconds() + this.offsetMilliseconds;
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    return this.clock.schedule(milliseconds, action);
  }
}

/** Records accepted usage reports. Refuses lower fencing tokens and can answer late or not at all. */
class RecordingPlatform extends FencedPlatform {
  /** Accepted reports of each window, as text. */
  readonly accepted = new Map<number, string[]>();

  /** Executes reports after this time and does not respond; undefined to respond at once. */
  delayMilliseconds: number | undefined;

  private readonly clock: Clock;

  private highestFencingNumber = 0;

  constructor(clock: Clock) {
    super();
    this.clock = clock;
  }

  override reportUsage(
    term: AuthorityTerm,
    window: number,
    counts: AccountCounts,
  ): Promise<FencedCallResult> {
    const text = JSON.stringify(Object.entries(counts).toSorted());
    if (!term.isHeld) {
      return Promise.resolve(FencedCallResult.Unknown);
    }
    if (this.delayMilliseconds !== undefined) {
      this.clock.schedule(this.delayMilliseconds, () => {
        this.execute(term.fencingNumber, window, text);
      });
      return Promise.resolve(FencedCallResult.Unknown);
    }
    return Promise.resolve(this.execute(term.fencingNumber, window, text));
  }

  override orderSupply(): Promise<FencedCallResult> {
    return Promise.resolve(FencedCallResult.Unknown);
  }

  override orderStage(): Promise<FencedCallResult> {
    return Promise.resolve(FencedCallResult.Unknown);
  }

  private execute(fencingNumber: number, window: number, text: string): FencedCallResult {
    if (fencingNumber < this.highestFencingNumber) {
      return FencedCallResult.Refused;
    }
    this.highestFencingNumber = fencingNumber;
    this.accepted.set(window, [...(this.accepted.get(window) ?? []), text]);
    return FencedCallResult.Accepted;
  }
}

/** One run of the process of an instance. */
interface InstanceProcess {
  readonly lifecycle: LifecycleManager;
  readonly store: RestorableStoreClient;
  readonly clock: OffsetClock;
  readonly tally: UsageTally;
  readonly seals: UsageSeals;
  readonly sealableWindows: SealableWindows;
  readonly countsTask: UsageCountsTask;
}

interface Holder {
  readonly index: number;
  readonly term: AuthorityTerm;
}

/** Instances that count, seal and report usage with a store that can be restored from a copy. */
export class UsageDeployment {
  readonly clock = new ManualClock(START_MILLISECONDS);

  readonly store = new RestorableStore(this.clock);

  readonly platform = new RecordingPlatform(this.clock);

  readonly network = new InMemoryPeerNetwork();

  /** Requests that were counted, by window of their instance's clock. */
  readonly counted = new Map<number, number>();

  private readonly peers;

  private readonly processes: InstanceProcess[];

  private starts = 0;

  private fencingNumber = 0;

  private holder: Holder | undefined;

  constructor(size: number) {
    this.peers = Array.from({ length: size }, (_unused, index) => makePeer(index, 'zone-a'));
    this.processes = this.peers.map((_peer, index) => this.startProcess(index));
  }

  get size(): number {
    return this.peers.length;
  }

  get firstWindow(): number {
    return START_MILLISECONDS / WINDOW_MILLISECONDS;
  }

  /** Kills the process of an instance and starts it again. Calls in progress take effect later. */
  restart(index: number): void {
    const { clock, lifecycle } = this.processOf(index);
    if (this.holder?.index === index) {
      this.holder.term.end();
      this.holder = undefined;
    }
    void lifecycle.stop();
    this.processes[index] = this.startProcess(index, clock.offsetMilliseconds);
  }

  /** Stops an instance in an orderly way. It is not started again. */
  async finish(index: number): Promise<void> {
    const { countsTask, clock, lifecycle } = this.processOf(index);
    const finished = countsTask.finish(clock.wallMilliseconds());
    await this.clock.advance(STEP_MILLISECONDS);
    await finished;
    await lifecycle.stop();
  }

  setClockOffset(index: number, offsetMilliseconds: number): void {
    this.processOf(index).clock.offsetMilliseconds = offsetMilliseconds;
  }

  /**
   * Gives the authority to an instance. The previous holder may act for a moment longer. The term
   * ends when the instance sees a restore of the store, unless it outlasts restores.
   */
  changeHolder(
    index: number,
    {
      overlaps = false,
      outlastsRestores = false,
    }: { overlaps?: boolean; outlastsRestores?: boolean } = {},
  ): void {
    const previous = this.holder;
    if (overlaps && previous !== undefined) {
      this.clock.schedule(OVERLAP_MILLISECONDS, () => previous.term.end());
    } else {
      previous?.term.end();
    }
    const { lifecycle, store, seals, sealableWindows } = this.processOf(index);
    this.fencingNumber += 1;
    const term = new AuthorityTerm(
      { zone: 'z', holder: `${index}`, fencingNumber: this.fencingNumber, lease: '1' },
      this.clock,
      {
        requestedMilliseconds: this.clock.monotonicMilliseconds(),
        timeToLiveSeconds: 6000,
        marginMilliseconds: 0,
      },
    );
    const taskLifecycle = lifecycle.child(`term ${this.fencingNumber}`);
    term.signal.addEventListener('abort', () => {
      void taskLifecycle.stop();
    });
    taskLifecycle.start(
      new UsageReportTask(term, {
        store,
        platform: this.platform,
        seals,
        sealableWindows,
        windowMilliseconds: WINDOW_MILLISECONDS,
        dueMilliseconds: DUE_MILLISECONDS,
        countInstances: () => this.peers.length,
        log: silentLogger,
      }),
    );
    const holder = { index, term };
    this.holder = holder;
    if (!outlastsRestores) {
      this.endWithRestore(store, holder);
    }
  }

  count(index: number, requests: number): void {
    const { tally, clock } = this.processOf(index);
    const now = clock.wallMilliseconds();
    const window = tally.windowAt(now);
    for (let request = 0; request < requests; request += 1) {
      tally.add(`account-${index % 3}`, now);
    }
    this.counted.set(window, (this.counted.get(window) ?? 0) + requests);
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS);
      this.store.takeCopy();
      if (this.clock.monotonicMilliseconds() % CALL_PERIOD_MILLISECONDS === 0) {
        await Promise.allSettled(this.processes.map(({ store }) => store.get('/any')));
      }
    }
  }

  /** The store is away for a time and comes back from a copy. */
  async restoreStore(ageMilliseconds: number, awayMilliseconds: number): Promise<void> {
    this.store.isAway = true;
    await this.advance(awayMilliseconds);
    this.store.restore(ageMilliseconds + awayMilliseconds);
    this.store.isAway = false;
  }

  /** Windows for which the platform has accepted reports with different counts. */
  get conflictingWindows(): number[] {
    return [...this.platform.accepted]
      .filter(([, reports]) => new Set(reports).size > 1)
      .map(([window]) => window);
  }

  /** Number of requests that the accepted reports of a window contain. */
  reportedIn(window: number): number | undefined {
    const text = this.platform.accepted.get(window)?.[0];
    return text === undefined
      ? undefined
      : (JSON.parse(text) as [string, number][]).reduce((sum, [, count]) => sum + count, 0);
  }

  async stop(): Promise<void> {
    const stopped = Promise.all(this.processes.map(({ lifecycle }) => lifecycle.stop()));
    await this.clock.advance(STOP_MILLISECONDS);
    await stopped;
  }

  /**
   * A holder that learns of a restore ends its term, and no term begins for the length of a lease.
   */
  private endWithRestore(store: RestorableStoreClient, holder: Holder): void {
    const removeObserver = store.era.onRestore(() => {
      removeObserver();
      holder.term.end();
      this.clock.schedule(LEASE_MILLISECONDS, () => {
        if (this.holder === holder) {
          this.changeHolder(holder.index);
        }
      });
    });
  }

  private processOf(index: number): InstanceProcess {
    const instance = this.processes[index];
    invariant(instance !== undefined, `There is no instance ${index}.`);
    return instance;
  }

  private startProcess(index: number, offsetMilliseconds = 0): InstanceProcess {
    this.starts += 1;
    const self = this.peers[index];
    invariant(self !== undefined, `There is no instance ${index}.`);
    const clock = new OffsetClock(this.clock);
    clock.offsetMilliseconds = offsetMilliseconds;
    const random = new SeededRandomSource(this.starts);
    const store = new RestorableStoreClient(this.store, clock);
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(
      { configuration: undefined, endpoints: [], peers: this.peers, isAuthorityHeld: false },
      0,
    );
    const lifecycle = new LifecycleManager(self.instance, clock, () => {});
    const tally = new UsageTally(WINDOW_MILLISECONDS);
    const shared = {
      self,
      channel: this.network.channelOf(self),
      view,
      clock,
      random,
      windowMilliseconds: WINDOW_MILLISECONDS,
      dueMilliseconds: DUE_MILLISECONDS,
      log: silentLogger,
    };
    const writer = new UsageCountsWriter(store);
    const relaySelector = new ZoneRelaySelector(self.instance);
    const relay = new UsageCountsRelay({ ...shared, relaySelector, writer });
    lifecycle.own('relay', relay.listen());
    const seals = new UsageSeals(shared);
    lifecycle.own('seals', seals.listen());
    const sealableWindows = new SealableWindows({ ...shared, store, seals });
    lifecycle.own('sealable windows', sealableWindows.listen());
    const countsTask = new UsageCountsTask({
      ...shared,
      incarnation: `${self.instance}-${this.starts}`,
      relay,
      era: store.era,
      tally,
      countInstances: () => this.peers.length,
    });
    lifecycle.start(countsTask);
    return { lifecycle, store, clock, tally, seals, sealableWindows, countsTask };
  }
}
