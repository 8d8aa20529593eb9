import { FailureKind } from 'hickoryrelay/Failure';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { CrashEvidence } from 'hickoryrelay-forwarding/CrashEvidence';
import { CrashEvidenceExchangeTask } from 'hickoryrelay-forwarding/CrashEvidenceExchangeTask';
import { CrashEvidenceStoreTask } from 'hickoryrelay-forwarding/CrashEvidenceStoreTask';
import { AttemptKind, EndpointLink } from 'hickoryrelay-forwarding/EndpointLink';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { EngineCrashDetector } from 'hickoryrelay-forwarding/EngineCrashDetector';
import { EnginePlacement } from 'hickoryrelay-forwarding/EnginePlacement';
import { ForwardingExchange } from 'hickoryrelay-forwarding/ForwardingExchange';
import { ForwardingMetrics } from 'hickoryrelay-forwarding/ForwardingMetrics';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PrefillRate } from 'hickoryrelay-forwarding/PrefillRate';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';
import { RequestAdmission } from 'hickoryrelay-forwarding/RequestAdmission';
import { RetryBudgets } from 'hickoryrelay-forwarding/RetryBudgets';
import { SegmentQuarantine } from 'hickoryrelay-forwarding/SegmentQuarantine';
import { ServicePlacement } from 'hickoryrelay-forwarding/ServicePlacement';
import { UsageTally } from 'hickoryrelay-forwarding/UsageTally';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

import { StoreEra } from 'hickoryrelay-platform/StoreEra';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import { StreamOrigins } from 'hickoryrelay-stream/StreamOrigins';
import { VersionHistory } from 'hickoryrelay-stream/VersionHistory';
import {
  endpointFailure,
  HEARTBEAT_MILLISECONDS,
  LIMITS,
  makeConfiguration,
  makeEndpoint,
  makeRequest,
  makeResponse,
  makeRoute,
  makeShutdownSchedule,
  RecordingSink,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';
import { InMemoryPeerNetwork, makePeer } from './InMemoryPeerNetwork.js';

import type {
  Attempt,
  EndpointResponse,
  PrefilledPrompt,
} from 'hickoryrelay-forwarding/EndpointLink';
import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { PeerChannel } from 'hickoryrelay-forwarding/PeerChannel';
import type { PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';
import type {
  RangeResult,
  Transaction,
  TransactionResult,
} from 'hickoryrelay-platform/KeyValueStore';

const VIEW_BOUND_MILLISECONDS = 2000;

const FIRST_EVENT_MILLISECONDS = 20;
const STREAM_MILLISECONDS = 200;
const PREFILL_MILLISECONDS = 10;

/** Time after which the registration of a crashed engine expires. */
const EXPIRY_MILLISECONDS = 2900;

const RESTART_MILLISECONDS = 3200;
const VIEW_PERIOD_MILLISECONDS = 300;

function unsupported(): never {
  throw new RelayError({
    kind: FailureKind.InvariantViolated,
    message: 'The test store does not support this call.',
  });
}

/** A request that reached an engine. */
export interface Arrival {
  readonly atMilliseconds: number;
  readonly request: string | undefined;
  readonly isDeadly: boolean;
}

/** An engine process, which ends when it begins to run a prompt with a deadly segment. */
class SimulatedEngine {
  readonly name: string;

  readonly zone: string;

  private incarnation = 1;

  private readonly clock: ManualClock;

  private isUp = true;

  private isRegistered = true;

  private readonly runs = new Set<AbortController>();

  constructor(name: string, zone: string, clock: ManualClock) {
    this.name = name;
    this.zone = zone;
    this.clock = clock;
  }

  get record(): EndpointRecord | undefined {
    const identifier = `${this.name}-${this.incarnation}`;
    return this.isRegistered
      ? makeEndpoint(identifier, { service: 'model', address: identifier, zone: this.zone })
      : undefined;
  }

  get isRunning(): boolean {
    return this.isUp;
  }

  isListening(address: string): boolean {
    return this.isUp && address === `${this.name}-${this.incarnation}`;
  }

  /** Opens a connection, whose signal aborts when the engine ends. */
  connect(): AbortController {
    const connection = new AbortController();
    this.runs.add(connection);
    return connection;
  }

  disconnect(connection: AbortController): void {
    this.runs.delete(connection);
  }

  crash(): void {
    this.isUp = false;
    const connections = [...this.runs];
    this.runs.clear();
    connections.forEach((connection) => connection.abort());
    this.clock.schedule(EXPIRY_MILLISECONDS, () => {
      this.isRegistered = false;
    });
    this.clock.schedule(RESTART_MILLISECONDS, () => {
      this.incarnation += 1;
      this.isUp = true;
      this.isRegistered = true;
    });
  }
}

/** The engines of one service, and what they have seen. */
export class SimulatedEngines {
  readonly arrivals: Arrival[] = [];

  readonly crashesMilliseconds: number[] = [];

  readonly deadlySegments = new Set<string>();

  readonly engines: readonly SimulatedEngine[];

  private readonly clock: ManualClock;

  constructor(clock: ManualClock, zones: readonly string[], enginesPerZone: number) {
    this.clock = clock;
    this.engines = zones.flatMap((zone) =>
      Array.from(
        { length: enginesPerZone },
        (_unused, index) => new SimulatedEngine(`engine-${zone}-${index}`, zone, clock),
      ),
    );
  }

  get records(): EndpointRecord[] {
    return this.engines.map(({ record }) => record).filter((record) => record !== undefined);
  }

  engineAt(address: string): SimulatedEngine | undefined {
    return this.engines.find((engine) => engine.isListening(address));
  }

  recordArrival({ request }: Attempt): boolean {
    const isDeadly = request.promptSegments.some(({ identifier }) =>
      this.deadlySegments.has(identifier),
    );
    const atMilliseconds = this.clock.monotonicMilliseconds();
    this.arrivals.push({ atMilliseconds, request: request.identifier, isDeadly });
    return isDeadly;
  }

  crash(engine: SimulatedEngine): void {
    this.crashesMilliseconds.push(this.clock.monotonicMilliseconds());
    engine.crash();
  }
}

/** The link of one instance to simulated engines. */
class SimulatedEngineLink extends EndpointLink {
  private readonly engines: SimulatedEngines;

  private readonly clock: ManualClock;

  constructor(engines: SimulatedEngines, clock: ManualClock) {
    super();
    this.engines = engines;
    this.clock = clock;
  }

  override async send(attempt: Attempt, signal: AbortSignal): Promise<EndpointResponse> {
    const engine = this.connect(attempt);
    const isDeadly = this.engines.recordArrival(attempt);
    const connection = engine.connect();
    const either = AbortSignal.any([signal, connection.signal]);
    try {
      await this.wait(FIRST_EVENT_MILLISECONDS, either);
      if (isDeadly) {
        this.engines.crash(engine);
        throw endpointFailure(true);
      }
    } catch (error) {
      engine.disconnect(connection);
      throw error;
    }
    const { wait } = this;
    async function* body(): AsyncGenerator<Buffer, void, void> {
      try {
        yield Buffer.from('id: 1\ndata: 1\n\n');
        await wait(STREAM_MILLISECONDS, either);
        yield Buffer.from('id: 2\ndata: 2\n\n');
      } finally {
        engine.disconnect(connection);
      }
    }
    return makeResponse([], { body: body() });
  }

  override async prefill(attempt: Attempt, signal: AbortSignal): Promise<PrefilledPrompt> {
    this.connect(attempt);
    this.engines.recordArrival(attempt);
    await this.wait(PREFILL_MILLISECONDS, signal);
    return { address: attempt.endpoint.address, handle: AttemptKind.Prefill };
  }

  override release(): Promise<void> {
    return Promise.resolve();
  }

  override isRefused({ address }: EndpointRecord): Promise<boolean> {
    return Promise.resolve(this.engines.engineAt(address) === undefined);
  }

  override async tryConnection(endpoint: EndpointRecord): Promise<boolean> {
    return !(await this.isRefused(endpoint));
  }

  override retain(): void {}

  private connect({ endpoint }: Attempt): SimulatedEngine {
    const engine = this.engines.engineAt(endpoint.address);
    if (engine === undefined) {
      throw endpointFailure(false);
    }
    return engine;
  }

  private readonly wait = async (milliseconds: number, signal: AbortSignal): Promise<void> => {
    try {
      await this.clock.sleep(milliseconds, signal);
    } catch {
      throw endpointFailure(true);
    }
  };
}

interface SimulatedInstanceParts {
  readonly peer: PeerRecord;
  readonly engines: SimulatedEngines;
  readonly channel: PeerChannel;
  readonly clock: ManualClock;
  readonly random: SeededRandomSource;
  readonly store: KeyValueStore;
}

/** One instance of the cluster. */
class SimulatedInstance {
  readonly peer: PeerRecord;

  readonly exchange: ForwardingExchange;

  readonly quarantine: SegmentQuarantine;

  private readonly refreshView: (peers: readonly PeerRecord[]) => void;

  private readonly lifecycle: LifecycleManager;

  constructor({ peer, engines, channel, clock, random, store }: SimulatedInstanceParts) {
    this.peer = peer;
    this.lifecycle = new LifecycleManager(peer.instance, clock, () => {});
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    const registry = new EndpointRegistry(new PeerLoads());
    const configuration = makeConfiguration({
      routes: [makeRoute({ ...RESUMABLE_STREAM, services: [{ service: 'model', weight: 1 }] })],
    });
    this.refreshView = (peers) => {
      const endpoints = engines.records;
      view.apply(
        { configuration, endpoints, peers, isAuthorityHeld: true },
        clock.monotonicMilliseconds(),
      );
      registry.replace(endpoints);
    };
    const directory = new PromptCacheDirectory();
    const prefillRate = new PrefillRate();
    const link = new SimulatedEngineLink(engines, clock);
    const evidence = new CrashEvidence();
    const quarantine = new SegmentQuarantine(evidence, clock);
    this.quarantine = quarantine;
    this.lifecycle.start(
      new CrashEvidenceExchangeTask({
        self: peer,
        channel,
        view,
        evidence,
        random,
        evidenceClock: clock,
      }),
    );
    this.lifecycle.start(
      new CrashEvidenceStoreTask({ store, evidence, quarantine, random, log: silentLogger }),
    );
    this.exchange = new ForwardingExchange({
      zone: peer.zone,
      view,
      registry,
      services: new ServicePlacement(),
      engines: new EnginePlacement(directory, prefillRate),
      directory,
      prefillRate,
      link,
      quarantine,
      crashDetector: new EngineCrashDetector({ link, quarantine, clock }),
      origins: new StreamOrigins(new VersionHistory(VIEW_BOUND_MILLISECONDS), clock),
      budgets: new RetryBudgets(LIMITS),
      tally: new UsageTally(5000),
      shutdown: makeShutdownSchedule(clock),
      clock,
      random,
      admission: new RequestAdmission(view, LIMITS, random),
      metrics: new ForwardingMetrics(),
      log: silentLogger,
    });
  }

  refresh(peers: readonly PeerRecord[]): void {
    this.refreshView(peers);
  }

  stop(): void {
    void this.lifecycle.stop();
  }
}

/** Holds single keys and counts the calls. */
class CountingStore extends KeyValueStore {
  override readonly era = new StoreEra(new ManualClock());

  reads = 0;

  writes = 0;

  private readonly values = new Map<string, string>();

  /** Comes back from a copy that holds nothing. */
  restore(): void {
    this.values.clear();
    this.era.observe((this.era.current ?? 0) + 1);
  }

  override range(key: string): Promise<RangeResult> {
    this.reads += 1;
    const value = this.values.get(key);
    const revision = new StoreRevision(0, 1);
    const revisions = { createRevision: revision, modRevision: revision, version: 1 };
    return Promise.resolve({
      revision,
      values: value === undefined ? [] : [{ key, value, ...revisions }],
    });
  }

  override commit({ success }: Transaction): Promise<TransactionResult> {
    this.writes += 1;
    for (const operation of success) {
      if (operation.type === 'put') {
        this.values.set(operation.key, operation.value);
      }
    }
    return Promise.resolve({ succeeded: true, revision: new StoreRevision(0, 1), results: [] });
  }

  override grantLease = unsupported;

  override keepLeaseAlive = unsupported;

  override revokeLease = unsupported;

  override watch = unsupported;
}

/** The end of a request at its caller. */
export interface CallResult {
  readonly sentMilliseconds: number;
  readonly segments: readonly string[];
  readonly sink: RecordingSink;
}

/** Instances in front of engines that crash, with a virtual clock. */
export class EngineCluster {
  readonly clock = new ManualClock();

  readonly network = new InMemoryPeerNetwork();

  readonly engines: SimulatedEngines;

  readonly store = new CountingStore();

  readonly results: CallResult[] = [];

  private readonly instances: SimulatedInstance[];

  private readonly random: SeededRandomSource;

  private requests = 0;

  constructor(seed: number, zones = ['a', 'b', 'c'], perZone = 2) {
    this.random = new SeededRandomSource(seed);
    this.engines = new SimulatedEngines(this.clock, zones, perZone * 2);
    this.instances = zones.flatMap((zone, zoneIndex) =>
      Array.from({ length: perZone }, (_unused, index) =>
        this.makeInstance(zoneIndex * perZone + index, zone),
      ),
    );
    this.refreshViews();
  }

  /** Replaces an instance by one that knows nothing. */
  restart(number: number): void {
    const previous = this.instances[number];
    if (previous !== undefined) {
      previous.stop();
      this.instances[number] = this.makeInstance(number, previous.peer.zone);
      this.instances[number].refresh(this.instances.map(({ peer }) => peer));
    }
  }

  /** Makes the first instance suspect as many segments that no engine has begun. */
  suspectSegments(count: number): void {
    const segments = Array.from({ length: count }, (_unused, index) => 4_000_000_000 + index);
    this.instances[0]?.quarantine.recordCrash(4_100_000_000, segments);
  }

  /** Segments that a new instance quarantines after a moment in which only it knows its peers. */
  async segmentsKnownToNewInstance(): Promise<number> {
    const instance = this.makeInstance(this.instances.length, 'a');
    instance.refresh(this.instances.map(({ peer }) => peer));
    await this.clock.advance(150);
    instance.stop();
    return instance.quarantine.segments.length;
  }

  /** Number of requests with a deadly segment that engines received from a time on. */
  deadlyArrivalsSince(milliseconds: number): number {
    return this.engines.arrivals.filter(
      ({ isDeadly, atMilliseconds }) => isDeadly && atMilliseconds > milliseconds,
    ).length;
  }

  /** Number of sound requests with a segment, sent from a time on. */
  soundRequestsSince(milliseconds: number, segment: string): number {
    return this.soundResultsSince(milliseconds, segment).length;
  }

  /** Fraction of the sound requests with a segment, sent from a time on, that engines began. */
  servedFractionSince(milliseconds: number, segment: string): number {
    const results = this.soundResultsSince(milliseconds, segment);
    return results.filter(({ sink }) => sink.hasStarted).length / results.length;
  }

  /** Ends engines that run, for a reason other than a prompt. */
  crashEngines(count: number): void {
    const running = this.engines.engines.filter(({ isRunning }) => isRunning);
    running.slice(0, count).forEach((engine) => engine.crash());
  }

  /** Sends a request with shared segments to a random instance each period, for a time. */
  sendEvery(
    periodMilliseconds: number,
    durationMilliseconds: number,
    chooseSegments: (random: SeededRandomSource) => readonly string[],
  ): void {
    const end = this.clock.monotonicMilliseconds() + durationMilliseconds;
    const sendNext = () => {
      this.send(chooseSegments(this.random));
      if (this.clock.monotonicMilliseconds() + periodMilliseconds <= end) {
        this.clock.schedule(periodMilliseconds, sendNext);
      }
    };
    this.clock.schedule(periodMilliseconds, sendNext);
  }

  private soundResultsSince(milliseconds: number, segment: string): CallResult[] {
    return this.results.filter(
      ({ sentMilliseconds, segments }) =>
        sentMilliseconds > milliseconds &&
        segments.includes(segment) &&
        !segments.some((name) => this.engines.deadlySegments.has(name)),
    );
  }

  private send(segments: readonly string[]): void {
    const instance = this.instances[this.random.integerBelow(this.instances.length)];
    const sink = new RecordingSink();
    const sentMilliseconds = this.clock.monotonicMilliseconds();
    this.requests += 1;
    const identifier = `request-${this.requests}`;
    void instance?.exchange.handle(
      makeRequest({
        identifier,
        arrivedMilliseconds: sentMilliseconds,
        arrivedSuspensionMilliseconds: sentMilliseconds,
        promptSegments: [...segments, `own-${identifier}`].map((segment) => ({
          identifier: segment,
          tokens: 100,
        })),
      }),
      sink,
    );
    this.results.push({ sentMilliseconds, segments, sink });
  }

  private makeInstance(number: number, zone: string): SimulatedInstance {
    const peer = makePeer(number, zone);
    const { engines, clock } = this;
    const channel = this.network.channelOf(peer);
    const random = new SeededRandomSource(this.random.integerBelow(1_000_000));
    return new SimulatedInstance({ peer, engines, channel, clock, random, store: this.store });
  }

  private refreshViews(): void {
    const peers = this.instances.map(({ peer }) => peer);
    this.instances.forEach((instance) => instance.refresh(peers));
    this.clock.schedule(VIEW_PERIOD_MILLISECONDS, () => this.refreshViews());
  }
}
