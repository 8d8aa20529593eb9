import { once } from 'node:events';

import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { ServerResponse } from 'node:http';
import { AnswerWriter } from './AnswerWriter.js';
import { errorResponse } from './ErrorResponse.js';

import type { FailureReport } from './AnswerWriter.js';

const EVENT_STREAM = 'text/event-stream';

/** Writes an answer to an HTTP/1.1 caller. */
export class HttpAnswerWriter extends AnswerWriter {
  private readonly response: ServerResponse;

  private readonly requestIdentifier: string;

  constructor(response: ServerResponse, requestIdentifier: string) {
    super();
    this.response = response;
    this.requestIdentifier = requestIdentifier;
  }

  override get hasBegun(): boolean {
    return this.response.headersSent;
  }

  override begin(status: number, contentType: string): void {
    this.response.writeHead(status, {
      'content-type': contentType,
      'x-request-id': this.requestIdentifier,
      ...(contentType.startsWith(EVENT_STREAM) ? { 'cache-control': 'no-cache' } : {}),
    });
  }

  override async write(piece: Buffer, signal: AbortSignal): Promise<void> {
    this.assertOpen();
    if (!this.response.write(piece)) {
      await this.drained(signal);
    }
  }

  override async end(): Promise<void> {
    this.response.end();
  }

  override async fail(report: FailureReport): Promise<void> {
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
    const contentType = String(this.response.getHeader('content-type') ?? '');
    if (contentType.startsWith(EVENT_STREAM) && !this.response.writableEnded) {
      this.response.end(`data: ${JSON.stringify(body)}\n\n`);
      return;
    }
    this.response.destroy();
  }

  private assertOpen(): void {
    if (this.response.destroyed || this.response.writableEnded) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller has gone' });
    }
  }

  private async drained(cancelled: AbortSignal): Promise<void> {
    const settled = new AbortController();
    const { signal } = settled;
    const stop = () => settled.abort();
    cancelled.addEventListener('abort', stop);
    try {
      await Promise.race([
        once(this.response, 'drain', { signal }),
        once(this.response, 'close', { signal }),
      ]);
    } catch (error) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the wait was aborted' }, error);
    } finally {
      cancelled.removeEventListener('abort', stop);
      settled.abort();
    }
    this.assertOpen();
  }
}
