import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { isFinalStatus } from 'hickoryrelay/StatusUtils';
import { rateLimitOf } from 'hickoryrelay-endpoint/RateLimitUtils';
import { backoffOf } from 'hickoryrelay-endpoint/RetryAfterUtils';

import { decodeRateLimitPolicy, RATE_LIMIT_POLICY_HEADER } from './RateLimitPolicy.js';

import type { EndpointConnection } from './EndpointConnections.js';
import type { ResponseStream } from './ResponseStream.js';
import type { BufferedBody } from 'hickoryrelay/ResponseAllowance';
import type { EndpointNotice, SendPermit } from 'hickoryrelay-endpoint/EndpointAvailability';
import type { Dispatcher } from 'undici';

/**
 * Bytes of a response that are buffered for a slow caller before the endpoint's connection is
 * paused. The socket may add one read (64 KiB).
 */
const HIGH_WATER_MARK_BYTES = 65_536;

/** Sent with each call. Endpoints may repeat it in their responses. */
export const REQUEST_IDENTIFIER_HEADER = 'x-request-id';

/** `1` on the responses of an endpoint that is leaving. */
const LEAVING_HEADER = 'x-endpoint-leaving';

/** Statuses of an endpoint that does not take the call. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

interface Waiter<Value> {
  resolve(value: Value): void;
  reject(error: unknown): void;
}

/** Owner of a response's connection, notified of the state of the response. */
export interface HttpResponseObserver {
  /**
   * The head has arrived. `isIdentified` is true if it repeats the identifier of the request. Returns the
   * connection of the response. Called while the client library reports the head.
   */
  onHead(isIdentified: boolean): EndpointConnection;
  /** The response is complete. Called while the client library reports its end. */
  onComplete(): void;
  /** The response is complete, has broken off or was cancelled. */
  onEnd(response: HttpResponseStream): void;
  /** The response's connection has stalled. */
  onSilence(): void;
  /** True if a connection that may be the response's broke off in this turn of the event loop. */
  wasBroken(): boolean;
}

type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

function decodeNotice(status: number, headers: ResponseHeaders): EndpointNotice {
  const policies = [headers[RATE_LIMIT_POLICY_HEADER] ?? []].flat();
  const rateLimit = rateLimitOf(policies, decodeRateLimitPolicy, true);
  return {
    isLeaving: headers[LEAVING_HEADER] === '1',
    backoffMilliseconds: backoffOf(status, [headers['retry-after'] ?? []].flat()),
    isAccepted: !REFUSAL_STATUSES.has(status),
    ...(rateLimit !== undefined && { rateLimit }),
  };
}

/** True if neither a length nor chunks show the end of the response. */
function isDelimitedByClose(headers: ResponseHeaders): boolean {
  const encodings = [headers['transfer-encoding'] ?? []].flat().join(',').toLowerCase();
  const isChunked = encodings.split(',').at(-1)?.trim() === 'chunked';
  return headers['content-length'] === undefined && !isChunked;
}

function toRelayError(error: unknown, endpoint: string, mayHaveRun: boolean): RelayError {
  if (error instanceof RelayError) {
    return error;
  }
  const reason = error instanceof Error ? error.message : String(error);
  return new RelayError({ kind: FailureKind.EndpointFailed, endpoint, reason, mayHaveRun }, error);
}

/**
 * One HTTP call and its response. The client library appends bytes as they arrive; the reader
 * takes all buffered bytes at once, so that it creates one promise per wait and not per chunk.
 */
export class HttpResponseStream
  implements
    ResponseStream,
    BufferedBody,
    Dispatcher.DispatchHandler,
    AsyncIterableIterator<Buffer, void, void>
{
  status = 0;

  contentType = DEFAULT_CONTENT_TYPE;

  notice: EndpointNotice | undefined;

  isConnectionSuspect = false;

  readonly headReceived: Promise<void>;

  private readonly endpoint: string;

  private readonly requestIdentifier: string;

  private readonly signal: AbortSignal;

  private readonly observer: HttpResponseObserver;

  private isCloseDelimited = false;

  private readonly permit: SendPermit | undefined;

  private headWaiter: Waiter<void> | undefined;

  private chunkWaiter: Waiter<IteratorResult<Buffer, void>> | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  /** Undefined until the head has arrived and once the response has ended. */
  private connection: EndpointConnection | undefined;

  private bufferedChunks: Buffer[] = [];

  private bufferedBytes = 0;

  private error: RelayError | undefined;

  private hasEnded = false;

  constructor(
    endpoint: string,
    requestIdentifier: string,
    signal: AbortSignal,
    observer: HttpResponseObserver,
    permit?: SendPermit,
  ) {
    this.endpoint = endpoint;
    this.requestIdentifier = requestIdentifier;
    this.signal = signal;
    this.observer = observer;
    this.permit = permit;
    this.headReceived = new Promise((resolve, reject) => {
      this.headWaiter = { resolve, reject };
    });
    signal.addEventListener('abort', this.abort);
    if (signal.aborted) {
      this.abort();
    }
  }

  get chunks(): AsyncIterableIterator<Buffer, void, void> {
    return this;
  }

  /** Bytes that have not been taken from the body. */
  get readableLength(): number {
    return this.bufferedBytes;
  }

  retireConnections(): void {
    if (!this.isConnectionSuspect) {
      this.isConnectionSuspect = true;
      this.observer.onSilence();
    }
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<Buffer, void>> {
    if (this.bufferedBytes > 0) {
      return Promise.resolve({ done: false, value: this.takeBuffered() });
    }
    if (this.error !== undefined) {
      return Promise.reject(this.error);
    }
    if (this.hasEnded) {
      return Promise.resolve({ done: true, value: undefined });
    }
    return new Promise((resolve, reject) => {
      this.chunkWaiter = { resolve, reject };
    });
  }

  /** Cancels the call at the endpoint unless the response is complete. */
  async return(): Promise<IteratorResult<Buffer, void>> {
    this.fail(
      new RelayError({ kind: FailureKind.Cancelled, reason: 'the response is no longer needed' }),
    );
    this.bufferedChunks = [];
    this.bufferedBytes = 0;
    return { done: true, value: undefined };
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRepeated = this.controller !== undefined;
    this.controller = controller;
    if (isRepeated) {
      // The library may resend a request if its connection fails before a response arrives. Only
      // the exchange decides whether a call is retried.
      this.fail(toRelayError('the request would be sent twice', this.endpoint, true));
    }
    if (!isRepeated && this.permit?.tryUse() === false) {
      this.fail(toRelayError('the endpoint takes no calls any more', this.endpoint, false));
    }
    if (this.error !== undefined) {
      controller.abort(this.error);
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (status < 200) {
      return;
    }
    if (!isFinalStatus(status)) {
      this.fail(toRelayError(`the response has status ${status}`, this.endpoint, true));
      return;
    }
    const responseIdentifier = headers[REQUEST_IDENTIFIER_HEADER];
    if (responseIdentifier !== undefined && responseIdentifier !== this.requestIdentifier) {
      // A second copy of an earlier response on a connection that is in use again.
      const reason = `the response belongs to another request (${String(responseIdentifier)})`;
      this.fail(toRelayError(reason, this.endpoint, true));
      return;
    }
    this.connection = this.observer.onHead(responseIdentifier !== undefined);
    this.connection.recordHead(this);
    this.notice = decodeNotice(status, headers);
    const contentType = headers['content-type'];
    this.status = status;
    this.isCloseDelimited = isDelimitedByClose(headers);
    this.contentType = typeof contentType === 'string' ? contentType : DEFAULT_CONTENT_TYPE;
    this.headWaiter?.resolve();
    this.headWaiter = undefined;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const waiter = this.chunkWaiter;
    if (waiter !== undefined) {
      this.chunkWaiter = undefined;
      this.connection?.recordTaken(chunk.length);
      waiter.resolve({ done: false, value: chunk });
      return;
    }
    this.bufferedChunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes >= HIGH_WATER_MARK_BYTES) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    if (this.isCloseDelimited && this.observer.wasBroken()) {
      this.fail(toRelayError('the connection broke off', this.endpoint, true));
      return;
    }
    this.connection?.recordEnd();
    this.observer.onComplete();
    this.markEnded();
    this.chunkWaiter?.resolve({ done: true, value: undefined });
    this.chunkWaiter = undefined;
  }

  onResponseError(controller: Dispatcher.DispatchController | undefined, error: unknown): void {
    this.fail(toRelayError(error, this.endpoint, this.controller !== undefined));
  }

  private readonly abort = (): void => {
    const { reason } = this.signal as { reason: unknown };
    this.fail(toRelayError(reason, this.endpoint, this.controller !== undefined));
  };

  /** Ends the call with an error. Has no effect on a response that has ended. */
  private fail(error: RelayError): void {
    if (this.hasEnded) {
      return;
    }
    this.error = error;
    this.markEnded();
    this.headWaiter?.reject(error);
    this.headWaiter = undefined;
    this.chunkWaiter?.reject(error);
    this.chunkWaiter = undefined;
    this.controller?.abort(error);
  }

  private markEnded(): void {
    this.hasEnded = true;
    this.connection = undefined;
    this.signal.removeEventListener('abort', this.abort);
    this.observer.onEnd(this);
  }

  private takeBuffered(): Buffer {
    const { bufferedChunks: arrived } = this;
    const chunk = arrived.length === 1 ? (arrived[0] ?? Buffer.alloc(0)) : Buffer.concat(arrived);
    this.bufferedChunks = [];
    this.bufferedBytes = 0;
    this.connection?.recordTaken(chunk.length);
    if (this.controller?.paused === true) {
      this.controller.resume();
    }
    return chunk;
  }
}
