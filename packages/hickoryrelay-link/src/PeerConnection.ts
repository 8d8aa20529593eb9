import { MessageQueue } from './MessageQueue.js';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';

/**
 * Maximum length of a message. A complete configuration of 1,100 accounts takes 550 KB; each of
 * its buckets may grow to the maximum value size of the key-value service, so the limit leaves
 * room for several buckets of that size.
 */
export const MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Bytes that may be queued for a peer. Links to peers that read too slowly are ended. */
export const MAXIMUM_QUEUED_BYTES = 2 * MAXIMUM_MESSAGE_BYTES;

const RECEIVED_QUEUE_LIMIT = 4096;

/** A bidirectional connection that transfers messages as byte arrays, in order. */
export abstract class PeerConnection {
  /** Received messages; closed when the connection ends. */
  readonly received = new MessageQueue<Uint8Array>(RECEIVED_QUEUE_LIMIT);

  /** Bytes accepted by `send` that have not left this process. */
  abstract get queuedBytes(): number;

  abstract send(bytes: Uint8Array): void;

  /** Closes the connection at once and drops messages that have not been sent. */
  abstract terminate(): void;
}

/** Opens and accepts connections between entry instances. */
export abstract class PeerTransport {
  /** URL at which other instances reach this one, once it listens. */
  abstract get url(): string;

  /** Accepts connections until the returned function is called. */
  abstract listen(accept: (connection: PeerConnection) => void): Promise<CleanUp>;

  /** Opens a connection. Rejects if the signal aborts before it is open. */
  abstract connect(url: string, signal: AbortSignal): Promise<PeerConnection>;
}
