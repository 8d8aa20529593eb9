import { describeFailure, FailureKind } from 'hickoryrelay/Failure';

import { MessageQueue } from './MessageQueue.js';
import { PeerDialler } from './PeerDialler.js';
import { PeerLink } from './PeerLink.js';
import { PeerNetwork } from './PeerNetwork.js';

import type { PeerConnection, PeerTransport } from './PeerConnection.js';
import type { PeerAddress } from './PeerDialler.js';
import type { PeerLinkOwner, PeerStatement } from './PeerLink.js';
import type {
  InstanceIdentity,
  PeerMessage,
  PeerMessageType,
  ReceivedPeerMessage,
} from './PeerMessages.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Failure } from 'hickoryrelay/Failure';
import type { LifecycleManager, RunningTask } from 'hickoryrelay/LifecycleManager';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Messages that may wait for one consumer. Beyond it the link that sends more is cut. */
const CONSUMER_LIMIT = 4096;

/** Neighbours choose each other independently; about ten links are usual. */
const ACCEPTED_LIMIT = 64;

/** What a network is made of. */
export interface PeerNetworkParts {
  readonly identity: InstanceIdentity;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: PartLogger;
  readonly lifecycle: LifecycleManager;
  /** What heartbeats say about the configuration of this instance. */
  readonly statement: () => PeerStatement;
}

interface Consumer {
  readonly types: ReadonlySet<PeerMessageType>;
  readonly queue: MessageQueue<ReceivedPeerMessage>;
}

/** Why links ended, as counts by failure kind. */
export type LinkEndCounts = ReadonlyMap<FailureKind, number>;

/** Owns all links of this instance: opens them to wanted neighbours and accepts others. */
export class LinkedPeerNetwork extends PeerNetwork implements PeerLinkOwner {
  private readonly parts: PeerNetworkParts;

  private readonly links = new Map<string, PeerLink>();

  private readonly diallers = new Map<string, { dialler: PeerDialler; running: RunningTask }>();

  private readonly consumers = new Set<Consumer>();

  private readonly endObservers = new Set<(peerName: string) => void>();

  private readonly counts = new Map<FailureKind, number>();

  private acceptedCount = 0;

  constructor(parts: PeerNetworkParts) {
    super();
    this.parts = parts;
  }

  override get identity(): InstanceIdentity {
    return this.parts.identity;
  }

  get peersUrl(): string {
    return this.parts.transport.url;
  }

  get endCounts(): LinkEndCounts {
    return this.counts;
  }

  override connectedPeers(): readonly InstanceIdentity[] {
    return [...this.links.values()]
      .filter((link) => link.isProved)
      .map((link) => link.peer)
      .toSorted((left, right) => (left.name < right.name ? -1 : 1));
  }

  override send(peerName: string, message: PeerMessage): boolean {
    const link = this.links.get(peerName);
    return link !== undefined && link.isProved && link.send(message);
  }

  override messages(
    types: readonly PeerMessageType[],
    signal: AbortSignal,
  ): AsyncGenerator<ReceivedPeerMessage, void, void> {
    // The consumer is registered before its first step, so that no message is missed in between.
    const queue = new MessageQueue<ReceivedPeerMessage>(CONSUMER_LIMIT);
    const consumer = { types: new Set(types), queue };
    this.consumers.add(consumer);
    signal.addEventListener('abort', () => this.consumers.delete(consumer), { once: true });
    return this.consume(consumer, signal);
  }

  /** Starts to accept links. */
  async listen(): Promise<void> {
    const close = await this.parts.transport.listen((connection) => this.accept(connection));
    this.parts.lifecycle.own('peer interface', close);
  }

  /** Keeps links open to exactly these peers, besides the links that others open. */
  follow(wanted: readonly PeerAddress[]): void {
    const byName = new Map(wanted.map((address) => [address.name, address]));
    for (const [name, { dialler, running }] of [...this.diallers]) {
      if (byName.get(name)?.url !== dialler.address.url) {
        this.diallers.delete(name);
        void running.stop();
      }
    }
    for (const address of wanted) {
      if (!this.diallers.has(address.name)) {
        const dialler = this.dialler(address);
        const running = this.parts.lifecycle.start(dialler);
        this.diallers.set(address.name, { dialler, running });
      }
    }
  }

  statement(): PeerStatement {
    return this.parts.statement();
  }

  /**
   * Keeps one link to each peer. A newer incarnation replaces an older one. Of two links with the
   * same opener the newer is kept, since the older may be silent; of two with different openers
   * both ends keep the one that the instance with the lower name opened.
   */
  admit(link: PeerLink): boolean {
    const { peer } = link;
    const present = this.links.get(peer.name);
    if (present !== undefined) {
      const isKept =
        present.peer.incarnation === peer.incarnation
          ? present.openerName === link.openerName || link.openerName < present.openerName
          : present.peer.incarnation < peer.incarnation;
      if (!isKept) {
        return false;
      }
      present.cut({ kind: FailureKind.Cancelled, reason: 'another link to the peer replaces it' });
    }
    this.links.set(peer.name, link);
    return true;
  }

  deliver(received: ReceivedPeerMessage): boolean {
    return [...this.consumers]
      .filter((consumer) => consumer.types.has(received.message.type))
      .every((consumer) => consumer.queue.push(received));
  }

  onEnded(link: PeerLink, failure: Failure | undefined): void {
    if (failure !== undefined) {
      this.counts.set(failure.kind, (this.counts.get(failure.kind) ?? 0) + 1);
      const reason = describeFailure(failure);
      this.parts.log.info('A peer link ended.', { link: link.name, reason });
    }
    const peer = [...this.links].find(([, present]) => present === link)?.[0];
    if (peer === undefined) {
      return;
    }
    this.links.delete(peer);
    if (failure?.kind === FailureKind.DeadlineExceeded) {
      this.proveSiblings(link.peer.zone);
    }
    this.endObservers.forEach((observer) => observer(peer));
  }

  /** What lost the state of a silent link may lie in the path to the whole zone. */
  private proveSiblings(zone: string): void {
    for (const link of this.links.values()) {
      if (link.peer.zone === zone) {
        link.requireProof(this.parts.clock);
      }
    }
  }

  private async *consume(
    consumer: Consumer,
    signal: AbortSignal,
  ): AsyncGenerator<ReceivedPeerMessage, void, void> {
    try {
      while (!signal.aborted) {
        const received = await consumer.queue.next(this.parts.clock, Infinity, signal);
        if (typeof received === 'string') {
          return;
        }
        yield received;
      }
    } finally {
      this.consumers.delete(consumer);
    }
  }

  private accept(connection: PeerConnection): void {
    if (this.acceptedCount >= ACCEPTED_LIMIT || this.parts.lifecycle.isStopping) {
      connection.terminate();
      return;
    }
    this.acceptedCount += 1;
    const { ended } = this.parts.lifecycle.start(new PeerLink(this, connection, this.parts.clock));
    void ended.then(() => {
      this.acceptedCount -= 1;
    });
  }

  private dialler(address: PeerAddress): PeerDialler {
    const { clock, lifecycle, log, random, transport } = this.parts;
    return new PeerDialler(address, {
      transport,
      random,
      log,
      unlinked: (name, signal) => this.unlinked(name, signal),
      serve: async ({ name }, connection, signal) => {
        const running = lifecycle.start(new PeerLink(this, connection, clock, name));
        const stop = () => {
          void running.stop();
        };
        signal.addEventListener('abort', stop, { once: true });
        await running.ended;
        signal.removeEventListener('abort', stop);
      },
    });
  }

  private async unlinked(peerName: string, signal: AbortSignal): Promise<void> {
    while (this.links.has(peerName) && !signal.aborted) {
      await this.nextEnd(peerName, signal);
    }
  }

  private nextEnd(peerName: string, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const cleanUps: (() => void)[] = [];
      const finish = () => {
        cleanUps.forEach((cleanUp) => cleanUp());
        resolve();
      };
      const observer = (ended: string) => {
        if (ended === peerName) {
          finish();
        }
      };
      this.endObservers.add(observer);
      signal.addEventListener('abort', finish, { once: true });
      cleanUps.push(
        () => this.endObservers.delete(observer),
        () => signal.removeEventListener('abort', finish),
      );
    });
  }
}
