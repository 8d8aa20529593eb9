import { Readable } from 'node:stream';

import { eventLoopTurns, ReadPriority, TurnReader } from './ReadTurns.js';
import { SocketEnd } from './SocketEnd.js';

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

  private readonly end: SocketEnd;

  constructor(socket: Socket, options: PacedReadOptions) {
    const { allowance, priority = ReadPriority.Ordinary, turns = eventLoopTurns } = options;
    super(priority);
    this.socket = socket;
    this.turns = turns;
    this.allowance = allowance;
    this.permission = options.permission;
    // `read()` of a socket with its own buffer (`onread`) receives more however much is buffered.
    this.readSocket = Readable.prototype.read.bind(socket);
    this.end = new SocketEnd(socket, () => this.readSocket());
    Object.assign(socket, { read: (size?: number) => this.read(size) });
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

  private read(size: number | undefined): Buffer | null {
    const { end, socket } = this;
    if (size === undefined) {
      end.recordRead();
    }
    if (end.isHeld) {
      return null;
    }
    const { readableLength } = socket;
    if (size !== undefined || readableLength === 0 || end.hasNetworkFailed) {
      return this.readSocket(size);
    }
    if (end.isClosed) {
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
    return bytes === readableLength && !end.hasArrived ? this.readSocket() : this.readSocket(bytes);
  }
}

/**
 * Makes `read()` of a socket return its bytes in portions, in turn with other sockets, and `null`
 * in between, as if no bytes had arrived. The socket fails when its allowance is used up. Its end is
 * reported as `SocketEnd` says. For users that read on `readable`, such as the HTTP client library.
 */
export function paceReads(socket: Socket, options: PacedReadOptions = {}): void {
  // eslint-disable-next-line no-new -- The socket refers to the object.
  new PacedReads(socket, options);
}
