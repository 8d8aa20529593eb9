import type { Socket } from 'node:net';

/**
 * Detects that a connection broke off, which Node or the HTTP client library may report as the normal
 * end of a close-delimited response. Has to be created before the listeners of the library are added.
 */
export class ConnectionBreak {
  private detected: Error | undefined;

  constructor(socket: Socket) {
    socket.on('error', (error) => {
      if ('syscall' in error) {
        this.detected = error;
      }
    });
    socket.on('end', () => {
      // Node reports a reset that arrives together with data as a normal end. Only the peer address
      // tells them apart: a socket that was reset has none. Node caches it, so it is read only here.
      if (socket.remoteAddress === undefined) {
        this.detected = new Error('the connection was reset');
      } else if (socket.writableLength > 0) {
        this.detected = new Error('the connection ended before the request was written');
      }
    });
  }

  /** The reason, or undefined while the connection has not broken off. */
  get error(): Error | undefined {
    return this.detected;
  }

  /** Throws the reason if the connection has broken off. */
  throwIfDetected(): void {
    if (this.detected !== undefined) {
      throw this.detected;
    }
  }
}
