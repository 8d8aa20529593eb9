import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

/** An endpoint in trouble may send bytes without an event boundary for as long as it is read. */
export const MAXIMUM_EVENT_BYTES = 262_144;

const INITIAL_CAPACITY_BYTES = 1024;

/** A larger buffer is freed after its event, since a stream rarely has several events as large. */
const MAXIMUM_RETAINED_BYTES = 16_384;

/**
 * The bytes of an event of a stream that has not ended. They are copied, so that the memory of the reads
 * that have brought them is freed.
 */
export class IncompleteEvent {
  private readonly peer: string;

  private buffer: Buffer = Buffer.alloc(0);

  private length = 0;

  /** `peer` names the sender, for errors. */
  constructor(peer: string) {
    this.peer = peer;
  }

  get bytes(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  /** Memory of the bytes, with room for more. */
  get retainedBytes(): number {
    return this.buffer.length;
  }

  /** Adds bytes. Throws `protocol-violation` if the event exceeds `MAXIMUM_EVENT_BYTES`. */
  append(bytes: Buffer): void {
    const needed = this.length + bytes.length;
    if (needed > MAXIMUM_EVENT_BYTES) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: this.peer,
        reason: `an event exceeds ${MAXIMUM_EVENT_BYTES} bytes`,
      });
    }
    if (needed > this.buffer.length) {
      // Doubling keeps the copying linear in the bytes received.
      const grown = Buffer.allocUnsafe(
        Math.max(INITIAL_CAPACITY_BYTES, needed, this.buffer.length * 2),
      );
      this.buffer.copy(grown, 0, 0, this.length);
      this.buffer = grown;
    }
    bytes.copy(this.buffer, this.length);
    this.length = needed;
  }

  /** Returns the event, whose last bytes are given, and begins the next one. */
  complete(lastBytes: Buffer): Buffer {
    if (this.length === 0) {
      return lastBytes;
    }
    const whole = Buffer.allocUnsafe(this.length + lastBytes.length);
    this.buffer.copy(whole, 0, 0, this.length);
    lastBytes.copy(whole, this.length);
    this.length = 0;
    if (this.buffer.length > MAXIMUM_RETAINED_BYTES) {
      this.buffer = Buffer.alloc(0);
    }
    return whole;
  }
}
