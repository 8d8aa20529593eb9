import { Task } from 'hickoryrelay/Task';

import type { InstanceDigest } from './InstanceDigest.js';
import type { Membership } from './Membership.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { LinkedPeerNetwork } from 'hickoryrelay-link/LinkedPeerNetwork';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';

const GOSSIP_INTERVAL_MILLISECONDS = 1000;

/** Heartbeats go to more peers than rows do, so that live instances are rarely suspected. */
const COMPACT_DIGEST_PEERS = 2;

/** Used until the first peer is connected. */
const UNCONNECTED_INTERVAL_MILLISECONDS = 100;

/** Sends digests to a few peers each second and maintains the links to the neighbours. */
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
      this.digest.removeInstances(this.membership.tick());
      this.network.setNeighbours(this.membership.neighbours());
      const peers = this.network.connectedPeers();
      if (peers.length > 0) {
        this.sendDigests(peers);
      }
      yield;
      const interval =
        peers.length === 0 ? UNCONNECTED_INTERVAL_MILLISECONDS : GOSSIP_INTERVAL_MILLISECONDS;
      await clock.sleep(interval * (0.9 + this.random.fraction() / 5), signal);
    }
  }

  /** Sends a full digest to one peer, and compact ones to a few others of the own zone. */
  private sendDigests(peers: readonly InstanceIdentity[]): void {
    const { zone } = this.membership.identity;
    const { full, compact } = this.digest.createMessages();
    const fullDigestPeer = this.pickRandom(peers);
    const others = peers.filter((peer) => peer !== fullDigestPeer && peer.zone === zone);
    for (let count = 0; count < COMPACT_DIGEST_PEERS && others.length > 0; count += 1) {
      const [peer] = others.splice(this.random.integerBelow(others.length), 1);
      this.network.send(peer?.name ?? '', compact);
    }
    this.network.send(fullDigestPeer?.name ?? '', full);
  }

  private pickRandom(peers: readonly InstanceIdentity[]): InstanceIdentity | undefined {
    return peers[this.random.integerBelow(peers.length)];
  }
}
