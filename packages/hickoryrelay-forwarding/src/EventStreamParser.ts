const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const IDENTIFIER_PATTERN = /^id: ?(.*?)\r?$/mu;

/** One complete event of a server-sent event stream, with its bytes as received. */
export interface ServerSentEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no identifier. */
  readonly identifier: string | undefined;
}

/** Returns the index after the blank line that ends the first event, or -1. */
function findEventEnd(bytes: Buffer): number {
  for (let index = bytes.indexOf(LINE_FEED); index !== -1;) {
    let next = index + 1;
    if (bytes[next] === CARRIAGE_RETURN) {
      next += 1;
    }
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    index = bytes.indexOf(LINE_FEED, index + 1);
  }
  return -1;
}

/** Splits the bytes of a stream into complete events. */
export class EventStreamParser {
  private pending: Buffer = Buffer.alloc(0);

  /** Adds a chunk and yields the events that it completes. */
  *push(chunk: Buffer): Generator<ServerSentEvent, void, void> {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    for (let end = findEventEnd(this.pending); end !== -1; end = findEventEnd(this.pending)) {
      const bytes = this.pending.subarray(0, end);
      this.pending = this.pending.subarray(end);
      const identifier = IDENTIFIER_PATTERN.exec(bytes.toString('utf8'))?.[1];
      yield { bytes, identifier };
    }
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.pending;
  }
}
