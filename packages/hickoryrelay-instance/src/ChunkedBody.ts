import type { ServerResponse } from 'node:http';

const HEXADECIMAL = 16;
const LINE_END = '\r\n';
const LAST_CHUNK = '0\r\n\r\n';

function chunkOf(piece: Buffer): Buffer {
  const size = piece.length.toString(HEXADECIMAL);
  const start = size.length + LINE_END.length;
  const chunk = Buffer.allocUnsafe(start + piece.length + LINE_END.length);
  chunk.write(size + LINE_END, 0, 'latin1');
  piece.copy(chunk, start);
  chunk.write(LINE_END, start + piece.length, 'latin1');
  return chunk;
}

/**
 * The body of a response whose head was written without a length. Frames the chunks itself (RFC 9112,
 * section 7.1), because `node:http` passes size, content and line ends to the socket as four buffers,
 * and gathering those costs more than copying one event.
 */
export class ChunkedBody {
  private readonly response: ServerResponse;

  /** False towards HTTP/1.0 callers, whose response ends with the connection. */
  private readonly isChunked: boolean;

  constructor(response: ServerResponse) {
    this.response = response;
    this.isChunked = response.chunkedEncoding;
    response.chunkedEncoding = false;
  }

  /** Returns false if the caller has to be waited for, as `response.write` does. */
  write(piece: Buffer): boolean {
    if (piece.length === 0) {
      return true;
    }
    return this.response.write(this.isChunked ? chunkOf(piece) : piece);
  }

  end(): void {
    if (this.isChunked) {
      this.response.end(LAST_CHUNK, 'latin1');
    } else {
      this.response.end();
    }
  }
}
