import { Task } from 'hickoryrelay/Task';

import type { InstanceDigest } from './InstanceDigest.js';
import type { Membership } from './Membership.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { LinkedPeerNetwork } from 'hickoryrelay-link/LinkedPeerNetwork';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';

const ROUND_MILLISECONDS = 1000;

/** Heartbeats go to more peers than rows, so that a live instance is rarely suspected. */
const HEARTBEAT_PEERS = 2;

/** Until the first neighbours are linked, rounds follow each other faster. */
const FIRST_ROUND_MILLISECONDS = 100;

/** Sends digests to a few peers each second and keeps the links to the neighbours. */
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
      this.network.setNeighbours(this.membership.neighbours());
      const peers = this.network.connectedPeers();
      if (peers.length > 0) {
        this.sendDigests(peers);
      }
      yield;
      const interval = peers.length === 0 ? FIRST_ROUND_MILLISECONDS : ROUND_MILLISECONDS;
      await clock.sleep(interval * (0.9 + this.random.fraction() / 5), signal);
    }
  }

  /** Sends everything to one peer, and heartbeats to a few others of the own zone. */
  private sendDigests(peers: readonly InstanceIdentity[]): void {
    const { zone } = this.membership.identity;
    const { whole, brief } = this.digest.nextMessages();
    const first = this.pick(peers);
    const others = peers.filter((peer) => peer !== first && peer.zone === zone);
    for (let count = 0; count < HEARTBEAT_PEERS && others.length > 0; count += 1) {
      const [peer] = others.splice(this.random.integerBelow(others.length), 1);
      this.network.send(peer?.name ?? '', brief);
    }
    this.network.send(first?.name ?? '', whole);
  }

  private pick(peers: readonly InstanceIdentity[]): InstanceIdentity | undefined {
    return peers[this.random.integerBelow(peers.length)];
  }
}
