import type { EndpointRecord } from './EndpointRecord.js';
import type { ForwardedRequest, HeaderList } from './ForwardedRequest.js';

/** What an endpoint is asked to do with a request. */
export const AttemptKind = {
  /** Run the whole request. */
  Run: 'run',
  /** Only read the prompt and keep its memory for another engine. */
  Prefill: 'read-prompt',
} as const;

export type AttemptKind = (typeof AttemptKind)[keyof typeof AttemptKind];

/** Memory of a read prompt that waits at an engine. */
export interface PrefilledPrompt {
  readonly address: string;
  readonly handle: string;
}

/** One sending of a request to one endpoint. */
export interface Attempt {
  readonly kind: AttemptKind;
  readonly endpoint: EndpointRecord;
  readonly request: ForwardedRequest;
  /** Name of the client account, if the request carried a key. */
  readonly account: string | undefined;
  /** Time that the endpoint has, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Rank among the endpoint's requests, 0 is the most urgent; absent for plain services. */
  readonly priority: number | undefined;
  readonly prefilledPrompt?: PrefilledPrompt;
  /** Address of an engine from which shared parts of the prompt can be fetched. */
  readonly fetchFrom?: string;
  /** Continue a stream after this event. */
  readonly lastEvent: string | undefined;
}

/** The head of an endpoint's answer. */
export interface ResponseHead {
  readonly status: number;
  /** End-to-end headers, unchanged. */
  readonly headers: HeaderList;
  /** Length of the body in bytes; undefined if the answer does not say. */
  readonly length: number | undefined;
  /**
   * True if only the end of its connection ends the answer. An endpoint that crashes ends it as
   * well, so such an answer is passed on in the same way and never framed as complete.
   */
  readonly isCloseDelimited: boolean;
}

/** An endpoint's answer, with its body still to come. */
export interface EndpointResponse extends ResponseHead {
  /** True if the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** True if another endpoint lives at the address. */
  readonly isMisdirected: boolean;
  /** True if the answer carries the endpoint's signature, without which a success is no answer. */
  readonly isSigned: boolean;
  /** Ends normally only if the body is complete; throws `endpoint-failed` otherwise. */
  readonly body: AsyncIterable<Buffer>;
  /** Drops the rest of the answer and its connection. */
  discard(): void;
}

/**
 * Sends requests to endpoints. Every failure is `endpoint-failed`, whose `mayHaveRun` is false only
 * if no byte of the request was written.
 */
export abstract class EndpointLink {
  /** Sends the request and returns when the head of the answer has arrived. */
  abstract send(attempt: Attempt, signal: AbortSignal): Promise<EndpointResponse>;

  /** Reads the whole answer to a `ReadPrompt` attempt. Undefined if the engine did not read it. */
  abstract prefill(attempt: Attempt, signal: AbortSignal): Promise<PrefilledPrompt | undefined>;

  /** Frees the memory of a prompt that no engine will take. */
  abstract release(prefilledPrompt: PrefilledPrompt): Promise<void>;

  /** Closes the idle connections to endpoints that are not in the list. */
  abstract retain(endpoints: readonly EndpointRecord[]): void;
}
