import { HEADER_LINE_COST_BYTES } from './CallerLimits.js';

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

function bytesOfLines(lines: readonly string[]): number {
  const characters = lines.reduce((sum, { length }) => sum + length, 0);
  return characters + (lines.length / 2) * HEADER_LINE_COST_BYTES;
}

/** Memory of the head of a request. */
export function headBytesOf({ rawHeaders, url = '' }: IncomingMessage): number {
  return url.length + bytesOfLines(rawHeaders);
}

/** Memory of the trailers of a complete request. */
export function trailerBytesOf({ rawTrailers }: IncomingMessage): number {
  return bytesOfLines(rawTrailers);
}

/** Memory of the lines of an incomplete head or incomplete trailers, besides their characters. */
export function openLineBytesOf(socket: Socket): number {
  // No public property shows them. The parser adds lines in groups of up to 32.
  const { parser } = socket as unknown as {
    parser?: { readonly _headers?: readonly string[] } | null;
  };
  const { _headers: lines = [] } = parser ?? {};
  return (lines.length / 2) * HEADER_LINE_COST_BYTES;
}

/** Releases the lines of a request whose body is incomplete, which the parser keeps until the connection closes. */
export function releaseHead(message: IncomingMessage): void {
  Object.assign(message, { rawHeaders: [], headers: {} });
}
