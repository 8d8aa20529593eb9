const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const IDENTIFIER_PATTERN = /^id: ?(.*?)\r?$/mu;

/** One complete event of a server-sent event stream, with its bytes as they came. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no identifier. */
  readonly identifier: string | undefined;
}

/** Finds the index after the blank line that ends the first event, or -1. */
function endOfEvent(bytes: Buffer): number {
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

/** Cuts the bytes of a stream into complete events. */
export class StreamEvents {
  private rest: Buffer = Buffer.alloc(0);

  /** Adds bytes and yields the events that are complete with them. */
  *add(piece: Buffer): Generator<StreamEvent, void, void> {
    this.rest = this.rest.length === 0 ? piece : Buffer.concat([this.rest, piece]);
    for (let end = endOfEvent(this.rest); end !== -1; end = endOfEvent(this.rest)) {
      const bytes = this.rest.subarray(0, end);
      this.rest = this.rest.subarray(end);
      const identifier = IDENTIFIER_PATTERN.exec(bytes.toString('utf8'))?.[1];
      yield { bytes, identifier };
    }
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.rest;
  }
}
