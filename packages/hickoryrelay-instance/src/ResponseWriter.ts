import type { Failure } from 'hickoryrelay/Failure';

/** A failed call, as reported to its caller. */
export interface FailureReport {
  readonly failure: Failure;
  readonly requestIdentifier: string;
  /** True only if it is certain that no endpoint has started to run the call. */
  readonly notRun: boolean;
}

/**
 * Writes the response of one call to its caller. An override encodes it in the caller's protocol.
 * Methods are called in the order `begin`, any number of `write`, then `end` or `fail`; `fail` may
 * also be called first.
 */
export abstract class ResponseWriter {
  /** True once the first byte has been written to the caller's connection. */
  abstract get hasBegun(): boolean;

  /** Called when the call is passed on to an endpoint. Writers without a connection need not know. */
  recordPassedOn(): void {}

  abstract begin(status: number, contentType: string): void;

  /**
   * Resolves when the caller's connection can accept more data. Rejects with `cancelled` if the
   * caller has disconnected, or if the signal aborts during backpressure.
   */
  abstract write(chunk: Buffer, signal: AbortSignal): Promise<void>;

  abstract end(): Promise<void>;

  abstract fail(report: FailureReport): Promise<void>;
}
