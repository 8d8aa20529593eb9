import type { Socket } from 'node:net';

/**
 * The one network error that the HTTP client library takes for the end of a response without a length. It fails an
 * assertion, which ends the process, if the request has been aborted before the socket reports the error.
 */
const RESET_CODE = 'ECONNRESET';

/** Errors of the operating system name the call that failed. */
function isNetworkError(error: Error): boolean {
  return 'syscall' in error;
}

/** The same error without the code of a reset. */
function withoutResetCode(error: Error): Error {
  return 'code' in error && error.code === RESET_CODE
    ? Object.assign(new Error('the connection was reset', { cause: error }), { syscall: 'read' })
    : error;
}

/**
 * The end of a socket whose reader may pause. Reports the end only to a reader that reads, and closes the
 * socket of a paused one, or one that this process resets, with an error, since the HTTP client library fails an
 * assertion, which ends the process, if a response without a length ends while its parser is paused or after its
 * request was aborted. Readers need listeners for `readable` and `error`. A reset that comes before the end was
 * reported still fails the connection.
 */
export class SocketEnd {
  private readonly socket: Socket;

  private readonly readSocket: () => unknown;

  /** True once the peer has ended the connection. */
  private hasEnded = false;

  private isReportScheduled = false;

  /** True if the reader has read since this was last set to false. */
  private hasReaderRead = false;

  private isClosing = false;

  private hasFailed = false;

  /** True once this process has reset the connection. */
  private isReset = false;

  /** `readSocket` is `read()` of the socket itself. */
  constructor(socket: Socket, readSocket: () => unknown) {
    this.socket = socket;
    this.readSocket = readSocket;
    const push = socket.push.bind(socket);
    const destroy = socket.destroy.bind(socket);
    const resetAndDestroy = socket.resetAndDestroy.bind(socket);
    Object.assign(socket, {
      resetAndDestroy: () => {
        this.isReset = true;
        return resetAndDestroy();
      },
      push: (chunk: Buffer | null) => {
        this.hasEnded ||= chunk === null;
        return push(chunk);
      },
      destroy: (error?: Error) => {
        // The reader may close the socket itself when it reads the last bytes, which must not replace the error.
        if (!socket.destroyed && !this.isClosing) {
          destroy(this.prepareClose(error ?? undefined));
        }
        return socket;
      },
    });
  }

  /** True if all bytes were read and the end is held back. */
  get isHeld(): boolean {
    const { socket } = this;
    return this.hasEnded && socket.readableLength === 0 && socket.listenerCount('readable') > 0;
  }

  /** True once the peer has ended the connection. A read without a size would report that with the last bytes. */
  get hasArrived(): boolean {
    return this.hasEnded;
  }

  /** True if a network error closes the socket. A response that was received whole is then still read. */
  get hasNetworkFailed(): boolean {
    return this.hasFailed;
  }

  /** True if the socket is closed and its bytes, which it would still return, are not to be read. */
  get isClosed(): boolean {
    return this.socket.destroyed || this.isClosing;
  }

  /** Records that the reader reads. */
  recordRead(): void {
    this.hasReaderRead = true;
    if (this.isHeld && !this.isReportScheduled) {
      this.isReportScheduled = true;
      // The reader may pause again in the same call.
      process.nextTick(() => this.report());
    }
  }

  private report(): void {
    const mayReport = !this.isClosed && this.offerRead();
    this.isReportScheduled = false;
    if (mayReport && this.isHeld) {
      this.readSocket();
    }
  }

  /** Tells the reader that it can read. Returns false if it does not, since it is paused. */
  private offerRead(): boolean {
    this.hasReaderRead = false;
    return !this.socket.emit('readable') || this.hasReaderRead;
  }

  /** Lets the reader read what it still may. Returns the error to close the socket with. */
  private prepareClose(error: Error | undefined): Error | undefined {
    if (error !== undefined && !isNetworkError(error)) {
      return error;
    }
    this.isClosing = true;
    this.hasFailed = error !== undefined;
    if (error !== undefined) {
      this.offerRead();
      this.offerRead();
      return withoutResetCode(error);
    }
    // The last bytes may have paused the reader.
    return this.offerRead() && !this.isReset ? undefined : new Error('the connection was closed');
  }
}
