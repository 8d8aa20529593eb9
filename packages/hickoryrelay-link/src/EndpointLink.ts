import type { AnswerStream } from './AnswerStream.js';
import type { Call } from './Call.js';

/** Where a model answer goes on that broke off at another attempt. */
export interface ResumePoint {
  readonly deliveredTokens: number;
  readonly deliveredText: string;
}

/**
 * The way to one endpoint. An override encodes calls in the endpoint's protocol from typed fields
 * only, never copies caller headers, and never repeats a call by itself. Its failures are
 * `endpoint-failed`; `mayHaveRun` is false only if the endpoint cannot have started the call. If
 * the signal aborts with a `RelayError` as its reason, the call fails with that error.
 */
export abstract class EndpointLink {
  abstract send(call: Call, signal: AbortSignal, resume?: ResumePoint): AnswerStream;

  /** Closes all connections. Calls that run fail. */
  abstract close(): Promise<void>;
}
