import { Socket } from 'node:net';
import { Readable } from 'node:stream';

/** Measures the bytes that all sockets of the process return in one turn of the event loop. */
export class ReadMeter {
  private readonly read = Readable.prototype.read;

  private isRunning = true;

  private turnBytes = 0;

  private maximum = 0;

  private total = 0;

  constructor() {
    const { read } = this;
    const record = (chunk: unknown) => this.record(chunk);
    // Sockets read here in any case, also those whose own `read()` is not called.
    Readable.prototype.read = function readAndRecord(this: Readable, size?: number) {
      const chunk = read.call(this, size) as unknown;
      if (this instanceof Socket) {
        record(chunk);
      }
      return chunk;
    };
    this.startTurn();
  }

  /** The most bytes that were returned in one turn. */
  get maximumBytes(): number {
    return this.maximum;
  }

  /** All bytes that were returned. */
  get totalBytes(): number {
    return this.total;
  }

  stop(): void {
    this.isRunning = false;
    Readable.prototype.read = this.read;
  }

  private startTurn(): void {
    this.turnBytes = 0;
    if (this.isRunning) {
      setImmediate(() => this.startTurn());
    }
  }

  private record(chunk: unknown): void {
    this.turnBytes += Buffer.isBuffer(chunk) ? chunk.length : 0;
    this.total += Buffer.isBuffer(chunk) ? chunk.length : 0;
    this.maximum = Math.max(this.maximum, this.turnBytes);
  }
}
