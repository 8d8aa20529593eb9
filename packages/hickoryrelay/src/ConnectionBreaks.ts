import { ConnectionBreak } from './ConnectionBreak.js';

import type { Socket } from 'node:net';

const RESET_CODE = 'ECONNRESET';

/** Code of a reset, which the HTTP client library does not handle specially. */
const PEER_RESET_CODE = 'PEER_RESET';

/**
 * Detects that connections of a pool break off. The HTTP client library does not tell which of its
 * connections carries a response, so a break counts for all responses that end in its turn of the event
 * loop.
 */
export class ConnectionBreaks {
  private hasOccurred = false;

  private lastReadSocket: Socket | undefined;

  /**
   * True if a connection has broken off in this turn of the event loop, in which the response that it
   * carried ends.
   */
  get isCurrent(): boolean {
    return this.hasOccurred;
  }

  /** The connection that was read last, whose bytes the library parses at once. */
  get lastRead(): Socket | undefined {
    return this.lastReadSocket;
  }

  /** Has to be called before the listeners of the library are added. */
  observe(socket: Socket): void {
    // The library takes a reset for the end of a close-delimited response, but not other errors.
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === RESET_CODE) {
        Object.assign(error, { code: PEER_RESET_CODE });
      }
    });
    const read = socket.read.bind(socket);
    Object.assign(socket, {
      read: (size?: number) => {
        this.lastReadSocket = socket;
        return read(size) as unknown;
      },
    });
    const connectionBreak = new ConnectionBreak(socket);
    socket.on('end', () => {
      if (connectionBreak.error !== undefined) {
        this.hasOccurred = true;
        setImmediate(() => {
          this.hasOccurred = false;
        });
      }
    });
  }

  /**
   * Closes a connection whose request is still being written, so that no other one waits behind bytes
   * that the peer may never read. Has to be called while the library reports the end of a response.
   */
  closeIfUnwritten(): void {
    if (this.lastRead !== undefined && this.lastRead.writableLength > 0) {
      this.lastRead.destroy();
    }
  }
}
