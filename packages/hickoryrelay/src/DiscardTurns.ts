import { SystemClock } from './Clock.js';

import type { Clock } from './Clock.js';
import type { Socket } from 'node:net';

/**
 * Bytes that are dropped each second by all connections together. Each read takes a new buffer, which is held until
 * it is collected as garbage.
 */
export const DISCARDED_BYTES_PER_SECOND = 16_777_216;

/** Bytes that are dropped at once after a time in which nothing was. */
const BURST_BYTES = 1_048_576;

/** Time between two turns while connections wait. */
const TURN_MILLISECONDS = 10;

const MILLISECONDS_PER_SECOND = 1000;

/** One of those that drop received bytes in turns. */
export abstract class DiscardReader {
  private discarded = 0;

  /** Bytes dropped so far. */
  get discardedBytes(): number {
    return this.discarded;
  }

  /** Drops what has arrived. Returns the number of bytes. */
  discard(): number {
    const bytes = this.drop();
    this.discarded += bytes;
    return bytes;
  }

  protected abstract drop(): number;
}

/**
 * Shares a rate between those that read bytes only to drop them, so that callers that send without end fill neither
 * the memory with buffers nor the event loop. Those that have dropped least go first.
 */
export class DiscardTurns {
  private readonly clock: Clock;

  private readonly waiting = new Set<DiscardReader>();

  /** Bytes that may be dropped now. Below 0 after a read of more. */
  private allowedBytes = BURST_BYTES;

  private refilledAtMilliseconds: number;

  private isScheduled = false;

  constructor(clock: Clock = new SystemClock()) {
    this.clock = clock;
    this.refilledAtMilliseconds = clock.monotonicMilliseconds();
  }

  /** Lets a reader drop what has arrived, now or in a later turn. */
  request(reader: DiscardReader): void {
    this.waiting.add(reader);
    if (!this.isScheduled) {
      this.runTurn();
    }
  }

  /** Withdraws a request. */
  remove(reader: DiscardReader): void {
    this.waiting.delete(reader);
  }

  private runTurn(): void {
    this.refill();
    const readers = [...this.waiting].sort(
      (left, right) => left.discardedBytes - right.discardedBytes,
    );
    for (const reader of readers) {
      if (this.allowedBytes <= 0) {
        break;
      }
      this.waiting.delete(reader);
      this.allowedBytes -= reader.discard();
    }
    if (this.waiting.size > 0) {
      this.isScheduled = true;
      this.clock.schedule(TURN_MILLISECONDS, () => {
        this.isScheduled = false;
        this.runTurn();
      });
    }
  }

  private refill(): void {
    const now = this.clock.monotonicMilliseconds();
    const elapsedMilliseconds = now - this.refilledAtMilliseconds;
    const bytes = (elapsedMilliseconds * DISCARDED_BYTES_PER_SECOND) / MILLISECONDS_PER_SECOND;
    this.allowedBytes = Math.min(BURST_BYTES, this.allowedBytes + bytes);
    this.refilledAtMilliseconds = now;
  }
}

/** The turns of this process, which all its connections share. */
export const discardTurns = new DiscardTurns();

class SocketDiscard extends DiscardReader {
  private readonly socket: Socket;

  constructor(socket: Socket) {
    super();
    this.socket = socket;
  }

  protected override drop(): number {
    // Reading an empty buffer lets the socket emit its end.
    return (this.socket.read() as Buffer | null)?.length ?? 0;
  }
}

/** Drops all that a socket receives until it closes, in turn with others. Nothing else reads it from then on. */
export function discardInTurns(socket: Socket): void {
  const reader = new SocketDiscard(socket);
  socket.removeAllListeners('data');
  socket.on('readable', () => discardTurns.request(reader));
  socket.once('close', () => discardTurns.remove(reader));
  // The socket does not emit the event again for what has arrived before.
  discardTurns.request(reader);
}
