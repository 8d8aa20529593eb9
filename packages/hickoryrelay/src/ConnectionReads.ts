/** Reads the bytes of a connection on behalf of the HTTP server. */
export abstract class ConnectionReads {
  /** Bytes that have arrived and have not been parsed. */
  abstract get bufferedBytes(): number;

  /** Reads and drops all further bytes, in turn with others, so that the end of the connection is noticed. */
  abstract discard(): void;

  /** Gives the socket up. Its next user reads it. */
  abstract detach(): void;
}
