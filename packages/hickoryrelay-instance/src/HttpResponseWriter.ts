import { once } from 'node:events';

import { closeConnectionOf, ConnectionCloseReason } from 'hickoryrelay/ConnectionClosing';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { collectedBytesOf, framingFor, sendWhole } from 'hickoryrelay/ResponseFraming';

import { errorResponse } from './ErrorResponse.js';
import { ResponseWriter } from './ResponseWriter.js';

import type { CallTimer } from './CallTimer.js';
import type { FailureReport } from './ResponseWriter.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ResponseFraming } from 'hickoryrelay/ResponseFraming';
import type { ServerResponse } from 'node:http';

const EVENT_STREAM = 'text/event-stream';

/** Constructor arguments of `HttpResponseWriter`. */
export interface HttpResponseWriterParts {
  readonly response: ServerResponse;
  readonly requestIdentifier: string;
  readonly timer: CallTimer;
  readonly clock: Clock;
  /** Time without reading after which the connection of a caller is closed. */
  readonly stallTimeoutMilliseconds: number;
  /** Called when the call is passed on to an endpoint. */
  readonly onPassedOn?: () => void;
  /** Called before the head of the response is written. */
  readonly onHead?: () => void;
  /** Called when a response of which a part has been written is to be cut. */
  readonly onCut?: () => void;
  /** Called when a part of the response waits for the caller to read, or for the end. */
  readonly onBacklog?: () => void;
}

/** Writes the response of a call to an HTTP/1.1 caller. */
export class HttpResponseWriter extends ResponseWriter {
  private readonly parts: HttpResponseWriterParts;

  private readonly response: ServerResponse;

  private readonly framing: ResponseFraming;

  /** Stored here, because the response does not keep headers that are passed to `writeHead`. */
  private isEventStream = false;

  constructor(parts: HttpResponseWriterParts) {
    super();
    this.parts = parts;
    this.response = parts.response;
    this.framing = framingFor(parts.response);
  }

  override get hasBegun(): boolean {
    return this.framing.hasStarted;
  }

  override recordPassedOn(): void {
    this.parts.onPassedOn?.();
  }

  override begin(status: number, contentType: string): void {
    this.parts.timer.begin(status);
    this.parts.onHead?.();
    this.isEventStream = contentType.startsWith(EVENT_STREAM);
    this.framing.start(status, {
      'content-type': contentType,
      'x-request-id': this.parts.requestIdentifier,
      ...(this.isEventStream ? { 'cache-control': 'no-cache' } : {}),
    });
  }

  override async write(chunk: Buffer, signal: AbortSignal): Promise<void> {
    this.assertOpen();
    this.parts.timer.recordChunk();
    const canContinue = this.framing.write(chunk);
    this.assertCollectable();
    if (!canContinue || collectedBytesOf(this.response) > 0) {
      this.parts.onBacklog?.();
    }
    if (!canContinue) {
      await this.waitForDrain(signal);
    }
  }

  override async end(): Promise<void> {
    this.assertCollectable();
    this.parts.timer.end();
    this.framing.end();
  }

  override async fail(report: FailureReport): Promise<void> {
    this.parts.timer.fail(report.failure, report.notRun);
    const { status, headers, body } = errorResponse(report);
    if (!this.framing.hasSent) {
      this.framing.discard();
      this.parts.onHead?.();
      sendWhole(this.response, status, headers, JSON.stringify(body));
      return;
    }
    if (this.response.writableNeedDrain && !this.isQueued) {
      // The caller is not reading, so an error event would be queued behind unread data.
      closeConnectionOf(this.response, ConnectionCloseReason.CallerStall);
      return;
    }
    if (this.isEventStream && !this.response.writableEnded) {
      this.framing.write(Buffer.from(`data: ${JSON.stringify(body)}\n\n`));
      this.framing.end();
      return;
    }
    // Closing the connection early is the only way to mark any other body as incomplete.
    if (this.parts.onCut === undefined) {
      closeConnectionOf(this.response, ConnectionCloseReason.IncompleteResponse);
    } else {
      this.parts.onCut();
    }
  }

  /** True while the response waits for an earlier one on its connection to be complete. */
  private get isQueued(): boolean {
    return this.response.socket === null;
  }

  private assertOpen(): void {
    if (this.response.destroyed || this.response.writableEnded) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller disconnected' });
    }
  }

  private assertCollectable(): void {
    if (this.framing.isOverLimit) {
      throw new RelayError({
        kind: FailureKind.ResultUnknown,
        requestIdentifier: this.parts.requestIdentifier,
        reason: 'the response cannot be collected for a caller that takes no chunks',
      });
    }
  }

  /** Closes the connection after the stall timeout, which does not count while queued. */
  private startStallTimer(): () => void {
    const { clock, stallTimeoutMilliseconds } = this.parts;
    let cancel = () => {};
    const schedule = () => {
      const wasQueued = this.isQueued;
      cancel = clock.schedule(stallTimeoutMilliseconds, () => {
        if (wasQueued) {
          schedule();
        } else {
          closeConnectionOf(this.response, ConnectionCloseReason.CallerStall);
        }
      });
    };
    schedule();
    return () => cancel();
  }

  /** Waits until the write buffer has drained. Closes the connection if the caller does not read. */
  private async waitForDrain(cancelSignal: AbortSignal): Promise<void> {
    const settled = new AbortController();
    const { signal } = settled;
    const settle = () => settled.abort();
    cancelSignal.addEventListener('abort', settle);
    const cancelStallTimer = this.startStallTimer();
    try {
      await Promise.race([
        once(this.response, 'drain', { signal }),
        once(this.response, 'close', { signal }),
      ]);
    } catch (error) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the wait was aborted' }, error);
    } finally {
      cancelStallTimer();
      cancelSignal.removeEventListener('abort', settle);
      settled.abort();
    }
    this.assertOpen();
  }
}
