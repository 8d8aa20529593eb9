/** Pieces of at least this size are kept as they are; smaller ones are copied together. */
const LARGE_PIECE_BYTES = 4096;

const FIRST_SEGMENT_BYTES = 1024;
const MAXIMUM_SEGMENT_BYTES = 65_536;

/** What each object in the list costs besides its bytes. */
const PIECE_COST_BYTES = 256;

/**
 * Collects a body. Small pieces are joined, since an object for each of them takes far more memory than
 * its bytes.
 */
export class BodyBuffer {
  private readonly pieces: Buffer[] = [];

  /** The last piece while there is room in it. */
  private segment: Buffer | undefined;

  private segmentLength = 0;

  private segmentBytes = FIRST_SEGMENT_BYTES;

  private joinedBytes = 0;

  private capacityBytes = 0;

  /** Bytes of the body so far. */
  get length(): number {
    return this.joinedBytes;
  }

  /** Memory that the body takes. */
  get heldBytes(): number {
    return this.capacityBytes;
  }

  append(piece: Buffer): void {
    const isFirst = this.joinedBytes === 0;
    this.joinedBytes += piece.length;
    if (isFirst || piece.length >= LARGE_PIECE_BYTES) {
      this.closeSegment();
      this.pieces.push(piece);
      this.capacityBytes += piece.length + PIECE_COST_BYTES;
      return;
    }
    for (let offset = 0; offset < piece.length;) {
      const segment = this.openSegment();
      const count = piece.copy(segment, this.segmentLength, offset);
      offset += count;
      this.segmentLength += count;
      if (this.segmentLength === segment.length) {
        this.segment = undefined;
      }
    }
  }

  /** Returns the whole body and forgets it. */
  take(): Buffer {
    this.closeSegment();
    const { pieces } = this;
    const body = pieces.length === 1 ? (pieces[0] as Buffer) : Buffer.concat(pieces);
    this.clear();
    return body;
  }

  clear(): void {
    this.pieces.length = 0;
    this.segment = undefined;
    this.capacityBytes = 0;
  }

  private openSegment(): Buffer {
    if (this.segment === undefined) {
      // Not from the pool, which small pieces of other requests would keep alive.
      this.segment = Buffer.allocUnsafeSlow(this.segmentBytes);
      this.segmentLength = 0;
      this.pieces.push(this.segment);
      this.capacityBytes += this.segmentBytes + PIECE_COST_BYTES;
      this.segmentBytes = Math.min(2 * this.segmentBytes, MAXIMUM_SEGMENT_BYTES);
    }
    return this.segment;
  }

  private closeSegment(): void {
    if (this.segment !== undefined) {
      this.pieces[this.pieces.length - 1] = this.segment.subarray(0, this.segmentLength);
      this.segment = undefined;
    }
  }
}
