import { ConnectionReads } from 'hickoryrelay/ConnectionReads';
import { DiscardReader, discardTurns } from 'hickoryrelay/DiscardTurns';
import { eventLoopTurns, TurnReader } from 'hickoryrelay/ReadTurns';

import { openLineBytesOf } from './HeadMemory.js';

import type { CallerAccount } from './CallerAccount.js';
import type { CallerRequest } from './CallerRequest.js';
import type { CallerConnection } from 'hickoryrelay/CallerConnection';
import type { Socket } from 'node:net';

/** Bytes that are parsed at once while no request is open: most heads, or 110 of the smallest requests. */
const HEAD_PORTION_BYTES = 2048;

/** Bytes that are parsed at once behind open requests: at most 28 further ones. */
const PIPELINED_PORTION_BYTES = 512;

/** Bytes of a body of unknown length that are parsed at once, as requests may follow its end. */
const CHUNKED_PORTION_BYTES = 16_384;

/**
 * Bytes that a connection parses at once within about a second. Further ones are parsed in turn with other
 * connections, as those in tiny chunks take a thousand times as long as others.
 */
const FREE_BYTES = 8192;

/** Bytes that a caller has to send or read for progress, so that single bytes do not count. */
const PROGRESS_BYTES = 4096;

type DataListener = (bytes: Buffer) => void;

/** True once the caller has closed its side, although the socket has not emitted its end yet. */
function hasReceivedEnd(socket: Socket): boolean {
  // No public property shows this while bytes wait to be read.
  const { _readableState: state } = socket as unknown as { _readableState: { ended: boolean } };
  return state.ended;
}

/** Parses the bytes of one connection in turn with others. */
class CallerTurns extends TurnReader {
  private readonly reads: CallerReads;

  constructor(reads: CallerReads) {
    super();
    this.reads = reads;
  }

  override get availableBytes(): number {
    return this.reads.bufferedBytes;
  }

  override readPortion(portionBytes: number): number {
    return this.reads.parseUpTo(TurnReader.sizeOf(this.availableBytes, portionBytes));
  }
}

/** Drops the bytes of one connection in turn with others. */
class CallerDiscard extends DiscardReader {
  private readonly reads: CallerReads;

  constructor(reads: CallerReads) {
    super();
    this.reads = reads;
  }

  protected override drop(): number {
    return this.reads.drop();
  }
}

/** Decides whether the next bytes of a connection may be parsed. */
export abstract class ReadPermission {
  /** If not, calls `run` of the reads later. */
  abstract mayRead(reads: CallerReads, bytes: number): boolean;

  /** True if the socket may receive more bytes than its buffer takes, which are not parsed yet. */
  abstract mayReceiveAhead(reads: CallerReads): boolean;

  /** Called when bytes have arrived that were not parsed. */
  abstract recordBuffered(reads: CallerReads): void;

  /** Called when the connection has closed or its socket is read by another user. */
  abstract forget(reads: CallerReads): void;
}

/**
 * Passes the bytes of one socket to the HTTP server in portions, as long as the memory for callers permits. The
 * other bytes stay in the buffer of the socket, which stops reading once the buffer is full.
 */
export class CallerReads extends ConnectionReads {
  readonly connection: CallerConnection;

  readonly account: CallerAccount;

  /** The request whose head was read last. */
  request: CallerRequest | undefined;

  private readonly socket: Socket;

  private readonly permission: ReadPermission;

  private readonly parse: DataListener;

  private readonly handleReadable = () => this.run();

  /** True while the HTTP server wants no more bytes. */
  private isPaused = false;

  private isRunning = false;

  private readonly turns = new CallerTurns(this);

  private readonly discarding = new CallerDiscard(this);

  /** Bytes that may be parsed now. */
  private granted = 0;

  private isDiscarding = false;

  private isDetached = false;

  private progressBytes = 0;

  /** Bytes parsed since the last head or the last part of a body. */
  private openBytes = 0;

  /** Bytes that were received before those in the buffer of the socket and have not been parsed. */
  private receivedAhead: Buffer = Buffer.alloc(0);

  constructor(connection: CallerConnection, account: CallerAccount, permission: ReadPermission) {
    super();
    const { socket } = connection;
    this.connection = connection;
    this.socket = socket;
    this.account = account;
    this.permission = permission;
    const [parse] = socket.listeners('data');
    this.parse = parse as DataListener;
    socket.removeAllListeners('data');
    Object.assign(socket, {
      pause: () => {
        this.isPaused = true;
        return socket;
      },
      resume: () => {
        if (this.isPaused) {
          this.isPaused = false;
          this.run();
        }
        return socket;
      },
    });
    socket.on('readable', this.handleReadable);
    socket.once('close', () => this.detach());
  }

  override discard(): void {
    if (!this.isDiscarding) {
      this.isDiscarding = true;
      this.permission.forget(this);
      this.run();
    }
  }

  override detach(): void {
    if (!this.isDetached) {
      this.isDetached = true;
      this.receivedAhead = Buffer.alloc(0);
      this.account.setBuffered(0);
      this.account.readingSinceMilliseconds = undefined;
      this.permission.forget(this);
      eventLoopTurns.remove(this.turns);
      discardTurns.remove(this.discarding);
      this.socket.removeListener('readable', this.handleReadable);
      // The methods of the class take effect again.
      Reflect.deleteProperty(this.socket, 'pause');
      Reflect.deleteProperty(this.socket, 'resume');
    }
  }

  /** Parses what has arrived, as far as it is permitted. */
  run(): void {
    if (this.isRunning || this.isDetached) {
      return;
    }
    const now = performance.now();
    const freeBytes = FREE_BYTES - this.turns.recentBytes(now);
    if (freeBytes > 0 || this.isDiscarding || this.bufferedBytes === 0 || this.isCopying) {
      this.turns.recordBytes(this.parseUpTo(Math.max(freeBytes, 1)), now);
    } else if (!this.isPaused) {
      eventLoopTurns.request(this.turns);
    }
  }

  override get bufferedBytes(): number {
    return this.receivedAhead.length + this.socket.readableLength;
  }

  /** Parses about so many bytes at most, as far as it is permitted. Returns their number. */
  parseUpTo(bytes: number): number {
    if (this.isRunning || this.isDetached) {
      return 0;
    }
    this.granted = bytes;
    this.isRunning = true;
    let canContinue = true;
    try {
      // Reading an empty buffer lets the socket emit its end.
      while (canContinue && (this.granted > 0 || this.isDiscarding || this.bufferedBytes === 0)) {
        canContinue = this.readPortion();
      }
    } finally {
      this.isRunning = false;
    }
    if (!this.isDetached) {
      this.account.setBuffered(this.bufferedBytes);
      this.permission.recordBuffered(this);
      if (canContinue && this.bufferedBytes > 0) {
        eventLoopTurns.request(this.turns);
      } else if (!this.isPaused && this.bufferedBytes > 0 && hasReceivedEnd(this.socket)) {
        // The HTTP server takes the end for the leaving of the caller, and has to learn of it now.
        this.discard();
      } else if (!this.isDiscarding) {
        this.receiveAhead();
      }
    }
    return bytes - this.granted;
  }

  /** Drops what has arrived. Returns the number of bytes. */
  drop(): number {
    const bytes = this.bufferedBytes;
    if (!this.isDetached) {
      this.receivedAhead = Buffer.alloc(0);
      this.socket.read();
      this.account.setBuffered(this.bufferedBytes);
    }
    return bytes;
  }

  /** True if bytes wait to be parsed, or the rest of a head or of a body is due. */
  get isWaitedFor(): boolean {
    const isDue = this.hasOpenHead || this.request?.isReading === true;
    return !this.isDetached && (this.bufferedBytes > 0 || isDue);
  }

  /** True while a head has arrived in part. */
  get hasOpenHead(): boolean {
    return this.openBytes > 0 && this.request?.isReading !== true;
  }

  /** True if no other request of the connection may release memory before the one that is being read. */
  get isAlone(): boolean {
    const { openRequests } = this.account;
    return this.request?.isReading === true
      ? openRequests === 1
      : this.hasOpenHead && openRequests === 0;
  }

  /** Updates what the caller has not read. */
  countUnsent(): void {
    const { unsentBytes, unreadBytes } = this.connection;
    this.account.setUnsent(unsentBytes, unreadBytes);
  }

  /** Releases what is collected of responses, whose requests run. */
  dropCollected(): void {
    this.connection.dropCollected();
    this.countUnsent();
  }

  /** Updates what the caller has not read, and when it last made progress. */
  observe(now: number): void {
    const { socket, account } = this;
    this.countUnsent();
    const bytes =
      socket.bytesRead - this.bufferedBytes + socket.bytesWritten - socket.writableLength;
    if (bytes - this.progressBytes >= PROGRESS_BYTES) {
      this.progressBytes = bytes;
      account.progressMilliseconds = now;
    }
  }

  /**
   * Empties the buffer of the socket when it is full, as it receives nothing more until then and would not learn that
   * the caller has left behind bytes that wait to be parsed.
   */
  private receiveAhead(): void {
    const { socket } = this;
    if (
      !this.isPaused &&
      socket.readableLength >= socket.readableHighWaterMark &&
      this.permission.mayReceiveAhead(this)
    ) {
      this.receivedAhead = Buffer.concat([this.receivedAhead, socket.read() as Buffer]);
    }
  }

  /** Takes the first bytes that have arrived; null if there are not so many. */
  private take(bytes: number): Buffer | null {
    const { receivedAhead } = this;
    if (receivedAhead.length === 0) {
      return this.socket.read(bytes) as Buffer | null;
    }
    this.receivedAhead = receivedAhead.subarray(bytes);
    return receivedAhead.subarray(0, bytes);
  }

  /** True in a body whose length was announced, which the parser only copies and which needs no turn. */
  private get isCopying(): boolean {
    return this.request?.isReading === true && (this.request.missingBytes ?? 0) > 0;
  }

  /** Returns false if nothing more can be parsed now. */
  private readPortion(): boolean {
    const { socket, bufferedBytes } = this;
    if (this.isDetached || bufferedBytes === 0) {
      if (!this.isDetached) {
        socket.read();
      }
      return false;
    }
    if (this.request?.isReading !== true && this.connection.takesNoRequests) {
      this.isDiscarding = true;
      this.permission.forget(this);
    }
    if (this.isDiscarding) {
      if (hasReceivedEnd(socket)) {
        this.drop();
      } else {
        discardTurns.request(this.discarding);
      }
      return false;
    }
    if (this.isPaused) {
      return false;
    }
    const bytes = this.portionOf(this.receivedAhead.length || socket.readableLength);
    if (!this.permission.mayRead(this, bytes)) {
      return false;
    }
    const piece = this.take(bytes);
    if (piece === null) {
      return false;
    }
    if (!this.isCopying) {
      this.granted -= piece.length;
    }
    const { request } = this;
    const receivedBytes = request?.receivedBytes;
    this.parse(piece);
    const isOpen = this.request === request && request?.receivedBytes === receivedBytes;
    this.openBytes = isOpen ? this.openBytes + piece.length : 0;
    this.account.setParsing(this.openBytes + openLineBytesOf(socket));
    if (this.request?.isReading !== true) {
      this.account.readingSinceMilliseconds = undefined;
    }
    return true;
  }

  private portionOf(readableLength: number): number {
    const { request, granted } = this;
    if (request?.isReading !== true) {
      const isPipelined = this.account.openRequests > 0;
      return Math.min(readableLength, isPipelined ? PIPELINED_PORTION_BYTES : HEAD_PORTION_BYTES);
    }
    const { missingBytes } = request;
    return missingBytes === undefined
      ? Math.min(readableLength, CHUNKED_PORTION_BYTES, Math.max(granted, HEAD_PORTION_BYTES))
      : Math.min(readableLength, Math.max(1, missingBytes));
  }
}
