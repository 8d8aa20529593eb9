import { SystemClock } from 'hickoryrelay/Clock';
import { invariant } from 'hickoryrelay/Invariant';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';
import { assembleDocument, splitIntoBuckets } from 'hickoryrelay-contract/ConfigurationBucket';
import { Declarations } from 'hickoryrelay-contract/Declarations';
import { InstanceDigest } from 'hickoryrelay-instance/InstanceDigest';
import { Liveness, Membership } from 'hickoryrelay-instance/Membership';
import { decodePeerMessage, encodePeerMessage } from 'hickoryrelay-link/PeerMessageCodec';
import { WebSocketPeerTransport } from 'hickoryrelay-link/WebSocketPeerTransport';
import { matchesDigests } from 'hickoryrelay-platform/ConfigurationStore';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { SimulatedFederation } from 'hickoryrelay-standin/SimulatedFederation';

import { BucketedClock } from './BucketedClock.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';
import type { PeerConnection } from 'hickoryrelay-link/PeerConnection';
import type { DigestRow, PeerMessage } from 'hickoryrelay-link/PeerMessages';
import type { SimulatedInstance } from 'hickoryrelay-standin/SimulatedFederation';

const NODES_PER_ZONE = 58;
const SECONDS_PER_DAY = 86_400;
const CHANGES_PER_DAY = 7100;
const LINK_LATENCY_MILLISECONDS = 2;
const ACCOUNTS_PER_NODE = 24;

/** Peer traffic and staleness in a federation of one size. */
export interface PeerTrafficMetrics {
  readonly nodes: number;
  readonly linksMean: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly bytesPerSecondHighest: number;
  readonly zoneHeartbeatAgeHighest: number;
  readonly otherHeartbeatAgeHighest: number;
  readonly falseSuspicions: number;
  readonly falseDeaths: number;
  readonly changeMilliseconds: number;
  readonly silentWatchChangeMilliseconds: number;
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Simulated time before and during the measurement. */
export interface MeasurementPeriods {
  readonly warmUpSeconds: number;
  readonly measuredSeconds: number;
}

/** Runs a simulated federation of the given size and reports its peer traffic. */
export class PeerTrafficExperiment {
  private readonly nodes: number;

  private readonly accounts: number;

  private readonly clock = new BucketedClock();

  private readonly federation: SimulatedFederation;

  private revision = 0;

  private readonly periods: MeasurementPeriods;

  constructor(nodes: number, accounts: number, seed: number, periods: MeasurementPeriods) {
    this.nodes = nodes;
    this.periods = periods;
    this.accounts = accounts;
    this.federation = new SimulatedFederation(seed, this.clock);
    this.federation.network.deliver = (arrival) => {
      this.clock.schedule(LINK_LATENCY_MILLISECONDS, arrival);
    };
  }

  async run(): Promise<PeerTrafficMetrics> {
    await this.applyChange();
    for (let index = 0; index < this.nodes; index += 1) {
      const zone = Math.floor(index / NODES_PER_ZONE);
      await this.federation.start(`entry-${zone}-${index % NODES_PER_ZONE}`, `zone-${zone}`);
    }
    await this.advanceWithUsage(this.periods.warmUpSeconds * 1000);
    this.federation.network.sent.clear();
    const seconds = this.periods.measuredSeconds;
    const suspected = await this.advanceWithUsage(seconds * 1000);
    const sent = [...this.federation.network.sent.values()];
    const ages = this.heartbeatAges();
    const links = this.instances.map(
      ({ controlPlane: control }) => control.network.connectedPeers().length,
    );
    const changeMilliseconds = await this.measurePropagation();
    this.federation.platform.silencesWatches = true;
    const silentWatchChangeMilliseconds = await this.measurePropagation();
    this.federation.stop();
    return {
      nodes: this.nodes,
      linksMean: links.reduce((sum, each) => sum + each, 0) / this.nodes,
      messagesPerSecond: sent.reduce((sum, each) => sum + each.messages, 0) / this.nodes / seconds,
      bytesPerSecond: sent.reduce((sum, each) => sum + each.bytes, 0) / this.nodes / seconds,
      bytesPerSecondHighest: Math.max(...sent.map(({ bytes }) => bytes)) / seconds,
      zoneHeartbeatAgeHighest: quantile(ages.own, 0.999),
      otherHeartbeatAgeHighest: quantile(ages.others, 0.999),
      falseSuspicions: suspected.suspect,
      falseDeaths: suspected.dead,
      changeMilliseconds,
      silentWatchChangeMilliseconds,
    };
  }

  private get instances(): SimulatedInstance[] {
    return [...this.federation.instances.values()];
  }

  /** Advances the clock under load. Counts live nodes that others consider suspect or dead. */
  private async advanceWithUsage(milliseconds: number): Promise<{ suspect: number; dead: number }> {
    const counts = { suspect: 0, dead: 0 };
    const { random } = this.federation;
    for (let passed = 0; passed < milliseconds; passed += 1000) {
      for (const { controlPlane: control } of this.instances) {
        for (let each = 0; each < ACCOUNTS_PER_NODE; each += 1) {
          control.digest.charge(`account-${random.integerBelow(this.accounts)}`, 1000);
        }
      }
      await this.clock.advance(1000);
      for (const { controlPlane: control } of this.instances) {
        for (const member of control.membership.knownMembers()) {
          const liveness = control.membership.livenessOf(member);
          counts.suspect += liveness === Liveness.Suspect ? 1 : 0;
          counts.dead += liveness === Liveness.Dead ? 1 : 0;
        }
      }
    }
    return counts;
  }

  private heartbeatAges(): { own: number[]; others: number[] } {
    const own: number[] = [];
    const others: number[] = [];
    for (const { controlPlane: control, zone } of this.instances) {
      for (const member of control.membership.knownMembers()) {
        const age = control.membership.heartbeatAgeMilliseconds(member);
        (member.row.identity.zone === zone ? own : others).push(age);
      }
    }
    return { own, others };
  }

  private async applyChange(): Promise<number> {
    this.revision += 1;
    const document = sampleDeclarations();
    document.budget.costPerHour = this.revision;
    const store = this.federation.operator('operator');
    let isDone = false;
    const replaced = store
      .replace(document, this.revision - 1, { author: 'bench', summary: '', wallMilliseconds: 0 })
      .finally(() => {
        isDone = true;
      });
    while (!isDone) {
      await this.clock.advance(1);
    }
    const { revision } = await replaced;
    return revision;
  }

  private async measurePropagation(): Promise<number> {
    const revision = await this.applyChange();
    const start = this.clock.monotonicMilliseconds();
    while (this.instances.some(({ view }) => view.revision < revision)) {
      await this.clock.advance(1);
      invariant(
        this.clock.monotonicMilliseconds() - start < 60_000,
        'the change did not reach every instance within 60 s',
      );
    }
    return this.clock.monotonicMilliseconds() - start;
  }
}

/** Creates declarations with the given number of accounts, each with two keys. */
export function createDeclarations(accounts: number): DeclarationsDocument {
  const random = new SeededRandomSource(1);
  const document = sampleDeclarations();
  document.accounts = Array.from({ length: accounts }, (empty, index) => ({
    name: `account-${index}`,
    classes: ['ask', 'book'],
    keys: [AccessKey.issue(random).declaration, AccessKey.issue(random).declaration],
  }));
  return document;
}

/** Cost for a node of a change to one account. */
export interface ChangeCost {
  readonly accounts: number;
  readonly wholeBytes: number;
  readonly changeBytes: number;
  readonly headBytes: number;
  readonly bytesPerSecond: number;
  readonly cpuMilliseconds: number;
}

/** Mean CPU time of an action, measured after one warm-up run. */
export function measureCpuMilliseconds(times: number, action: () => void): number {
  action();
  const start = process.cpuUsage();
  for (let index = 0; index < times; index += 1) {
    action();
  }
  const { user, system } = process.cpuUsage(start);
  return (user + system) / 1000 / times;
}

export function measureChange(accounts: number): ChangeCost {
  const document = createDeclarations(accounts);
  const before = splitIntoBuckets(document);
  document.accounts[0]?.keys?.forEach((key, index, keys) => {
    keys.splice(index, 1, { ...key, withdrawn: true });
  });
  const after = splitIntoBuckets(document);
  const head = { revision: 2, digests: after.digests };
  const message: PeerMessage = {
    type: 'configuration-buckets',
    ...head,
    buckets: after.texts.flatMap((text, index) =>
      before.digests[index] === after.digests[index] ? [] : [[index, text] as const],
    ),
  };
  const request = { type: 'configuration-request', digests: before.digests } as const;
  const bytes = encodePeerMessage(message);
  const changeBytes = bytes.length + encodePeerMessage(request).length;
  const cpuMilliseconds = measureCpuMilliseconds(20, () => {
    encodePeerMessage(message);
    decodePeerMessage(bytes, 'bench');
    invariant(
      matchesDigests({ head, texts: after.texts }),
      'the digests do not match the changed texts',
    );
    invariant(
      new Declarations(assembleDocument(after.texts)).accounts.size === accounts,
      'not all accounts are declared',
    );
  });
  return {
    accounts,
    wholeBytes: after.texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0),
    changeBytes,
    headBytes: JSON.stringify(head).length,
    bytesPerSecond: (changeBytes * CHANGES_PER_DAY) / SECONDS_PER_DAY,
    cpuMilliseconds,
  };
}

function createDigestRow(index: number, heartbeat: number, accounts: number): DigestRow {
  const zone = Math.floor(index / NODES_PER_ZONE);
  const start = (index * 7 + heartbeat * 8) % accounts;
  return {
    identity: {
      name: `entry-${zone}-${index % NODES_PER_ZONE}`,
      zone: `zone-${zone}`,
      incarnation: `${(1_700_000_000_000 + index).toString(16).padStart(12, '0')}abcd`,
    },
    heartbeat,
    state: 'live',
    revision: 7100,
    viewAgeMilliseconds: 2500,
    peersUrl: `ws://10.0.${zone}.${index}:7400`,
    costs: Array.from({ length: Math.min(8, accounts) }, (empty, offset) => [
      `account-${(start + offset) % accounts}`,
      heartbeat * 1000 + offset,
    ]),
    work: {
      prefill: 40_000_000_000,
      decode: 40_000_000_000,
      classes: [
        [65_534, 40_000_000_000],
        [65_535, 40_000_000_000],
      ],
    },
  };
}

/** CPU time and size of a digest message, and the memory that a digest row takes. */
export interface DigestCost {
  readonly nodes: number;
  readonly accounts: number;
  readonly messageBytes: number;
  readonly sendMilliseconds: number;
  readonly receiveMilliseconds: number;
  readonly bytesInMemoryOfRow: number;
}

/** Bytes of the heap and of array buffers, which are allocated outside it. */
function memoryBytesInUse(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

export function measureDigest(nodes: number, accounts: number, clock: Clock): DigestCost {
  const identity = { name: 'entry-0-own', zone: 'zone-0', incarnation: '000000000001abcd' };
  const createDigest = () => {
    const membership = new Membership(identity, clock);
    const readStatement = () => ({ revision: 7100, viewAgeMilliseconds: 2500 });
    return new InstanceDigest(membership, clock, readStatement, () => 'ws://10.0.0.99:7400');
  };
  globalThis.gc?.();
  const memoryBefore = memoryBytesInUse();
  const digest = createDigest();
  for (let account = 0; account < ACCOUNTS_PER_NODE; account += 1) {
    digest.charge(`account-${account}`, 5000);
  }
  // Each row is received often enough to name every account once.
  const rounds = Math.ceil(accounts / 8);
  for (let round = 1; round <= rounds; round += 1) {
    for (let index = 0; index < nodes; index += 1) {
      const row = createDigestRow(index, round, accounts);
      const bytes = encodePeerMessage({ type: 'digest', rows: [row], heartbeats: [] });
      const message = decodePeerMessage(bytes, 'bench');
      invariant(message.type === 'digest', 'the message is not a digest');
      digest.receive(message);
    }
  }
  globalThis.gc?.();
  const memoryBytes = memoryBytesInUse() - memoryBefore;
  const bytes = encodePeerMessage(digest.createMessages().full);
  const sendMilliseconds = measureCpuMilliseconds(200, () => {
    digest.charge('account-1', 5000);
    encodePeerMessage(digest.createMessages().full);
  });
  let heartbeat = rounds;
  const receiveMilliseconds = measureCpuMilliseconds(200, () => {
    heartbeat += 1;
    const rows = Array.from({ length: Math.min(9, nodes) }, (empty, index) =>
      createDigestRow(index, heartbeat, accounts),
    );
    const message = decodePeerMessage(
      encodePeerMessage({ type: 'digest', rows, heartbeats: [] }),
      'bench',
    );
    invariant(message.type === 'digest', 'the message is not a digest');
    digest.receive(message);
  });
  return {
    nodes,
    accounts,
    messageBytes: bytes.length,
    sendMilliseconds,
    receiveMilliseconds,
    bytesInMemoryOfRow: memoryBytes / nodes,
  };
}

/** CPU time of one heartbeat over a loopback WebSocket, for sender and receiver together. */
export async function measureSocketHeartbeat(): Promise<number> {
  const clock = new SystemClock();
  const server = new WebSocketPeerTransport('127.0.0.1', 0);
  const accepted: PeerConnection[] = [];
  const close = await server.listen((connection) => accepted.push(connection));
  const { signal } = new AbortController();
  const client = await new WebSocketPeerTransport('127.0.0.1', 0).connect(server.url, signal);
  const bytes = encodePeerMessage({
    type: 'heartbeat',
    sequence: 100_000,
    echo: 100_000,
    revision: 7100,
    configurationTag: 4_000_000_000,
    viewAgeMilliseconds: 2500,
  });
  const times = 5000;
  const start = process.cpuUsage();
  for (let index = 0; index < times; index += 1) {
    client.send(bytes);
    const received = await accepted[0]?.received.next(clock, 1000, signal);
    invariant(received instanceof Uint8Array, 'the heartbeat did not arrive');
    decodePeerMessage(received, 'bench');
  }
  const { user, system } = process.cpuUsage(start);
  client.terminate();
  await close();
  return (user + system) / 1000 / times;
}
