import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

import type { Clock } from './Clock.js';

/** Bytes before the body, interim responses included. The client library allows as many. */
const MAXIMUM_HEAD_BYTES = 16_384;

/** Bytes besides the body, such as chunk sizes, chunk extensions and trailers, at once. */
const FRAMING_BURST_BYTES = 24_576;

/** Bytes besides the body for each second: 3,200 chunks of one byte take as many. */
const FRAMING_BYTES_PER_SECOND = 16_384;

/** Bytes besides the body for each byte of the body: chunks of 24 bytes and more take less. */
const FRAMING_FRACTION = 0.25;

/**
 * A response may read as many bytes at once as its body has brought, and at least these. The client
 * library parses all that it has read even if it has failed the response meanwhile.
 */
const MINIMUM_PORTION_BYTES = 4096;

const MILLISECONDS_PER_SECOND = 1000;

/** Count of the bytes of a socket. */
export interface ByteCounts {
  /** Bytes received. */
  readonly bytesRead: number;
  /** Bytes received that have not been read by the user of the socket. */
  readonly readableLength: number;
}

/** A body, part of which its user has not read yet. */
export interface BufferedBody {
  readonly readableLength: number;
}

/**
 * Bounds the bytes that one response may bring besides its body. An endpoint in trouble may send
 * heads, framing or trailers without end, which the client library parses without showing them.
 */
export class ResponseAllowance {
  private readonly clock: Clock;

  private readonly peer: string;

  private beginBytes = 0;

  /** The body, with the bytes that have not been taken from it; undefined until the head is complete. */
  private body: BufferedBody | undefined;

  private takenBytes = 0;

  private headMilliseconds = 0;

  /** `peer` names the sender, for errors. */
  constructor(clock: Clock, peer: string) {
    this.clock = clock;
    this.peer = peer;
  }

  /** Starts to count for the response to the next request. */
  begin(counts: ByteCounts): void {
    this.beginBytes = counts.bytesRead - counts.readableLength;
    this.body = undefined;
    this.takenBytes = 0;
  }

  /** Records that the head is complete. */
  recordHead(body: BufferedBody): void {
    this.body = body;
    this.headMilliseconds = this.clock.monotonicMilliseconds();
  }

  /** Records bytes that have been taken from the body. */
  recordTaken(bytes: number): void {
    this.takenBytes += bytes;
  }

  /** Bytes that may be read from the socket at once; none if the response has exceeded its limit. */
  nextBytes({ bytesRead, readableLength }: ByteCounts): number {
    const bytes = bytesRead - readableLength - this.beginBytes;
    if (this.body === undefined) {
      return Math.min(MINIMUM_PORTION_BYTES, MAXIMUM_HEAD_BYTES - bytes);
    }
    const { bodyBytes } = this;
    return bytes - bodyBytes > this.framingLimit(bodyBytes)
      ? 0
      : Math.max(MINIMUM_PORTION_BYTES, bodyBytes);
  }

  private get bodyBytes(): number {
    return this.takenBytes + (this.body?.readableLength ?? 0);
  }

  private framingLimit(bodyBytes: number): number {
    const elapsed = this.clock.monotonicMilliseconds() - this.headMilliseconds;
    return (
      FRAMING_BURST_BYTES +
      FRAMING_BYTES_PER_SECOND * (elapsed / MILLISECONDS_PER_SECOND) +
      FRAMING_FRACTION * bodyBytes
    );
  }

  /** The failure of a response that exceeds its allowance. */
  get failure(): RelayError {
    const part = this.body === undefined ? 'head' : 'framing';
    return new RelayError({
      kind: FailureKind.ProtocolViolation,
      peer: this.peer,
      reason: `the ${part} of the response has too many bytes`,
    });
  }
}
