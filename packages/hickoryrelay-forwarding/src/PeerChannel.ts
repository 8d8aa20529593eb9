import { decodePeerMessage, encodePeerMessage } from './PeerMessage.js';

import type { PeerMessage } from './PeerMessage.js';
import type { PeerAddress } from './PeerRecord.js';

export type PeerListener = (message: PeerMessage) => void;

/** An unreliable datagram channel between instances. Implementations never block on a send. */
export abstract class PeerChannel {
  private readonly listeners = new Set<PeerListener>();

  /** Sends one datagram. */
  protected abstract transmit(address: PeerAddress, bytes: Buffer): void;

  send(address: PeerAddress, message: PeerMessage): void {
    this.transmit(address, encodePeerMessage(message));
  }

  /** Sends the same message to several instances. */
  sendToAll(addresses: readonly PeerAddress[], message: PeerMessage): void {
    if (addresses.length > 0) {
      const bytes = encodePeerMessage(message);
      addresses.forEach((address) => this.transmit(address, bytes));
    }
  }

  /** Calls the listener for each received message. Returns the function that unsubscribes it. */
  subscribe(listener: PeerListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Passes a received datagram to the listeners. Malformed datagrams are dropped. */
  protected deliver(bytes: Buffer): void {
    const message = decodePeerMessage(bytes);
    if (message !== undefined) {
      this.listeners.forEach((listener) => listener(message));
    }
  }
}
