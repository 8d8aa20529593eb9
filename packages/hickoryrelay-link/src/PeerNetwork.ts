import type {
  InstanceIdentity,
  PeerMessage,
  PeerMessageType,
  ReceivedPeerMessage,
} from './PeerMessages.js';

/** The links of this instance to its peers, as seen by the components that use them. */
export abstract class PeerNetwork {
  abstract get identity(): InstanceIdentity;

  /** Peers with a link that is verified alive, in a stable order. */
  abstract connectedPeers(): readonly InstanceIdentity[];

  /** Sends a message to a connected peer. Returns false if there is no link to it. */
  abstract send(peerName: string, message: PeerMessage): boolean;

  /** Sends a message to every connected peer. Returns their number. */
  broadcast(message: PeerMessage): number {
    return this.connectedPeers().filter((peer) => this.send(peer.name, message)).length;
  }

  /**
   * Yields messages of the given types until the signal aborts, in order of arrival from each peer.
   * Each caller receives every message once.
   */
  abstract messages(
    types: readonly PeerMessageType[],
    signal: AbortSignal,
  ): AsyncGenerator<ReceivedPeerMessage, void, void>;
}
