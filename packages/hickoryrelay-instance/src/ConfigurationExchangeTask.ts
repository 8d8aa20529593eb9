import { Task } from 'hickoryrelay/Task';
import { BUCKET_COUNT } from 'hickoryrelay-contract/ConfigurationBucket';
import { PeerMessageType } from 'hickoryrelay-link/PeerMessages';

import type { ConfigurationIntake } from './ConfigurationIntake.js';
import type { ConfigurationView } from './ConfigurationView.js';
import type { InstanceDigest } from './InstanceDigest.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { TaskContext } from 'hickoryrelay/Task';
import type { PeerMessage, ReceivedPeerMessage } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';
import type { Configuration } from 'hickoryrelay-platform/ConfigurationStore';

/** A peer that has not answered a request within this time is passed over. */
const REQUEST_MILLISECONDS = 1000;

interface PendingRequest {
  readonly peerName: string;
  readonly sentMilliseconds: number;
  /** What the answer is added to. */
  readonly base: Configuration | undefined;
}

/** Hears of configurations from peers, fetches the changed buckets and passes them on. */
export class ConfigurationExchangeTask extends Task {
  override readonly name = 'configuration exchange';

  private readonly network: PeerNetwork;

  private readonly intake: ConfigurationIntake;

  private readonly view: ConfigurationView;

  private readonly digest: InstanceDigest;

  private pending: PendingRequest | undefined;

  /** Revisions that were refused, by the peer that sent them; not requested there again. */
  private readonly refusedFrom = new Map<string, number>();

  constructor(
    network: PeerNetwork,
    intake: ConfigurationIntake,
    view: ConfigurationView,
    digest: InstanceDigest,
  ) {
    super();
    this.network = network;
    this.intake = intake;
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

  private handle({ from, message, askedMilliseconds }: ReceivedPeerMessage, clock: Clock): void {
    switch (message.type) {
      case PeerMessageType.Hello:
        this.refusedFrom.delete(from.name);
        this.hear(from.name, message.revision, clock);
        break;
      case PeerMessageType.Heartbeat:
        if (askedMilliseconds !== undefined) {
          const { revision, viewAgeMilliseconds } = message;
          this.view.confirm(revision, askedMilliseconds - viewAgeMilliseconds);
        }
        this.hear(from.name, message.revision, clock);
        break;
      case PeerMessageType.ConfigurationChanged:
        this.hear(from.name, message.revision, clock);
        break;
      case PeerMessageType.ConfigurationRequest:
        this.answer(from.name, message.digests);
        break;
      case PeerMessageType.ConfigurationBuckets:
        this.takeBuckets(from.name, message);
        break;
      default:
    }
  }

  private hear(peerName: string, revision: number, clock: Clock): void {
    this.digest.noteRevision(revision);
    const now = clock.monotonicMilliseconds();
    const isWaiting =
      this.pending !== undefined && now - this.pending.sentMilliseconds < REQUEST_MILLISECONDS;
    const isRefused = this.refusedFrom.get(peerName) === revision;
    if (revision <= this.intake.newestRevision || isWaiting || isRefused) {
      return;
    }
    const base = this.intake.newest;
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

  private takeBuckets(
    peerName: string,
    message: Extract<PeerMessage, { type: 'configuration-buckets' }>,
  ): void {
    const { pending } = this;
    // An answer counts only if what it is added to is still the newest.
    if (pending?.peerName !== peerName || pending.base !== this.intake.newest) {
      return;
    }
    this.pending = undefined;
    const texts = [...(pending.base?.texts ?? [])];
    for (const [index, text] of message.buckets) {
      texts[Math.min(index, BUCKET_COUNT)] = text;
    }
    const { revision, digests } = message;
    if (!this.intake.offer({ head: { revision, digests }, texts })) {
      this.refusedFrom.set(peerName, revision);
    }
  }
}
