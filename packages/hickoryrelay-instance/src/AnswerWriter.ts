import type { Failure } from 'hickoryrelay/Failure';

/** What a caller must know about a call that failed. */
export interface FailureReport {
  readonly failure: Failure;
  readonly requestIdentifier: string;
  /** True only if it is certain that no endpoint has started the call. */
  readonly notRun: boolean;
}

/**
 * The way back to one caller. An override encodes the answer in the caller's protocol. Calls come
 * in the order `begin`, any number of `write`, and `end` or `fail`; `fail` may also come first.
 */
export abstract class AnswerWriter {
  /** True after the first byte has been handed to the caller's connection. */
  abstract get hasBegun(): boolean;

  abstract begin(status: number, contentType: string): void;

  /**
   * Resolves when the caller's connection can take more. Rejects with `cancelled` if it is gone, or
   * if the signal aborts while a caller that does not read is waited for.
   */
  abstract write(piece: Buffer, signal: AbortSignal): Promise<void>;

  abstract end(): Promise<void>;

  abstract fail(report: FailureReport): Promise<void>;
}
