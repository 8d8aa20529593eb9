import { MessageQueue } from './MessageQueue.js';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';

/**
 * Longest message in bytes. A whole configuration of 1,100 accounts is 550 KB; each of its buckets
 * may grow to a value of the key-value service, so the limit leaves room for several.
 */
export const MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Bytes that may wait for a peer to read them. A peer that stops reading is cut off beyond. */
export const MAXIMUM_QUEUED_BYTES = 2 * MAXIMUM_MESSAGE_BYTES;

const RECEIVED_LIMIT = 4096;

/** A two-way connection that carries whole messages as bytes, in order. */
export abstract class PeerConnection {
  /** Messages that have arrived; closed when the connection ends. */
  readonly received = new MessageQueue<Uint8Array>(RECEIVED_LIMIT);

  /** Bytes accepted by `send` that have not left this process. */
  abstract get queuedBytes(): number;

  abstract send(bytes: Uint8Array): void;

  /** Ends the connection at once and drops what has not been sent. */
  abstract terminate(): void;
}

/** Opens and accepts connections between entry instances. */
export abstract class PeerTransport {
  /** URL under which other instances reach this one, once it listens. */
  abstract get url(): string;

  /** Accepts connections until the returned function is called. */
  abstract listen(accept: (connection: PeerConnection) => void): Promise<CleanUp>;

  /** Opens a connection. Rejects if none is open when the signal aborts. */
  abstract connect(url: string, signal: AbortSignal): Promise<PeerConnection>;
}
