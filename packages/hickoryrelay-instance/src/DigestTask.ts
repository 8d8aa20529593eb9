import { Task } from 'hickoryrelay/Task';
import { PeerMessageType } from 'hickoryrelay-link/PeerMessages';

import { Liveness } from './Membership.js';
import type { InstanceDigest } from './InstanceDigest.js';
import type { Membership } from './Membership.js';
import type { TaskContext } from 'hickoryrelay/Task';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';

/** Takes in digests and passes on at once that an instance is leaving. */
export class DigestTask extends Task {
  override readonly name = 'digest receiver';

  private readonly network: PeerNetwork;

  private readonly membership: Membership;

  private readonly digest: InstanceDigest;

  constructor(network: PeerNetwork, membership: Membership, digest: InstanceDigest) {
    super();
    this.network = network;
    this.membership = membership;
    this.digest = digest;
  }

  protected override async *steps({ signal }: TaskContext): AsyncGenerator<void, void, void> {
    const types = [PeerMessageType.Hello, PeerMessageType.Digest, PeerMessageType.Leaving];
    for await (const { from, message } of this.network.messages(types, signal)) {
      if (message.type === PeerMessageType.Digest) {
        this.digest.receive(message);
      } else if (message.type === PeerMessageType.Hello) {
        this.sendFullState(from);
      } else if (message.type === PeerMessageType.Leaving) {
        // Each instance passes the news on once, since it is news only the first time.
        if (this.membership.markLeaving(message.identity)) {
          this.network.broadcast(message);
        }
      }
      yield;
    }
  }

  /**
   * Sends all rows to a run that is not known yet. Without them its heartbeats of others, which
   * count only for known rows, would take a minute to be of use at 640 nodes.
   */
  private sendFullState(peer: InstanceIdentity): void {
    if (this.membership.liveness(peer.incarnation) === Liveness.Unknown) {
      for (const message of this.digest.fullState()) {
        this.network.send(peer.name, message);
      }
    }
  }
}
