import { once } from 'node:events';

import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { errorResponse } from './ErrorResponse.js';
import { ResponseWriter } from './ResponseWriter.js';

import type { CallTimer } from './CallTimer.js';
import type { FailureReport } from './ResponseWriter.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ServerResponse } from 'node:http';

const EVENT_STREAM = 'text/event-stream';

/** What a writer needs of its call. */
export interface HttpAnswerParts {
  readonly response: ServerResponse;
  readonly requestIdentifier: string;
  readonly timer: CallTimer;
  readonly clock: Clock;
  /** How long a caller may take nothing before it is cut off, in milliseconds. */
  readonly stallMilliseconds: number;
}

/** Writes an answer to an HTTP/1.1 caller. */
export class HttpAnswerWriter extends ResponseWriter {
  private readonly parts: HttpAnswerParts;

  private readonly response: ServerResponse;

  /** Kept here, because the response does not keep headers that are given with its status. */
  private isEventStream = false;

  constructor(parts: HttpAnswerParts) {
    super();
    this.parts = parts;
    this.response = parts.response;
  }

  override get hasBegun(): boolean {
    return this.response.headersSent;
  }

  override begin(status: number, contentType: string): void {
    this.parts.timer.begin(status);
    this.isEventStream = contentType.startsWith(EVENT_STREAM);
    this.response.writeHead(status, {
      'content-type': contentType,
      'x-request-id': this.parts.requestIdentifier,
      ...(this.isEventStream ? { 'cache-control': 'no-cache' } : {}),
    });
  }

  override async write(piece: Buffer, signal: AbortSignal): Promise<void> {
    this.assertOpen();
    this.parts.timer.recordChunk();
    if (!this.response.write(piece)) {
      await this.drained(signal);
    }
  }

  override async end(): Promise<void> {
    this.parts.timer.end();
    this.response.end();
  }

  override async fail(report: FailureReport): Promise<void> {
    this.parts.timer.fail(report.failure, report.notRun);
    const { status, headers, body } = errorResponse(report);
    if (!this.hasBegun) {
      this.response.writeHead(status, headers);
      this.response.end(JSON.stringify(body));
      return;
    }
    if (this.response.writableNeedDrain) {
      // The caller does not read, so an event would wait behind what it has not read yet.
      this.response.destroy();
      return;
    }
    if (this.isEventStream && !this.response.writableEnded) {
      this.response.end(`data: ${JSON.stringify(body)}\n\n`);
      return;
    }
    // A body that is neither an event stream nor complete can only be marked as broken by a reset.
    this.response.destroy();
  }

  private assertOpen(): void {
    if (this.response.destroyed || this.response.writableEnded) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller has gone' });
    }
  }

  /** Waits until the caller has taken what was written. */
  private async drained(cancelled: AbortSignal): Promise<void> {
    const settled = new AbortController();
    const { signal } = settled;
    const stop = () => settled.abort();
    cancelled.addEventListener('abort', stop);
    const cancelStall = this.parts.clock.schedule(this.parts.stallMilliseconds, () => {
      this.response.destroy();
    });
    try {
      await Promise.race([
        once(this.response, 'drain', { signal }),
        once(this.response, 'close', { signal }),
      ]);
    } catch (error) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the wait was aborted' }, error);
    } finally {
      cancelStall();
      cancelled.removeEventListener('abort', stop);
      settled.abort();
    }
    this.assertOpen();
  }
}
