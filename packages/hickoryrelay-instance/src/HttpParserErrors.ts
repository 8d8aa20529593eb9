import { FailureKind } from 'hickoryrelay/Failure';

import { errorResponse } from './ErrorResponse.js';
import type { Failure } from 'hickoryrelay/Failure';
import type { Settings } from 'hickoryrelay-contract/Settings';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

const MILLISECONDS_PER_SECOND = 1000;

const REASON_PHRASES: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  413: 'Content Too Large',
};

function failureFor(code: string | undefined, limits: Settings['limits']): Failure {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return {
        kind: FailureKind.RequestTooLarge,
        part: 'header',
        limitBytes: limits.headerBytes,
      };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return {
        kind: FailureKind.RequestTimeout,
        limitMilliseconds: limits.requestSeconds * MILLISECONDS_PER_SECOND,
      };
    default:
      return { kind: FailureKind.InvalidRequest, field: 'request', reason: 'malformed HTTP' };
  }
}

/** Responds to errors of the HTTP parser with the same error body as to all other failures. */
export function handleParserErrors(
  server: Server,
  limits: Settings['limits'],
  nextRequestIdentifier: () => string,
): void {
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const { status, headers, body } = errorResponse({
      failure: failureFor(error.code, limits),
      requestIdentifier: nextRequestIdentifier(),
      notRun: true,
    });
    const text = JSON.stringify(body);
    const lines = Object.entries({
      ...headers,
      'content-length': String(Buffer.byteLength(text)),
      connection: 'close',
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.end(
      `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? ''}\r\n${lines.join('')}\r\n${text}`,
    );
  });
}
