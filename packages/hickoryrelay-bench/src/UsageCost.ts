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

/** What is simulated. */
export interface UsageCostCase {
  /** Calls a second at each instance. */
  readonly callRate: number;
  readonly instances: number;
  readonly accounts: number;
  readonly seconds: number;
}

/** Bytes and messages a second that one instance sends, and platform calls a second of the zone. */
export interface UsageCostResult {
  readonly bytes: Readonly<Record<string, number>>;
  readonly messages: Readonly<Record<string, number>>;
  readonly reads: number;
  readonly writes: number;
  readonly largestValueBytes: number;
}

const STEP_MILLISECONDS = 10;
/** Finer steps of progress than the batch interval change nothing that is sent. */
const PROGRESS_STEP_MILLISECONDS = 250;
const LINK_DELAY_MILLISECONDS = 1;
const MILLISECONDS_PER_SECOND = 1000;
/** Header of a masked WebSocket frame of a medium payload. */
const FRAME_BYTES = 8;
/** From 26,600 tokens and 97 calls a second at each node, and 1,300 open streams. */
const TOKENS_PER_CALL = 274;
const CALL_MILLISECONDS = 13_400;
const PROMPT_TOKENS = 1800;
/**
 * Calls differ in length, tokens and prompt, evenly from this share of the mean to as much above it.
 * Equal calls would close in the order of their sequences and make differences of columns too cheap.
 */
const LEAST_SHARE = 0.1;
/** The engine counts up to this share more or fewer prompt tokens than the estimate at the opening. */
const PROMPT_ERROR = 0.1;
const MODELS = 9;
const CLASSES = 4;
const ENGINES = 24;
const TERM = 1;

class CountingStore extends KeyValueStore {
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

class AcceptingSink extends UsageReportSink {
  override async submit(): Promise<void> {
    await Promise.resolve();
  }

  override async find(): Promise<undefined> {
    return undefined;
  }
}

class SteadyAuthority extends Authority {
  override readonly zone: string;

  override readonly isHeld: boolean;

  override readonly fencingNumber = TERM;

  override readonly heldSinceMilliseconds = 0;

  constructor(zone: string, isHeld: boolean) {
    super();
    this.zone = zone;
    this.isHeld = isHeld;
  }

  override assertHeld(): void {
    // Never lost in this simulation.
  }

  override comparison(): Comparison {
    return { key: '/authority', target: 'create-revision', operand: 0 };
  }
}

class AllLive extends InstanceLiveness {
  override isDead(): boolean {
    return false;
  }
}

class NoEngines extends EngineUsageSource {
  override async count(): Promise<undefined> {
    return undefined;
  }
}

/** Links without faults, which count what is sent. */
class CountingNetwork extends PeerNetwork {
  override readonly identity: InstanceIdentity;

  readonly bytes: Record<string, number> = {};

  readonly messagesSent: Record<string, number> = {};

  private readonly all: readonly CountingNetwork[];

  private readonly clock: ManualClock;

  private readonly queue: ReceivedPeerMessage[] = [];

  private wake = () => {};

  constructor(identity: InstanceIdentity, all: readonly CountingNetwork[], clock: ManualClock) {
    super();
    this.identity = identity;
    this.all = all;
    this.clock = clock;
  }

  /** The others, beginning with the next, so that the records spread over all. */
  override connectedPeers(): readonly InstanceIdentity[] {
    const own = this.all.indexOf(this);
    return [...this.all.slice(own + 1), ...this.all.slice(0, own)].map(({ identity }) => identity);
  }

  override send(name: string, message: PeerMessage): boolean {
    const target = this.all.find(({ identity }) => identity.name === name);
    const size = encodePeerMessage(message, target?.identity).length + FRAME_BYTES;
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
        this.wake = resolve;
      });
    }
  }

  private push(received: ReceivedPeerMessage): void {
    this.queue.push(received);
    this.wake();
  }
}

interface RunningCall {
  readonly meter: MeteredCall;
  readonly startMilliseconds: number;
  readonly milliseconds: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** The calls of one instance at a steady rate. */
class SteadyTraffic {
  private readonly usage: InstanceUsage;

  private readonly random: SeededRandomSource;

  private readonly setting: UsageCostCase;

  private readonly identifiers: RequestIdentifierGenerator;

  private running: RunningCall[] = [];

  private opened = 0;

  constructor(usage: InstanceUsage, random: SeededRandomSource, setting: UsageCostCase) {
    this.usage = usage;
    this.random = random;
    this.setting = setting;
    this.identifiers = new RequestIdentifierGenerator(random);
  }

  step(nowMilliseconds: number): void {
    const due = (nowMilliseconds / MILLISECONDS_PER_SECOND) * this.setting.callRate;
    for (; this.opened < due; this.opened += 1) {
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

  /** A figure of one call, with the given mean over all calls. */
  private around(mean: number): number {
    return Math.round(mean * (LEAST_SHARE + 2 * (1 - LEAST_SHARE) * this.random.fraction()));
  }

  private open(startMilliseconds: number): RunningCall {
    const estimate = this.around(PROMPT_TOKENS);
    const call: ModelCall = {
      kind: WorkKind.Model,
      requestIdentifier: this.identifiers.next(),
      accountName: `account-${this.random.integerBelow(this.setting.accounts)}`,
      keyIdentifier: undefined,
      className: `class-${this.random.integerBelow(CLASSES)}`,
      arrivalMilliseconds: 0,
      deadlineMilliseconds: 0,
      isIdempotent: true,
      idempotencyKey: undefined,
      operation: ModelOperation.ChatCompletions,
      model: `model-${this.random.integerBelow(MODELS)}`,
      parameters: {},
      isStreaming: true,
      includesUsage: false,
      promptTokens: estimate,
    };
    const error = PROMPT_ERROR * (2 * this.random.fraction() - 1);
    return {
      meter: this.usage.meter.open(call, `engine-${this.random.integerBelow(ENGINES)}`),
      startMilliseconds,
      milliseconds: this.around(CALL_MILLISECONDS),
      promptTokens: Math.round(estimate * (1 + error)),
      completionTokens: this.around(TOKENS_PER_CALL),
    };
  }
}

function perSecond(
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
 * Runs the usage parts of a zone's instances over links in memory, two thirds of them in the zone
 * and the others next to it, and counts what they send. Repeatable: the same case gives the same
 * figures.
 */
export async function measureUsageCost(setting: UsageCostCase): Promise<UsageCostResult> {
  const clock = new ManualClock();
  const random = new SeededRandomSource(1);
  const store = new CountingStore(new KeyValueTable(clock));
  const networks: CountingNetwork[] = [];
  const lifecycle = new LifecycleManager('usage cost', clock, (owner, failure) => {
    throw new RelayError(failure);
  });
  const traffic = Array.from({ length: setting.instances }, (empty, index) => {
    const zone = index % 3 === 2 ? 'zone-b' : 'zone-a';
    const identity = { name: `entry-${index}`, zone, incarnation: random.identifier(8) };
    const network = new CountingNetwork(identity, networks, clock);
    networks.push(network);
    const usage = new InstanceUsage({
      ...{ network, store, clock, random, log: silentLogger },
      sink: new AcceptingSink(),
      authority: new SteadyAuthority(zone, index === 0),
      liveness: new AllLive(),
      engines: new NoEngines(),
    });
    usageTasks(usage).forEach((task) => lifecycle.start(task));
    return new SteadyTraffic(usage, random, setting);
  });
  // Calls run for as long as they do in the steady state before anything is counted.
  const warmUp = 2 * CALL_MILLISECONDS;
  const end = warmUp + setting.seconds * MILLISECONDS_PER_SECOND;
  for (let now = 0; now < end; now += STEP_MILLISECONDS) {
    if (now === warmUp) {
      networks.forEach(({ bytes, messagesSent }) => {
        [bytes, messagesSent].forEach((record) => {
          Object.keys(record).forEach((type) => Reflect.deleteProperty(record, type));
        });
      });
      Object.assign(store, { reads: 0, writes: 0 });
    }
    traffic.forEach((each) => each.step(now));
    await clock.advance(STEP_MILLISECONDS);
  }
  void lifecycle.stop();
  return {
    bytes: perSecond(
      networks.map(({ bytes }) => bytes),
      setting.seconds,
    ),
    messages: perSecond(
      networks.map(({ messagesSent }) => messagesSent),
      setting.seconds,
    ),
    reads: store.reads / setting.seconds,
    writes: store.writes / setting.seconds,
    largestValueBytes: store.largestValueBytes,
  };
}
