import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const IDENTIFIER_PATTERN = /^id: ?(.*?)\r?$/mu;

/** An endpoint in trouble may send bytes without an event boundary for as long as it is read. */
export const MAXIMUM_EVENT_BYTES = 262_144;

const INITIAL_CAPACITY_BYTES = 1024;

/** A larger buffer is freed after its event, since a stream rarely has several events as large. */
const MAXIMUM_RETAINED_BYTES = 16_384;

/** What the bytes read so far end with, as far as it matters for finding a blank line. */
const LineState = {
  WithinLine: 'within-line',
  AfterLineFeed: 'after-line-feed',
  /** After a line feed and a carriage return, which a line feed completes to a blank line. */
  AfterCarriageReturn: 'after-carriage-return',
} as const;

type LineState = (typeof LineState)[keyof typeof LineState];

/** One complete event of a server-sent event stream, with its bytes as received. */
export interface ServerSentEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no identifier. */
  readonly identifier: string | undefined;
}

const EVENT_NUMBER_PATTERN = /^\d{1,15}$/u;

/** True if an event may follow another one. The identifiers of a stream increase. */
export function mayFollow(identifier: string, previous: string): boolean {
  return EVENT_NUMBER_PATTERN.test(identifier) && EVENT_NUMBER_PATTERN.test(previous)
    ? Number(identifier) > Number(previous)
    : identifier !== previous;
}

/**
 * Splits the bytes of a stream into complete events. Every byte is searched once, and the memory of
 * an event that has not ended is bounded.
 */
export class EventStreamParser {
  private readonly endpoint: string;

  private lineState: LineState = LineState.WithinLine;

  /** Holds the bytes after the last complete event, in its first `pendingBytes` bytes. */
  private pending: Buffer = Buffer.alloc(0);

  private pendingBytes = 0;

  /** `endpoint` is the identifier of the endpoint that sends the stream, for errors. */
  constructor(endpoint: string) {
    this.endpoint = endpoint;
  }

  /**
   * Adds a chunk and yields the events that it completes. Throws `protocol-violation` if an event
   * exceeds `MAXIMUM_EVENT_BYTES`.
   */
  *push(chunk: Buffer): Generator<ServerSentEvent, void, void> {
    let start = 0;
    for (let end = this.findEventEnd(chunk, start); end !== -1;) {
      const bytes = this.takePending(chunk.subarray(start, end));
      const identifier = IDENTIFIER_PATTERN.exec(bytes.toString('utf8'))?.[1];
      yield { bytes, identifier };
      start = end;
      end = this.findEventEnd(chunk, start);
    }
    if (start < chunk.length) {
      this.appendPending(start === 0 ? chunk : chunk.subarray(start));
    }
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.pending.subarray(0, this.pendingBytes);
  }

  /** True if an event has begun and not ended. A stream that ends here has been broken off. */
  get isWithinEvent(): boolean {
    return this.remainder.some((byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
  }

  /** Returns the index after the blank line that ends the current event, or -1. */
  private findEventEnd(chunk: Buffer, start: number): number {
    let position = start;
    while (position < chunk.length) {
      if (this.lineState === LineState.WithinLine) {
        const lineFeed = chunk.indexOf(LINE_FEED, position);
        if (lineFeed === -1) {
          return -1;
        }
        this.lineState = LineState.AfterLineFeed;
        position = lineFeed + 1;
      } else if (chunk[position] === LINE_FEED) {
        this.lineState = LineState.WithinLine;
        return position + 1;
      } else if (
        chunk[position] === CARRIAGE_RETURN &&
        this.lineState === LineState.AfterLineFeed
      ) {
        this.lineState = LineState.AfterCarriageReturn;
        position += 1;
      } else {
        this.lineState = LineState.WithinLine;
      }
    }
    return -1;
  }

  /** Returns the pending bytes followed by the given ones. */
  private takePending(bytes: Buffer): Buffer {
    if (this.pendingBytes === 0) {
      return bytes;
    }
    const whole = Buffer.allocUnsafe(this.pendingBytes + bytes.length);
    this.pending.copy(whole, 0, 0, this.pendingBytes);
    bytes.copy(whole, this.pendingBytes);
    this.pendingBytes = 0;
    if (this.pending.length > MAXIMUM_RETAINED_BYTES) {
      this.pending = Buffer.alloc(0);
    }
    return whole;
  }

  private appendPending(bytes: Buffer): void {
    const needed = this.pendingBytes + bytes.length;
    if (needed > MAXIMUM_EVENT_BYTES) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: `endpoint ${this.endpoint}`,
        reason: `an event exceeds ${MAXIMUM_EVENT_BYTES} bytes`,
      });
    }
    if (needed > this.pending.length) {
      // Doubling keeps the copying linear in the bytes received.
      const grown = Buffer.allocUnsafe(
        Math.max(INITIAL_CAPACITY_BYTES, needed, this.pending.length * 2),
      );
      this.pending.copy(grown, 0, 0, this.pendingBytes);
      this.pending = grown;
    }
    bytes.copy(this.pending, this.pendingBytes);
    this.pendingBytes = needed;
  }
}
