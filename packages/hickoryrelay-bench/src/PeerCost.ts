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

import { QueueClock } from './QueueClock.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';
import type { PeerConnection } from 'hickoryrelay-link/PeerConnection';
import type { DigestRow, PeerMessage } from 'hickoryrelay-link/PeerMessages';
import type { SimulatedInstance } from 'hickoryrelay-standin/SimulatedFederation';

const NODES_IN_ZONE = 58;
const SECONDS_IN_DAY = 86_400;
const CHANGES_IN_DAY = 7100;
const LATENCY_MILLISECONDS = 2;
const ACCOUNTS_OF_NODE = 24;

/** What the peers of one size of federation send, and how old what they know is. */
export interface TrafficFigures {
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

/** Simulated seconds before and during the measurement. */
export interface TrafficTimes {
  readonly warmUpSeconds: number;
  readonly measuredSeconds: number;
}

/** Runs a simulated federation of the given size and reports its peer traffic. */
export class TrafficExperiment {
  private readonly nodes: number;

  private readonly accounts: number;

  private readonly clock = new QueueClock();

  private readonly federation: SimulatedFederation;

  private changes = 0;

  private readonly times: TrafficTimes;

  constructor(nodes: number, accounts: number, seed: number, times: TrafficTimes) {
    this.nodes = nodes;
    this.times = times;
    this.accounts = accounts;
    this.federation = new SimulatedFederation(seed, this.clock);
    this.federation.network.deliver = (arrival) => {
      this.clock.schedule(LATENCY_MILLISECONDS, arrival);
    };
  }

  async run(): Promise<TrafficFigures> {
    await this.change();
    for (let index = 0; index < this.nodes; index += 1) {
      const zone = Math.floor(index / NODES_IN_ZONE);
      await this.federation.start(`entry-${zone}-${index % NODES_IN_ZONE}`, `zone-${zone}`);
    }
    await this.elapse(this.times.warmUpSeconds * 1000);
    this.federation.network.sent.clear();
    const seconds = this.times.measuredSeconds;
    const suspected = await this.elapse(seconds * 1000);
    const sent = [...this.federation.network.sent.values()];
    const ages = this.heartbeatAges();
    const links = this.instances.map(
      ({ controlPlane: control }) => control.network.connectedPeers().length,
    );
    const changeMilliseconds = await this.timeOfChange();
    this.federation.platform.silencesWatches = true;
    const silentWatchChangeMilliseconds = await this.timeOfChange();
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

  /** Lets time pass with use by accounts. Counts views of live nodes as suspect or dead. */
  private async elapse(milliseconds: number): Promise<{ suspect: number; dead: number }> {
    const counts = { suspect: 0, dead: 0 };
    const { random } = this.federation;
    for (let passed = 0; passed < milliseconds; passed += 1000) {
      for (const { controlPlane: control } of this.instances) {
        for (let each = 0; each < ACCOUNTS_OF_NODE; each += 1) {
          control.digest.charge(`account-${random.integerBelow(this.accounts)}`, 1000);
        }
      }
      await this.clock.advance(1000);
      for (const { controlPlane: control } of this.instances) {
        for (const member of control.membership.known()) {
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
      for (const member of control.membership.known()) {
        const age = control.membership.heartbeatAgeMilliseconds(member);
        (member.row.identity.zone === zone ? own : others).push(age);
      }
    }
    return { own, others };
  }

  private async change(): Promise<number> {
    this.changes += 1;
    const document = sampleDeclarations();
    document.budget.costPerHour = this.changes;
    const store = this.federation.operator('operator');
    let isDone = false;
    const replaced = store
      .replace(document, this.changes - 1, { author: 'bench', summary: '', wallMilliseconds: 0 })
      .finally(() => {
        isDone = true;
      });
    while (!isDone) {
      await this.clock.advance(1);
    }
    const { revision } = await replaced;
    return revision;
  }

  private async timeOfChange(): Promise<number> {
    const revision = await this.change();
    const start = this.clock.monotonicMilliseconds();
    while (this.instances.some(({ view }) => view.revision < revision)) {
      await this.clock.advance(1);
      invariant(this.clock.monotonicMilliseconds() - start < 60_000, 'the change does not arrive');
    }
    return this.clock.monotonicMilliseconds() - start;
  }
}

/** Declarations with many accounts, each with two keys. */
export function declarationsOf(accounts: number): DeclarationsDocument {
  const random = new SeededRandomSource(1);
  const document = sampleDeclarations();
  document.accounts = Array.from({ length: accounts }, (empty, index) => ({
    name: `account-${index}`,
    classes: ['ask', 'book'],
    keys: [AccessKey.issue(random).declaration, AccessKey.issue(random).declaration],
  }));
  return document;
}

/** What a change of one account costs a node. */
export interface ChangeFigures {
  readonly accounts: number;
  readonly wholeBytes: number;
  readonly changeBytes: number;
  readonly headBytes: number;
  readonly bytesPerSecond: number;
  readonly cpuMilliseconds: number;
}

/** CPU milliseconds of one run of an action, by the mean of many. */
export function cpuMillisecondsOf(times: number, action: () => void): number {
  action();
  const start = process.cpuUsage();
  for (let index = 0; index < times; index += 1) {
    action();
  }
  const { user, system } = process.cpuUsage(start);
  return (user + system) / 1000 / times;
}

export function measureChange(accounts: number): ChangeFigures {
  const document = declarationsOf(accounts);
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
  const cpuMilliseconds = cpuMillisecondsOf(20, () => {
    encodePeerMessage(message);
    decodePeerMessage(bytes, 'bench');
    invariant(matchesDigests({ head, texts: after.texts }), 'the change is whole');
    invariant(
      new Declarations(assembleDocument(after.texts)).accounts.size === accounts,
      'all there',
    );
  });
  return {
    accounts,
    wholeBytes: after.texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0),
    changeBytes,
    headBytes: JSON.stringify(head).length,
    bytesPerSecond: (changeBytes * CHANGES_IN_DAY) / SECONDS_IN_DAY,
    cpuMilliseconds,
  };
}

function rowOf(index: number, heartbeat: number, accounts: number): DigestRow {
  const zone = Math.floor(index / NODES_IN_ZONE);
  const start = (index * 7 + heartbeat * 8) % accounts;
  return {
    identity: {
      name: `entry-${zone}-${index % NODES_IN_ZONE}`,
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

/** What a digest costs a node of a federation, and what it holds in memory. */
export interface DigestFigures {
  readonly nodes: number;
  readonly accounts: number;
  readonly messageBytes: number;
  readonly sendMilliseconds: number;
  readonly receiveMilliseconds: number;
  readonly bytesInMemoryOfRow: number;
}

/** Bytes of the heap and of typed arrays, which lie outside it. */
function memoryInUse(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

export function measureDigest(nodes: number, accounts: number, clock: Clock): DigestFigures {
  const identity = { name: 'entry-0-own', zone: 'zone-0', incarnation: '000000000001abcd' };
  const build = () => {
    const membership = new Membership(identity, clock);
    const statement = () => ({ revision: 7100, viewAgeMilliseconds: 2500 });
    return new InstanceDigest(membership, clock, statement, () => 'ws://10.0.0.99:7400');
  };
  globalThis.gc?.();
  const memoryBefore = memoryInUse();
  const digest = build();
  for (let account = 0; account < ACCOUNTS_OF_NODE; account += 1) {
    digest.charge(`account-${account}`, 5000);
  }
  // Each row is heard often enough to have named every account once.
  const rounds = Math.ceil(accounts / 8);
  for (let round = 1; round <= rounds; round += 1) {
    for (let index = 0; index < nodes; index += 1) {
      const row = rowOf(index, round, accounts);
      const bytes = encodePeerMessage({ type: 'digest', rows: [row], heartbeats: [] });
      const message = decodePeerMessage(bytes, 'bench');
      invariant(message.type === 'digest', 'a digest');
      digest.receive(message);
    }
  }
  globalThis.gc?.();
  const memoryBytes = memoryInUse() - memoryBefore;
  const bytes = encodePeerMessage(digest.nextMessages().whole);
  const sendMilliseconds = cpuMillisecondsOf(200, () => {
    digest.charge('account-1', 5000);
    encodePeerMessage(digest.nextMessages().whole);
  });
  let heartbeat = rounds;
  const receiveMilliseconds = cpuMillisecondsOf(200, () => {
    heartbeat += 1;
    const rows = Array.from({ length: Math.min(9, nodes) }, (empty, index) =>
      rowOf(index, heartbeat, accounts),
    );
    const message = decodePeerMessage(
      encodePeerMessage({ type: 'digest', rows, heartbeats: [] }),
      'bench',
    );
    invariant(message.type === 'digest', 'a digest');
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

/** CPU milliseconds of one heartbeat over a WebSocket on loopback, both ends together. */
export async function measureSocketHeartbeat(): Promise<number> {
  const clock = new SystemClock();
  const server = new WebSocketPeerTransport('127.0.0.1', 0);
  const accepted: PeerConnection[] = [];
  const close = await server.listen((connection) => accepted.push(connection));
  const { signal } = new AbortController();
  const near = await new WebSocketPeerTransport('127.0.0.1', 0).connect(server.url, signal);
  const bytes = encodePeerMessage({
    type: 'heartbeat',
    sequence: 100_000,
    echo: 100_000,
    revision: 7100,
    viewAgeMilliseconds: 2500,
  });
  const times = 5000;
  const start = process.cpuUsage();
  for (let index = 0; index < times; index += 1) {
    near.send(bytes);
    const received = await accepted[0]?.received.next(clock, 1000, signal);
    invariant(received instanceof Uint8Array, 'the heartbeat arrives');
    decodePeerMessage(received, 'bench');
  }
  const { user, system } = process.cpuUsage(start);
  near.terminate();
  await close();
  return (user + system) / 1000 / times;
}
