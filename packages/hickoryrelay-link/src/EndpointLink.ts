import type { AnswerStream } from './AnswerStream.js';
import type { Call } from './Call.js';

/**
 * The way to one endpoint. An override encodes calls in the endpoint's protocol from typed fields
 * only, never copies caller headers, and never repeats a call by itself. Its failures are
 * `endpoint-failed`; `mayHaveRun` is false only if the endpoint cannot have started the call.
 */
export abstract class EndpointLink {
  abstract send(call: Call, signal: AbortSignal): Promise<AnswerStream>;

  /** Closes all connections. Calls that run fail. */
  abstract close(): Promise<void>;
}
