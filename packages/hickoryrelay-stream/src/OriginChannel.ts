import type { StreamOriginMessage } from './StreamOriginMessage.js';

/** Address at which an instance receives messages. */
export interface OriginAddress {
  readonly host: string;
  readonly port: number;
}

/** An instance that exchanges stream origins. */
export interface OriginPeer extends OriginAddress {
  readonly instance: string;
  readonly zone: string;
}

/** How an instance exchanges messages with the others. Messages may be lost, delayed or reordered. */
export abstract class OriginChannel {
  /** This instance. */
  abstract get self(): OriginPeer;

  /** The other instances that are registered. */
  abstract get peers(): readonly OriginPeer[];

  /** Sends a message to several instances without waiting. */
  abstract send(addresses: readonly OriginAddress[], message: StreamOriginMessage): void;

  /** Calls the listener for each received message. Returns the function that unsubscribes it. */
  abstract subscribe(listener: (message: StreamOriginMessage) => void): () => void;
}
