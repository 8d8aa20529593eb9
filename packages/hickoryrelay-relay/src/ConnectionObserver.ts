/** Receives what happens to the connections of this instance to endpoints. */
export abstract class ConnectionObserver {
  /** A connection to the endpoint was opened. */
  abstract recordOpened(service: string, endpoint: string): void;

  /** A connection to the endpoint was refused, reset or timed out before a request was written. */
  abstract recordFailed(service: string, endpoint: string): void;

  /** The head of a response arrived, on whichever connection. */
  abstract recordResponse(service: string, endpoint: string): void;
}

/** Observes nothing. */
export class UnobservedConnections extends ConnectionObserver {
  override recordOpened(): void {}

  override recordFailed(): void {}

  override recordResponse(): void {}
}
