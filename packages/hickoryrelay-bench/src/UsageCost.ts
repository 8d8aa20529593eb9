import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { ModelOperation } from 'hickoryrelay-link/Call';
import { encodePeerMessage } from 'hickoryrelay-link/PeerMessageCodec';
import { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';
import { RequestIdentifierGenerator } from 'hickoryrelay-link/RequestIdentifierGenerator';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import { StoreEra } from 'hickoryrelay-platform/StoreEra';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import { UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { Authority } from 'hickoryrelay-usage/Authority';
import { EngineUsageSource } from 'hickoryrelay-usage/EngineUsageSource';
import { InstanceLiveness } from 'hickoryrelay-usage/InstanceLiveness';
import { InstanceUsage } from 'hickoryrelay-usage/InstanceUsage';
import { usageTasks } from 'hickoryrelay-usage/UsageTasks';

import type { ModelCall } from 'hickoryrelay-link/Call';
import type {
  InstanceIdentity,
  PeerMessage,
  ReceivedPeerMessage,
} from 'hickoryrelay-link/PeerMessages';
import type { Comparison, Transaction } from 'hickoryrelay-platform/KeyValueStore';
import type { MeteredCall } from 'hickoryrelay-usage/CallMeter';

/** Size and load of the simulated zone. */
export interface UsageCostScenario {
  /** Calls per second at each instance. */
  readonly callRate: number;
  readonly instances: number;
  readonly accounts: number;
  readonly seconds: number;
}

/**
 * Bytes and messages per second that one instance sends, by message type, and reads and writes of
 * the key-value store per second by all instances.
 */
export interface UsageCostResult {
  readonly bytes: Readonly<Record<string, number>>;
  readonly messages: Readonly<Record<string, number>>;
  readonly reads: number;
  readonly writes: number;
  readonly largestValueBytes: number;
}

const STEP_MILLISECONDS = 10;
/** Reporting progress more often than the batch interval does not change what is sent. */
const PROGRESS_STEP_MILLISECONDS = 250;
const LINK_DELAY_MILLISECONDS = 1;
const MILLISECONDS_PER_SECOND = 1000;
/** Header of a masked WebSocket frame with a payload of 126 to 65,535 bytes. */
const FRAME_HEADER_BYTES = 8;
/** Derived from 26,600 tokens and 97 calls per second at each node, and 1,300 open streams. */
const MEAN_COMPLETION_TOKENS = 274;
const MEAN_CALL_MILLISECONDS = 13_400;
const MEAN_PROMPT_TOKENS = 1800;
/**
 * Duration, output and prompt of calls are distributed uniformly around the mean, with this share
 * of it as the minimum. Equal calls would close in sequence order, and the delta-encoded columns of
 * the messages would be unrealistically small.
 */
const MIN_SHARE_OF_MEAN = 0.1;
/** Largest relative difference between the estimated and the counted prompt tokens. */
const PROMPT_ESTIMATE_ERROR = 0.1;
const MODEL_COUNT = 9;
const CLASS_COUNT = 4;
const ENGINE_COUNT = 24;
const FENCING_NUMBER = 1;

class CountingStore extends KeyValueStore {
  override readonly era = new StoreEra(new ManualClock());

  reads = 0;

  writes = 0;

  largestValueBytes = 0;

  private readonly table: KeyValueTable;

  constructor(table: KeyValueTable) {
    super();
    this.table = table;
  }

  override async range(key: string, options?: { prefix?: boolean }) {
    this.reads += 1;
    return this.table.range(key, options?.prefix);
  }

  override async commit(transaction: Transaction) {
    this.writes += 1;
    for (const operation of transaction.success) {
      if (operation.type === 'put') {
        const bytes = Buffer.byteLength(operation.value);
        this.largestValueBytes = Math.max(this.largestValueBytes, bytes);
      }
    }
    return this.table.commit(transaction);
  }

  override async grantLease(seconds: number) {
    this.writes += 1;
    return this.table.grantLease(seconds);
  }

  override async keepLeaseAlive(identifier: string) {
    return this.table.keepLeaseAlive(identifier);
  }

  override async revokeLease(identifier: string) {
    this.table.revokeLease(identifier);
  }

  override async *watch(): AsyncGenerator<never, void, void> {
    yield* [];
  }
}

class DiscardingReportSink extends UsageReportSink {
  override async submit(): Promise<void> {
    await Promise.resolve();
  }

  override async find(): Promise<undefined> {
    return undefined;
  }
}

class FixedAuthority extends Authority {
  override readonly zone: string;

  override readonly isHeld: boolean;

  override readonly fencingNumber = FENCING_NUMBER;

  override readonly heldSinceMilliseconds = 0;

  constructor(zone: string, isHeld: boolean) {
    super();
    this.zone = zone;
    this.isHeld = isHeld;
  }

  override assertHeld(): void {
    // The authority is never lost in this simulation.
  }

  override comparison(): Comparison {
    return { key: '/authority', target: 'create-revision', operand: StoreRevision.None };
  }
}

class AlwaysLiveInstances extends InstanceLiveness {
  override isDead(): boolean {
    return false;
  }
}

class UnavailableEngineUsage extends EngineUsageSource {
  override async count(): Promise<undefined> {
    return undefined;
  }
}

/** An in-memory network without faults that counts the bytes and messages sent, by type. */
class CountingNetwork extends PeerNetwork {
  override readonly identity: InstanceIdentity;

  readonly bytes: Record<string, number> = {};

  readonly messagesSent: Record<string, number> = {};

  private readonly networks: readonly CountingNetwork[];

  private readonly clock: ManualClock;

  private readonly queue: ReceivedPeerMessage[] = [];

  private notifyReceiver = () => {};

  constructor(
    identity: InstanceIdentity,
    networks: readonly CountingNetwork[],
    clock: ManualClock,
  ) {
    super();
    this.identity = identity;
    this.networks = networks;
    this.clock = clock;
  }

  /** The other instances in ring order from this one, so that replicas spread over all of them. */
  override connectedPeers(): readonly InstanceIdentity[] {
    const own = this.networks.indexOf(this);
    return [...this.networks.slice(own + 1), ...this.networks.slice(0, own)].map(
      ({ identity }) => identity,
    );
  }

  override send(name: string, message: PeerMessage): boolean {
    const target = this.networks.find(({ identity }) => identity.name === name);
    const size = encodePeerMessage(message, target?.identity).length + FRAME_HEADER_BYTES;
    this.bytes[message.type] = (this.bytes[message.type] ?? 0) + size;
    this.messagesSent[message.type] = (this.messagesSent[message.type] ?? 0) + 1;
    const received = { from: this.identity, message };
    this.clock.schedule(LINK_DELAY_MILLISECONDS, () => target?.push(received));
    return target !== undefined;
  }

  override async *messages(): AsyncGenerator<ReceivedPeerMessage, void, void> {
    for (;;) {
      yield* this.queue.splice(0);
      await new Promise<void>((resolve) => {
        this.notifyReceiver = resolve;
      });
    }
  }

  private push(received: ReceivedPeerMessage): void {
    this.queue.push(received);
    this.notifyReceiver();
  }
}

interface RunningCall {
  readonly meter: MeteredCall;
  readonly startMilliseconds: number;
  readonly milliseconds: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Generates the calls of one instance at a constant rate. */
class ConstantRateTraffic {
  private readonly usage: InstanceUsage;

  private readonly random: SeededRandomSource;

  private readonly scenario: UsageCostScenario;

  private readonly identifiers: RequestIdentifierGenerator;

  private running: RunningCall[] = [];

  private openedCalls = 0;

  constructor(usage: InstanceUsage, random: SeededRandomSource, scenario: UsageCostScenario) {
    this.usage = usage;
    this.random = random;
    this.scenario = scenario;
    this.identifiers = new RequestIdentifierGenerator(random);
  }

  step(nowMilliseconds: number): void {
    const expectedCalls = (nowMilliseconds / MILLISECONDS_PER_SECOND) * this.scenario.callRate;
    for (; this.openedCalls < expectedCalls; this.openedCalls += 1) {
      this.running.push(this.open(nowMilliseconds));
    }
    const hasEnded = ({ startMilliseconds, milliseconds }: RunningCall) =>
      nowMilliseconds - startMilliseconds >= milliseconds;
    this.running.filter(hasEnded).forEach(({ meter, promptTokens, completionTokens }) => {
      void meter.close({ promptTokens, completionTokens });
    });
    this.running = this.running.filter((call) => !hasEnded(call));
    if (nowMilliseconds % PROGRESS_STEP_MILLISECONDS !== 0) {
      return;
    }
    for (const { meter, startMilliseconds, milliseconds, completionTokens } of this.running) {
      const share = (nowMilliseconds - startMilliseconds) / milliseconds;
      meter.progress(Math.floor(share * completionTokens));
    }
  }

  /** Draws a value of one call from the uniform distribution around the mean. */
  private drawAround(mean: number): number {
    return Math.round(
      mean * (MIN_SHARE_OF_MEAN + 2 * (1 - MIN_SHARE_OF_MEAN) * this.random.fraction()),
    );
  }

  private open(startMilliseconds: number): RunningCall {
    const estimate = this.drawAround(MEAN_PROMPT_TOKENS);
    const call: ModelCall = {
      kind: WorkKind.Model,
      requestIdentifier: this.identifiers.next(),
      accountName: `account-${this.random.integerBelow(this.scenario.accounts)}`,
      keyIdentifier: undefined,
      className: `class-${this.random.integerBelow(CLASS_COUNT)}`,
      arrivalMilliseconds: 0,
      deadlineMilliseconds: 0,
      isIdempotent: true,
      idempotencyKey: undefined,
      operation: ModelOperation.ChatCompletions,
      model: `model-${this.random.integerBelow(MODEL_COUNT)}`,
      parameters: {},
      isStreaming: true,
      includesUsage: false,
      promptTokens: estimate,
    };
    const error = PROMPT_ESTIMATE_ERROR * (2 * this.random.fraction() - 1);
    return {
      meter: this.usage.meter.open(call, `engine-${this.random.integerBelow(ENGINE_COUNT)}`),
      startMilliseconds,
      milliseconds: this.drawAround(MEAN_CALL_MILLISECONDS),
      promptTokens: Math.round(estimate * (1 + error)),
      completionTokens: this.drawAround(MEAN_COMPLETION_TOKENS),
    };
  }
}

function averagePerSecond(
  records: readonly Readonly<Record<string, number>>[],
  seconds: number,
): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const [type, value] of records.flatMap((record) => Object.entries(record))) {
    sums[type] = (sums[type] ?? 0) + value / seconds / records.length;
  }
  return sums;
}

/**
 * Runs the usage components of instances over an in-memory network and counts what they send. Two
 * thirds of the instances are in one zone and the others in a second zone. Deterministic.
 */
export async function measureUsageCost(scenario: UsageCostScenario): Promise<UsageCostResult> {
  const clock = new ManualClock();
  const random = new SeededRandomSource(1);
  const store = new CountingStore(new KeyValueTable(clock));
  const networks: CountingNetwork[] = [];
  const lifecycle = new LifecycleManager('usage cost', clock, (owner, failure) => {
    throw new RelayError(failure);
  });
  const traffic = Array.from({ length: scenario.instances }, (empty, index) => {
    const zone = index % 3 === 2 ? 'zone-b' : 'zone-a';
    const identity = { name: `entry-${index}`, zone, incarnation: random.identifier(8) };
    const network = new CountingNetwork(identity, networks, clock);
    networks.push(network);
    const usage = new InstanceUsage({
      ...{ network, store, clock, random, log: silentLogger },
      sink: new DiscardingReportSink(),
      authority: new FixedAuthority(zone, index === 0),
      liveness: new AlwaysLiveInstances(),
      engines: new UnavailableEngineUsage(),
    });
    usageTasks(usage).forEach((task) => lifecycle.start(task));
    return new ConstantRateTraffic(usage, random, scenario);
  });
  // The warm-up lets the number of running calls reach the steady state before counting starts.
  const warmUpMilliseconds = 2 * MEAN_CALL_MILLISECONDS;
  const endMilliseconds = warmUpMilliseconds + scenario.seconds * MILLISECONDS_PER_SECOND;
  for (
    let nowMilliseconds = 0;
    nowMilliseconds < endMilliseconds;
    nowMilliseconds += STEP_MILLISECONDS
  ) {
    if (nowMilliseconds === warmUpMilliseconds) {
      networks.forEach(({ bytes, messagesSent }) => {
        [bytes, messagesSent].forEach((record) => {
          Object.keys(record).forEach((type) => Reflect.deleteProperty(record, type));
        });
      });
      Object.assign(store, { reads: 0, writes: 0 });
    }
    traffic.forEach((each) => each.step(nowMilliseconds));
    await clock.advance(STEP_MILLISECONDS);
  }
  void lifecycle.stop();
  return {
    bytes: averagePerSecond(
      networks.map(({ bytes }) => bytes),
      scenario.seconds,
    ),
    messages: averagePerSecond(
      networks.map(({ messagesSent }) => messagesSent),
      scenario.seconds,
    ),
    reads: store.reads / scenario.seconds,
    writes: store.writes / scenario.seconds,
    largestValueBytes: store.largestValueBytes,
  };
}
