import { decodePeerMessage, encodePeerMessage } from './PeerMessage.js';

import type { PeerMessage } from './PeerMessage.js';
import type { PeerAddress } from './PeerRecord.js';

/** Takes the messages that arrive. */
export type PeerListener = (message: PeerMessage) => void;

/** Carries messages between instances. Some are lost, and an override never waits for one. */
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

  /** Calls the listener for each message. Returns the function that ends it. */
  subscribe(listener: PeerListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Hands a datagram that arrived to the listeners. Bytes that are no message are dropped. */
  protected deliver(bytes: Buffer): void {
    const message = decodePeerMessage(bytes);
    if (message !== undefined) {
      this.listeners.forEach((listener) => listener(message));
    }
  }
}
