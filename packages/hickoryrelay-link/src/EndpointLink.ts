import type { Call } from './Call.js';
import type { ResponseStream } from './ResponseStream.js';
import type { SendPermit } from 'hickoryrelay-endpoint/EndpointAvailability';

/** Where to resume a model response that broke off in an earlier attempt. */
export interface ResumePoint {
  readonly deliveredTokens: number;
  readonly deliveredText: string;
}

/**
 * Link to one endpoint. Implementations encode calls from typed fields only, never copy
 * caller headers and never retry a call. They fail with `endpoint-failed`, where `mayHaveRun` is
 * false only if the endpoint cannot have started the call, or with `protocol-violation` if the endpoint
 * sends too many bytes besides the body of its response. A call whose permit is no longer valid
 * once its connection is open is not written. If the signal aborts with a
 * `RelayError` as its reason, the call fails with that error.
 */
export abstract class EndpointLink {
  abstract send(
    call: Call,
    signal: AbortSignal,
    resume?: ResumePoint,
    permit?: SendPermit,
  ): ResponseStream;

  /** Closes all connections. Calls in progress fail. */
  abstract close(): Promise<void>;
}
