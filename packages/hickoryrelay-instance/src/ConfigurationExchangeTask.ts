import { Task } from 'hickoryrelay/Task';
import { BUCKET_COUNT } from 'hickoryrelay-contract/ConfigurationBucket';
import { PeerMessageType } from 'hickoryrelay-link/PeerMessages';

import type { ConfigurationUpdater } from './ConfigurationUpdater.js';
import type { ConfigurationView } from './ConfigurationView.js';
import type { InstanceDigest } from './InstanceDigest.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { TaskContext } from 'hickoryrelay/Task';
import type { PeerMessage, ReceivedPeerMessage } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';
import type { Configuration } from 'hickoryrelay-platform/ConfigurationStore';

/** A request without a response within this time no longer blocks requests to others. */
const REQUEST_TIMEOUT_MILLISECONDS = 1000;

interface PendingRequest {
  readonly peerName: string;
  readonly sentMilliseconds: number;
  /** The configuration to which the buckets of the response are applied. */
  readonly base: Configuration | undefined;
}

/**
 * Exchanges configurations with peers: announces new revisions, requests the buckets that changed
 * and responds to the requests of others.
 */
export class ConfigurationExchangeTask extends Task {
  override readonly name = 'configuration exchange';

  private readonly network: PeerNetwork;

  private readonly updater: ConfigurationUpdater;

  private readonly view: ConfigurationView;

  private readonly digest: InstanceDigest;

  private pending: PendingRequest | undefined;

  /** The last refused revision of each peer, by peer name; not requested from that peer again. */
  private readonly refusedRevisions = new Map<string, number>();

  constructor(
    network: PeerNetwork,
    updater: ConfigurationUpdater,
    view: ConfigurationView,
    digest: InstanceDigest,
  ) {
    super();
    this.network = network;
    this.updater = updater;
    this.view = view;
    this.digest = digest;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    const types = [
      PeerMessageType.Hello,
      PeerMessageType.Heartbeat,
      PeerMessageType.ConfigurationChanged,
      PeerMessageType.ConfigurationRequest,
      PeerMessageType.ConfigurationBuckets,
    ];
    const unsubscribe = this.view.subscribe((declarations, revision) => {
      this.network.broadcast({ type: PeerMessageType.ConfigurationChanged, revision });
    });
    try {
      for await (const received of this.network.messages(types, signal)) {
        this.handle(received, clock);
        yield;
      }
    } finally {
      await unsubscribe();
    }
  }

  private handle(
    { from, message, echoedHeartbeatSentMilliseconds }: ReceivedPeerMessage,
    clock: Clock,
  ): void {
    switch (message.type) {
      case PeerMessageType.Hello:
        this.refusedRevisions.delete(from.name);
        this.handleAnnouncedRevision(from.name, message.revision, clock);
        break;
      case PeerMessageType.Heartbeat:
        if (echoedHeartbeatSentMilliseconds !== undefined) {
          const { revision, configurationTag, viewAgeMilliseconds } = message;
          if (configurationTag === this.view.tag) {
            this.view.confirm(revision, echoedHeartbeatSentMilliseconds - viewAgeMilliseconds);
          }
        }
        this.handleAnnouncedRevision(from.name, message.revision, clock);
        break;
      case PeerMessageType.ConfigurationChanged:
        this.handleAnnouncedRevision(from.name, message.revision, clock);
        break;
      case PeerMessageType.ConfigurationRequest:
        this.answer(from.name, message.digests);
        break;
      case PeerMessageType.ConfigurationBuckets:
        this.receiveBuckets(from.name, message);
        break;
      default:
    }
  }

  private handleAnnouncedRevision(peerName: string, revision: number, clock: Clock): void {
    this.digest.recordRevision(revision);
    const now = clock.monotonicMilliseconds();
    const isRequestPending =
      this.pending !== undefined &&
      now - this.pending.sentMilliseconds < REQUEST_TIMEOUT_MILLISECONDS;
    const wasRefused = this.refusedRevisions.get(peerName) === revision;
    if (revision <= this.updater.newestRevision || isRequestPending || wasRefused) {
      return;
    }
    const base = this.updater.newest;
    const digests = base?.head.digests ?? [];
    if (this.network.send(peerName, { type: PeerMessageType.ConfigurationRequest, digests })) {
      this.pending = { peerName, sentMilliseconds: now, base };
    }
  }

  private answer(peerName: string, digests: readonly string[]): void {
    const { current } = this.view;
    if (current === undefined) {
      return;
    }
    this.network.send(peerName, {
      type: PeerMessageType.ConfigurationBuckets,
      revision: current.head.revision,
      digests: current.head.digests,
      buckets: current.texts.flatMap((text, index) =>
        current.head.digests[index] === digests[index] ? [] : [[index, text] as const],
      ),
    });
  }

  private receiveBuckets(
    peerName: string,
    message: Extract<PeerMessage, { type: 'configuration-buckets' }>,
  ): void {
    const { pending } = this;
    // The buckets are a difference to the base, so the response is ignored if the base has changed.
    if (pending?.peerName !== peerName || pending.base !== this.updater.newest) {
      return;
    }
    this.pending = undefined;
    const texts = [...(pending.base?.texts ?? [])];
    for (const [index, text] of message.buckets) {
      // An index out of range makes the list too long, which validation refuses.
      texts[Math.min(index, BUCKET_COUNT)] = text;
    }
    const { revision, digests } = message;
    if (!this.updater.submit({ head: { revision, digests }, texts })) {
      this.refusedRevisions.set(peerName, revision);
    }
  }
}
