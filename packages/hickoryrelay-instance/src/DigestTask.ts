import { Task } from 'hickoryrelay/Task';
import { PeerMessageType } from 'hickoryrelay-link/PeerMessages';

import { Liveness } from './Membership.js';
import type { InstanceDigest } from './InstanceDigest.js';
import type { Membership } from './Membership.js';
import type { TaskContext } from 'hickoryrelay/Task';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';

/** Applies digests and forwards at once that an instance is leaving. */
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
        // Forwarded only on the first receipt, so that the message does not circulate forever.
        if (this.membership.markLeaving(message.identity)) {
          this.network.broadcast(message);
        }
      }
      yield;
    }
  }

  /**
   * Sends all rows to an incarnation that is not known yet. Heartbeat entries count only for known
   * rows, so without this a new instance could not use them for a minute at 640 nodes.
   */
  private sendFullState(peer: InstanceIdentity): void {
    if (this.membership.liveness(peer.incarnation) === Liveness.Unknown) {
      for (const message of this.digest.fullState()) {
        this.network.send(peer.name, message);
      }
    }
  }
}
