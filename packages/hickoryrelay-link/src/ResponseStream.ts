import type { EndpointNotice } from 'hickoryrelay-endpoint/EndpointAvailability';

/** An endpoint's response while it is being received. */
export interface ResponseStream {
  /** Resolves when the response head has arrived. Rejects with `endpoint-failed`. */
  readonly headReceived: Promise<void>;
  /** HTTP status code; 0 until the response head has arrived. */
  readonly status: number;
  readonly contentType: string;
  /** What the endpoint states about itself; undefined until the response head has arrived. */
  readonly notice: EndpointNotice | undefined;
  /** True once a connection of the same group has stalled. */
  readonly isConnectionSuspect: boolean;
  /**
   * The body in order. Ends when the response is complete, throws `endpoint-failed` if it breaks.
   * Returning early cancels the call at the endpoint. Bytes are not parsed.
   */
  readonly chunks: AsyncIterableIterator<Buffer, void, void>;

  /**
   * Stops using this connection and the others of its group, because this one has stalled. New
   * calls get new connections. Calls on the other connections continue and are marked as suspect.
   */
  retireConnections(): void;
}
