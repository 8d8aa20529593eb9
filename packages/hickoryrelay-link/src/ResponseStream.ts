/** The answer of an endpoint while it arrives. */
export interface ResponseStream {
  /** Resolves when the head of the answer has arrived. Rejects with `endpoint-failed`. */
  readonly headReceived: Promise<void>;
  /** HTTP status code; 0 before the answer has begun. */
  readonly status: number;
  readonly contentType: string;
  /** True once a sibling connection has gone silent for good. */
  readonly isConnectionSuspect: boolean;
  /**
   * The body in order. Ends when the answer is complete, throws `endpoint-failed` when it breaks.
   * Returning early cancels the call at the endpoint. Bytes are not parsed.
   */
  readonly chunks: AsyncIterableIterator<Buffer, void, void>;

  /**
   * Takes this connection and its siblings out of use, because this one has gone silent. New calls
   * go on fresh connections; calls on the siblings go on, and their answers are condemned.
   */
  retireConnections(): void;
}
