import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { AnswerStream } from './AnswerStream.js';
import type { Dispatcher } from 'undici';

/**
 * Bytes of an answer that may wait here for a slow caller before the endpoint's connection is
 * paused. The socket adds at most one read (64 KiB) to it.
 */
const HIGH_WATER_BYTES = 65_536;

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

interface Waiter<Value> {
  resolve(value: Value): void;
  reject(error: unknown): void;
}

/** The owner of an answer's connection, told what becomes of the answer. */
export interface HttpAnswerObserver {
  /** The answer is complete, broken or cancelled. */
  onEnd(answer: HttpAnswer): void;
  /** The answer's connection has gone silent. */
  onSilence(): void;
}

function relayError(error: unknown, endpoint: string, mayHaveRun: boolean): RelayError {
  if (error instanceof RelayError) {
    return error;
  }
  const reason = error instanceof Error ? error.message : String(error);
  return new RelayError({ kind: FailureKind.EndpointFailed, endpoint, reason, mayHaveRun }, error);
}

/**
 * One HTTP call and its answer. The client library hands bytes to it as they arrive; the exchange
 * takes all that has arrived with one promise for each wait.
 */
export class HttpAnswer
  implements AnswerStream, Dispatcher.DispatchHandler, AsyncIterableIterator<Buffer, void, void>
{
  status = 0;

  contentType = DEFAULT_CONTENT_TYPE;

  isCondemned = false;

  readonly begun: Promise<void>;

  private readonly endpoint: string;

  private readonly signal: AbortSignal;

  private readonly observer: HttpAnswerObserver;

  private headWaiter: Waiter<void> | undefined;

  private pieceWaiter: Waiter<IteratorResult<Buffer, void>> | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  private arrived: Buffer[] = [];

  private arrivedBytes = 0;

  private error: RelayError | undefined;

  private hasEnded = false;

  constructor(endpoint: string, signal: AbortSignal, observer: HttpAnswerObserver) {
    this.endpoint = endpoint;
    this.signal = signal;
    this.observer = observer;
    this.begun = new Promise((resolve, reject) => {
      this.headWaiter = { resolve, reject };
    });
    signal.addEventListener('abort', this.abort);
    if (signal.aborted) {
      this.abort();
    }
  }

  get pieces(): AsyncIterableIterator<Buffer, void, void> {
    return this;
  }

  condemnConnections(): void {
    if (!this.isCondemned) {
      this.isCondemned = true;
      this.observer.onSilence();
    }
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<Buffer, void>> {
    if (this.arrivedBytes > 0) {
      return Promise.resolve({ done: false, value: this.takeArrived() });
    }
    if (this.error !== undefined) {
      return Promise.reject(this.error);
    }
    if (this.hasEnded) {
      return Promise.resolve({ done: true, value: undefined });
    }
    return new Promise((resolve, reject) => {
      this.pieceWaiter = { resolve, reject };
    });
  }

  /** Cancels the call at the endpoint unless the answer is complete. */
  async return(): Promise<IteratorResult<Buffer, void>> {
    this.fail(new RelayError({ kind: FailureKind.Cancelled, reason: 'the answer is not needed' }));
    this.arrived = [];
    this.arrivedBytes = 0;
    return { done: true, value: undefined };
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRepeated = this.controller !== undefined;
    this.controller = controller;
    if (isRepeated) {
      // The library may write a request again after a connection failed before the answer; whether
      // a call is sent again is decided by the exchange alone.
      this.fail(relayError('the request would be sent twice', this.endpoint, true));
    }
    if (this.error !== undefined) {
      controller.abort(this.error);
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (status < 200) {
      return;
    }
    const contentType = headers['content-type'];
    this.status = status;
    this.contentType = typeof contentType === 'string' ? contentType : DEFAULT_CONTENT_TYPE;
    this.headWaiter?.resolve();
    this.headWaiter = undefined;
  }

  onResponseData(controller: Dispatcher.DispatchController, piece: Buffer): void {
    const waiter = this.pieceWaiter;
    if (waiter !== undefined) {
      this.pieceWaiter = undefined;
      waiter.resolve({ done: false, value: piece });
      return;
    }
    this.arrived.push(piece);
    this.arrivedBytes += piece.length;
    if (this.arrivedBytes >= HIGH_WATER_BYTES) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    this.settle();
    this.pieceWaiter?.resolve({ done: true, value: undefined });
    this.pieceWaiter = undefined;
  }

  onResponseError(controller: Dispatcher.DispatchController | undefined, error: unknown): void {
    this.fail(relayError(error, this.endpoint, this.controller !== undefined));
  }

  private readonly abort = (): void => {
    const { reason } = this.signal as { reason: unknown };
    this.fail(relayError(reason, this.endpoint, this.controller !== undefined));
  };

  /** Ends the call with an error. Has no effect on an answer that has ended. */
  private fail(error: RelayError): void {
    if (this.hasEnded) {
      return;
    }
    this.error = error;
    this.settle();
    this.headWaiter?.reject(error);
    this.headWaiter = undefined;
    this.pieceWaiter?.reject(error);
    this.pieceWaiter = undefined;
    this.controller?.abort(error);
  }

  private settle(): void {
    this.hasEnded = true;
    this.signal.removeEventListener('abort', this.abort);
    this.observer.onEnd(this);
  }

  private takeArrived(): Buffer {
    const { arrived } = this;
    const piece = arrived.length === 1 ? (arrived[0] ?? Buffer.alloc(0)) : Buffer.concat(arrived);
    this.arrived = [];
    this.arrivedBytes = 0;
    if (this.controller?.paused === true) {
      this.controller.resume();
    }
    return piece;
  }
}
