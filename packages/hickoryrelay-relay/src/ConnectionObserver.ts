/** Receives the outcome of each new connection to an endpoint. */
export abstract class ConnectionObserver {
  /** A connection to the endpoint was opened. */
  abstract recordOpened(service: string, endpoint: string): void;

  /** A connection to the endpoint was refused, reset or timed out before a request was written. */
  abstract recordFailed(service: string, endpoint: string): void;
}

/** Observes nothing. */
export class UnobservedConnections extends ConnectionObserver {
  override recordOpened(): void {}

  override recordFailed(): void {}
}
