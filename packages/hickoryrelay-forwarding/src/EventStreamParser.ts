import { IncompleteEvent } from 'hickoryrelay/IncompleteEvent';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const IDENTIFIER_FIELD = Buffer.from('id:');
const IDENTIFIER_PATTERN = /^id: ?(.*?)\r?$/mu;

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

/** Finds the blank lines that end events, in bytes that arrive in parts. */
class EventEndScanner {
  private lineState: LineState = LineState.WithinLine;

  /** Yields the index after each blank line. Every byte is passed once. */
  *scan(bytes: Buffer): Generator<number, void, void> {
    for (let position = 0; position < bytes.length; position += 1) {
      if (this.endsEvent(bytes[position] as number)) {
        yield position + 1;
      }
    }
  }

  /** Returns the number of events that end in the bytes, and the index after the last one. */
  count(bytes: Buffer): { readonly events: number; readonly end: number } {
    let events = 0;
    let end = 0;
    for (let position = 0; position < bytes.length; position += 1) {
      if (this.endsEvent(bytes[position] as number)) {
        events += 1;
        end = position + 1;
      }
    }
    return { events, end };
  }

  private endsEvent(byte: number): boolean {
    if (byte === LINE_FEED) {
      const isBlankLine = this.lineState !== LineState.WithinLine;
      this.lineState = isBlankLine ? LineState.WithinLine : LineState.AfterLineFeed;
      return isBlankLine;
    }
    const isBlankSoFar = byte === CARRIAGE_RETURN && this.lineState === LineState.AfterLineFeed;
    this.lineState = isBlankSoFar ? LineState.AfterCarriageReturn : LineState.WithinLine;
    return false;
  }
}

/** Complete events that arrived together, in order. */
export class EventBatch {
  readonly bytes: Buffer;

  /** Number of events. */
  readonly length: number;

  constructor(bytes: Buffer, length: number) {
    this.bytes = bytes;
    this.length = length;
  }

  /** False if no event has an identifier, which costs less to find out than to split the batch. */
  get mayHaveIdentifiers(): boolean {
    return this.bytes.includes(IDENTIFIER_FIELD);
  }

  /** Splits the batch into its events. */
  *events(): Generator<ServerSentEvent, void, void> {
    let start = 0;
    for (const end of new EventEndScanner().scan(this.bytes)) {
      const bytes = this.bytes.subarray(start, end);
      yield { bytes, identifier: IDENTIFIER_PATTERN.exec(bytes.toString('utf8'))?.[1] };
      start = end;
    }
  }
}

/**
 * Splits the bytes of a stream into complete events. Every byte is searched once, and the memory of
 * an event that has not ended is bounded.
 */
export class EventStreamParser {
  private readonly scanner = new EventEndScanner();

  /** The bytes after the last complete event. */
  private readonly pending: IncompleteEvent;

  /** `endpoint` is the identifier of the endpoint that sends the stream, for errors. */
  constructor(endpoint: string) {
    this.pending = new IncompleteEvent(`endpoint ${endpoint}`);
  }

  /**
   * Adds a chunk and returns the events that it completes, if any. Throws `protocol-violation` if an
   * event exceeds `MAXIMUM_EVENT_BYTES`; the complete events before it are lost then.
   */
  push(chunk: Buffer): EventBatch | undefined {
    const { events, end } = this.scanner.count(chunk);
    const batch =
      events === 0
        ? undefined
        : new EventBatch(this.pending.complete(chunk.subarray(0, end)), events);
    if (end < chunk.length) {
      this.pending.append(chunk.subarray(end));
    }
    return batch;
  }

  /** Memory of the bytes after the last complete event, with room for more. */
  get retainedBytes(): number {
    return this.pending.retainedBytes;
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.pending.bytes;
  }

  /** True if an event has begun and not ended. A stream that ends here has been broken off. */
  get isWithinEvent(): boolean {
    return this.remainder.some((byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
  }
}
