import { Readable } from 'node:stream';

import { eventLoopTurns, ReadPriority, TurnReader } from './ReadTurns.js';

import type { ReadTurns } from './ReadTurns.js';
import type { ResponseAllowance } from './ResponseAllowance.js';
import type { Socket } from 'node:net';

/** Decides whether the bytes that a socket has received may be read. */
export abstract class PortionPermission {
  /** If not, `readable` has to be emitted on the socket later. */
  abstract mayRead(): boolean;
}

/** How the bytes of a socket are read. */
export interface PacedReadOptions {
  /** What the current response may bring; unlimited if absent. */
  readonly allowance?: ResponseAllowance | undefined;
  /** Asked before each portion; always given if absent. */
  readonly permission?: PortionPermission;
  /** `ReadPriority.Ordinary` if absent. */
  readonly priority?: ReadPriority;
  /** The turns that the socket shares with others; those of the process if absent. */
  readonly turns?: ReadTurns;
}

/** Errors of the operating system name the call that failed. */
function isNetworkError(error: Error | undefined): error is Error {
  return error !== undefined && 'syscall' in error;
}

/** An error that the HTTP client library does not take for the end of a response without a length. */
function connectionBroken(cause: Error | undefined): Error {
  const message = isNetworkError(cause) ? 'the connection was reset' : 'the connection was closed';
  return Object.assign(new Error(message, { cause }), isNetworkError(cause) && { syscall: 'read' });
}

/** Reads the bytes of one socket in turns, within what the current response may bring. */
class PacedReads extends TurnReader {
  private readonly socket: Socket;

  private readonly turns: ReadTurns;

  private readonly allowance: ResponseAllowance | undefined;

  private readonly permission: PortionPermission | undefined;

  private readonly readSocket: (size?: number) => Buffer | null;

  /** Bytes that may be read now. */
  private granted = 0;

  private portionBytes = 0;

  /** True once a network error closes the socket, whose last bytes are read at once. */
  private hasNetworkFailed = false;

  /** True once the peer has closed the connection. */
  private hasEnded = false;

  /** True while the socket is being closed without an error. */
  private isClosing = false;

  private isEndScheduled = false;

  /** True if the reader has called `read()` since this was last set to false. */
  private hasReaderAsked = false;

  constructor(socket: Socket, options: PacedReadOptions) {
    const { allowance, priority = ReadPriority.Ordinary, turns = eventLoopTurns } = options;
    super(priority);
    this.socket = socket;
    this.turns = turns;
    this.allowance = allowance;
    this.permission = options.permission;
    // `read()` of a socket with its own buffer (`onread`) receives more however much is buffered.
    this.readSocket = Readable.prototype.read.bind(socket);
    const push = socket.push.bind(socket);
    const destroy = socket.destroy.bind(socket);
    Object.assign(socket, {
      read: (size?: number) => this.read(size),
      push: (chunk: Buffer | null) => {
        this.hasEnded ||= chunk === null;
        return push(chunk);
      },
      destroy: (error?: Error) => destroy(socket.destroyed ? error : this.closeWith(error)),
    });
    socket.once('close', () => turns.remove(this));
  }

  override get availableBytes(): number {
    return this.socket.readableLength;
  }

  override readPortion(portionBytes: number): number {
    this.granted = portionBytes;
    this.portionBytes = 0;
    this.socket.emit('readable');
    this.granted = 0;
    return this.portionBytes;
  }

  /** Returns the error to close the socket with. */
  private closeWith(error: Error | undefined): Error | undefined {
    if (error != null && !isNetworkError(error)) {
      return error;
    }
    if (error == null) {
      this.isClosing = true;
    } else {
      // A response that was received whole may wait for its turn when its connection is reset.
      this.hasNetworkFailed = true;
      this.socket.emit('readable');
    }
    return this.isReaderPaused() ? connectionBroken(error) : error;
  }

  /** True if the reader does not read when it is told that it can. */
  private isReaderPaused(): boolean {
    this.hasReaderAsked = false;
    return this.socket.emit('readable') && !this.hasReaderAsked;
  }

  /** Lets the socket report its end unless the reader is paused, in which case it reads again later. */
  private reportEnd(): void {
    const mayEnd = !this.socket.destroyed && !this.isReaderPaused();
    this.isEndScheduled = false;
    if (mayEnd) {
      this.readSocket();
    }
  }

  private scheduleEnd(): void {
    if (!this.isEndScheduled) {
      this.isEndScheduled = true;
      // The library reads and may pause again in the same call.
      process.nextTick(() => this.reportEnd());
    }
  }

  private read(size: number | undefined): Buffer | null {
    const { readableLength, destroyed } = this.socket;
    this.hasReaderAsked ||= size === undefined;
    if (readableLength === 0 && this.hasEnded && this.socket.listenerCount('readable') > 0) {
      if (size === undefined) {
        this.scheduleEnd();
      }
      return null;
    }
    if (size !== undefined || readableLength === 0) {
      return this.readSocket(size);
    }
    if (this.hasNetworkFailed) {
      return this.readSocket();
    }
    if (destroyed || this.isClosing) {
      // A destroyed socket would still return all the bytes that it has received.
      return null;
    }
    if (this.permission?.mayRead() === false) {
      return null;
    }
    if (this.granted === 0) {
      this.turns.request(this);
      return null;
    }
    const allowed = this.allowance?.nextBytes(this.socket) ?? Number.POSITIVE_INFINITY;
    if (allowed <= 0) {
      this.socket.destroy(this.allowance?.failure);
      return null;
    }
    const bytes = TurnReader.sizeOf(readableLength, Math.min(this.granted, allowed));
    this.granted = 0;
    this.portionBytes = bytes;
    // Without a size, the socket would report its end before the reader has processed the last bytes.
    return bytes === readableLength && !this.hasEnded ? this.readSocket() : this.readSocket(bytes);
  }
}

/**
 * Makes `read()` of a socket return its bytes in portions, in turn with other sockets, and `null`
 * in between, as if no bytes had arrived. The socket fails when its allowance is used up. Its end is
 * reported to a reader that has paused only once it reads again. For users that read on `readable`, such
 * as the HTTP client library.
 */
export function paceReads(socket: Socket, options: PacedReadOptions = {}): void {
  // eslint-disable-next-line no-new -- The socket refers to the object.
  new PacedReads(socket, options);
}
