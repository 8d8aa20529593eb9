import { Task } from 'hickoryrelay/Task';

import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { LinkedPeerNetwork } from 'hickoryrelay-link/LinkedPeerNetwork';
import type { InstanceDigest } from './InstanceDigest.js';
import type { Membership } from './Membership.js';

const ROUND_MILLISECONDS = 1000;

/** Until the first neighbours are linked, rounds follow each other faster. */
const FIRST_ROUND_MILLISECONDS = 100;

/** Sends a digest to two peers each second and keeps the links to the neighbours of the hour. */
export class GossipTask extends Task {
  override readonly name = 'gossip';

  private readonly network: LinkedPeerNetwork;

  private readonly membership: Membership;

  private readonly digest: InstanceDigest;

  private readonly random: RandomSource;

  constructor(
    network: LinkedPeerNetwork,
    membership: Membership,
    digest: InstanceDigest,
    random: RandomSource,
  ) {
    super();
    this.network = network;
    this.membership = membership;
    this.digest = digest;
    this.random = random;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      this.digest.forget(this.membership.tick());
      this.network.follow(this.membership.neighbours());
      const peers = this.network.connectedPeers();
      if (peers.length > 0) {
        const message = this.digest.nextMessage();
        this.targets(peers).forEach((peer) => this.network.send(peer.name, message));
      }
      yield;
      const interval = peers.length === 0 ? FIRST_ROUND_MILLISECONDS : ROUND_MILLISECONDS;
      await clock.sleep(interval * (0.9 + this.random.fraction() / 5), signal);
    }
  }

  /** One peer of the own zone and one of all others. */
  private targets(peers: readonly InstanceIdentity[]): InstanceIdentity[] {
    const { zone } = this.membership.identity;
    const near = this.pick(peers.filter((peer) => peer.zone === zone));
    const any = this.pick(peers.filter((peer) => peer !== near));
    return [near, any].filter((peer) => peer !== undefined);
  }

  private pick(peers: readonly InstanceIdentity[]): InstanceIdentity | undefined {
    return peers[this.random.integerBelow(peers.length)];
  }
}
