import type { EndpointRecord } from './EndpointRecord.js';
import type { ForwardedRequest, HeaderList } from './ForwardedRequest.js';
import type { PeerAddress } from './PeerRecord.js';
import type { EndpointNotice, SendPermit } from 'hickoryrelay-endpoint/EndpointAvailability';
import type { IncarnationCheck } from 'hickoryrelay-endpoint/IncarnationCheck';
import type { ResponseAccount } from 'hickoryrelay-response/ResponseAccount';

/** What an endpoint is asked to do with a request. */
export const AttemptKind = {
  /** Run the whole request. */
  Run: 'run',
  /** Prefill the prompt and hold its KV cache for a decode engine. */
  Prefill: 'prefill',
} as const;

export type AttemptKind = (typeof AttemptKind)[keyof typeof AttemptKind];

/** The KV cache of a prefilled prompt, which an engine holds for a decode engine to fetch. */
export interface PrefilledPrompt {
  readonly address: string;
  readonly handle: string;
  /** Software version of the engine, which another version cannot use the cache of. */
  readonly softwareVersion?: string | undefined;
  /** True if the engine did not state its start, so that it may have another version. */
  readonly isVersionUnknown?: boolean;
}

/** One attempt to send a request to an endpoint. */
export interface Attempt {
  readonly kind: AttemptKind;
  readonly endpoint: EndpointRecord;
  readonly request: ForwardedRequest;
  /** Name of the client account, if the request carried a key. */
  readonly account: string | undefined;
  /** Time that the endpoint has, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** 0 is the highest priority at the endpoint; undefined for services without engines. */
  readonly priority: number | undefined;
  readonly prefilledPrompt?: PrefilledPrompt;
  /** Address of an engine from which cached segments of the prompt can be fetched. */
  readonly fetchFrom?: string;
  /** Identifier of the event after which a stream is resumed. */
  readonly lastEvent: string | undefined;
  /** The request is not written once the permit is no longer valid. */
  readonly permit: SendPermit;
  /** Called for the head of each response to the attempt, before the response is used. */
  readonly receiveNotice: (notice: ReceivedNotice) => void;
  /** Decides on the incarnation that the connection leads to; undefined if any may run the request. */
  readonly incarnationCheck: IncarnationCheck | undefined;
}

/** A notice, and whether the endpoint that sent it may not be the one that was addressed. */
export interface ReceivedNotice extends EndpointNotice {
  readonly isMisdirected: boolean;
}

/** The status line and headers of an endpoint's response. */
export interface ResponseHead {
  readonly status: number;
  /** End-to-end headers, unchanged. */
  readonly headers: HeaderList;
  /** Length of the body in bytes; undefined if the response does not state it. */
  readonly length: number | undefined;
}

/** An endpoint's response whose body has not been read yet. */
export interface EndpointResponse extends ResponseHead {
  /** False if the response ends with its head, as to a request with the method HEAD. */
  readonly hasBody: boolean;
  /** True if only the close of the connection ends the body, as a crash of the endpoint may. */
  readonly isCloseDelimited: boolean;
  /** True if the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** True if a different endpoint now has the address. */
  readonly isMisdirected: boolean;
  /** False if the response states another content type than that of server-sent events. */
  readonly isEventStream: boolean;
  /** True if the response has the endpoint's signed body, without which a success is not valid. */
  readonly isSigned: boolean;
  /** Counts what is held of the response; absent where nothing is counted. */
  readonly account?: ResponseAccount | undefined;
  /** Ends normally only if the body is complete; throws `endpoint-failed` otherwise. */
  readonly body: AsyncIterable<Buffer>;
  /** Discards the rest of the body. The connection may be closed. */
  discard(): void;
}

/**
 * Sends requests to endpoints. Every failure is `endpoint-failed`, whose `mayHaveRun` is false only
 * if no byte of the request was written. Once its connection is open, a request is not written if its
 * permit is no longer valid, or if its incarnation check refuses the start that the endpoint states on
 * the connection.
 */
export abstract class EndpointLink {
  /** Sends the request and resolves when the head of the response has arrived. */
  abstract send(attempt: Attempt, signal: AbortSignal): Promise<EndpointResponse>;

  /** Sends a `Prefill` attempt and reads the whole response. Undefined if the engine refused it. */
  abstract prefill(attempt: Attempt, signal: AbortSignal): Promise<PrefilledPrompt | undefined>;

  /** Frees the KV cache of a prefilled prompt that no engine will fetch. */
  abstract release(prefilledPrompt: PrefilledPrompt): Promise<void>;

  /**
   * True if the endpoint refuses a new connection, as it does after a crash. False if it accepts
   * one, or if that is not known when the signal aborts. Never rejects.
   */
  abstract isRefused(endpoint: EndpointRecord, signal: AbortSignal): Promise<boolean>;

  /**
   * Opens a new connection to the endpoint and keeps it for requests. False if it cannot be opened, or
   * if that is not known when the signal aborts. Never rejects.
   */
  abstract tryConnection(endpoint: EndpointRecord, signal: AbortSignal): Promise<boolean>;

  /** Closes the idle connections to endpoints and instances that are not in the lists. */
  abstract retain(endpoints: readonly EndpointRecord[], instances?: readonly PeerAddress[]): void;
}
