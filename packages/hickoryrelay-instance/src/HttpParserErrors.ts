import { FailureKind } from 'hickoryrelay/Failure';

import { errorResponse } from './ErrorResponse.js';
import type { CallerConnections } from 'hickoryrelay/CallerConnections';
import type { Failure } from 'hickoryrelay/Failure';
import type { Settings } from 'hickoryrelay-contract/Settings';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

const MILLISECONDS_PER_SECOND = 1000;

const REASON_PHRASES: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  413: 'Content Too Large',
  429: 'Too Many Requests',
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

/** The bytes of a response to what is not a valid request, or is refused before it has been read. */
export function rejection(failure: Failure, requestIdentifier: string): string {
  const { status, headers, body } = errorResponse({ failure, requestIdentifier, notRun: true });
  const text = JSON.stringify(body);
  const lines = Object.entries({
    ...headers,
    'content-length': String(Buffer.byteLength(text)),
    connection: 'close',
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? ''}\r\n${lines.join('')}\r\n${text}`;
}

/**
 * Responds to errors of the HTTP parser with the same error body as to all other failures, once the
 * requests before them on the connection have been answered.
 */
export function handleParserErrors(
  server: Server,
  connections: CallerConnections,
  limits: Settings['limits'],
  nextRequestIdentifier: () => string,
): void {
  server.on('clientError', ({ code }: NodeJS.ErrnoException, socket: Socket) => {
    connections.reject(socket, rejection(failureFor(code, limits), nextRequestIdentifier()));
  });
  server.on('connect', (_request, socket) => {
    const failure = failureFor(undefined, limits);
    connections.rejectTunnel(socket as Socket, rejection(failure, nextRequestIdentifier()));
  });
}
