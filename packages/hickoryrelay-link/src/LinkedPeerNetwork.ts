import { describeFailure, FailureKind } from 'hickoryrelay/Failure';

import { MessageQueue } from './MessageQueue.js';
import { PeerConnector } from './PeerConnector.js';
import { PeerLink } from './PeerLink.js';
import { PeerNetwork } from './PeerNetwork.js';

import type { PeerConnection, PeerTransport } from './PeerConnection.js';
import type { PeerAddress } from './PeerConnector.js';
import type { PeerLinkOwner, ConfigurationStatus } from './PeerLink.js';
import type {
  InstanceIdentity,
  PeerMessage,
  PeerMessageType,
  ReceivedPeerMessage,
} from './PeerMessages.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Failure } from 'hickoryrelay/Failure';
import type { LifecycleManager, RunningTask } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Messages that may wait for one consumer. A link that delivers more is ended. */
const CONSUMER_QUEUE_LIMIT = 4096;

/** Instances choose their neighbours independently; about ten accepted links are usual. */
const ACCEPTED_LINK_LIMIT = 64;

/** Dependencies of a peer network. */
export interface PeerNetworkParts {
  readonly identity: InstanceIdentity;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
  readonly lifecycle: LifecycleManager;
  /** Returns what heartbeats report about the configuration of this instance. */
  readonly configurationStatus: () => ConfigurationStatus;
}

interface Consumer {
  readonly types: ReadonlySet<PeerMessageType>;
  readonly queue: MessageQueue<ReceivedPeerMessage>;
}

/** Number of ended links for each kind of failure. */
export type LinkEndCounts = ReadonlyMap<FailureKind, number>;

/** Owns all peer links of this instance: opens links to its neighbours and accepts others. */
export class LinkedPeerNetwork extends PeerNetwork implements PeerLinkOwner {
  private readonly parts: PeerNetworkParts;

  private readonly links = new Map<string, PeerLink>();

  private readonly connectors = new Map<
    string,
    { connector: PeerConnector; running: RunningTask }
  >();

  private readonly consumers = new Set<Consumer>();

  private readonly linkEndObservers = new Set<(peerName: string) => void>();

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

  get linkEndCounts(): LinkEndCounts {
    return this.counts;
  }

  override connectedPeers(): readonly InstanceIdentity[] {
    return [...this.links.values()]
      .filter((link) => link.isVerified)
      .map((link) => link.peer)
      .toSorted((left, right) => (left.name < right.name ? -1 : 1));
  }

  override send(peerName: string, message: PeerMessage): boolean {
    const link = this.links.get(peerName);
    return link !== undefined && link.isVerified && link.send(message);
  }

  override messages(
    types: readonly PeerMessageType[],
    signal: AbortSignal,
  ): AsyncGenerator<ReceivedPeerMessage, void, void> {
    // Registered before the generator's first step, so that no message is missed in between.
    const queue = new MessageQueue<ReceivedPeerMessage>(CONSUMER_QUEUE_LIMIT);
    const consumer = { types: new Set(types), queue };
    this.consumers.add(consumer);
    signal.addEventListener('abort', () => this.consumers.delete(consumer), { once: true });
    return this.consume(consumer, signal);
  }

  /** Starts accepting links. */
  async listen(): Promise<void> {
    const close = await this.parts.transport.listen((connection) => this.accept(connection));
    this.parts.lifecycle.own('peer interface', close);
  }

  /** Keeps links open to exactly these peers, in addition to accepted links. */
  setNeighbours(neighbours: readonly PeerAddress[]): void {
    const byName = new Map(neighbours.map((address) => [address.name, address]));
    for (const [name, { connector, running }] of [...this.connectors]) {
      if (byName.get(name)?.url !== connector.address.url) {
        this.connectors.delete(name);
        void running.stop();
      }
    }
    for (const address of neighbours) {
      if (!this.connectors.has(address.name)) {
        const connector = this.createConnector(address);
        const running = this.parts.lifecycle.start(connector);
        this.connectors.set(address.name, { connector, running });
      }
    }
  }

  configurationStatus(): ConfigurationStatus {
    return this.parts.configurationStatus();
  }

  /**
   * Keeps one link to each peer. A newer incarnation replaces an older one. Of two links opened by
   * the same instance the newer is kept, because the older may be silent. Of two links opened by
   * different instances both ends keep the one opened by the instance with the lower name.
   */
  register(link: PeerLink): boolean {
    const { peer } = link;
    const existing = this.links.get(peer.name);
    if (existing !== undefined) {
      const isKept =
        existing.peer.incarnation === peer.incarnation
          ? existing.openerName === link.openerName || link.openerName < existing.openerName
          : existing.peer.incarnation < peer.incarnation;
      if (!isKept) {
        return false;
      }
      existing.disconnect({
        kind: FailureKind.Cancelled,
        reason: 'another link to the peer replaces it',
      });
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
      this.verifySiblings(link.peer.zone);
    }
    this.linkEndObservers.forEach((observer) => observer(peer));
  }

  /** The fault that silenced a link may lie on the network path to the whole zone. */
  private verifySiblings(zone: string): void {
    for (const link of this.links.values()) {
      if (link.peer.zone === zone) {
        link.requireVerification(this.parts.clock);
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
    if (this.acceptedCount >= ACCEPTED_LINK_LIMIT || this.parts.lifecycle.isStopping) {
      connection.terminate();
      return;
    }
    this.acceptedCount += 1;
    const { ended } = this.parts.lifecycle.start(new PeerLink(this, connection, this.parts.clock));
    void ended.then(() => {
      this.acceptedCount -= 1;
    });
  }

  private createConnector(address: PeerAddress): PeerConnector {
    const { clock, lifecycle, log, random, transport } = this.parts;
    return new PeerConnector(address, {
      transport,
      random,
      log,
      waitUntilUnlinked: (name, signal) => this.waitUntilUnlinked(name, signal),
      runLink: async ({ name }, connection, signal) => {
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

  private async waitUntilUnlinked(peerName: string, signal: AbortSignal): Promise<void> {
    while (this.links.has(peerName) && !signal.aborted) {
      await this.waitForLinkEnd(peerName, signal);
    }
  }

  private waitForLinkEnd(peerName: string, signal: AbortSignal): Promise<void> {
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
      this.linkEndObservers.add(observer);
      signal.addEventListener('abort', finish, { once: true });
      cleanUps.push(
        () => this.linkEndObservers.delete(observer),
        () => signal.removeEventListener('abort', finish),
      );
    });
  }
}
