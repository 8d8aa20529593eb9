import { write } from 'node:fs';
import { Writable } from 'node:stream';

const STANDARD_OUTPUT = 1;

/** Bytes that wait to be written. Lines beyond it are dropped and counted. */
const MOST_WAITING_BYTES = 262_144;

/** Lines in a second; a flood of requests must not spend its processor time on logs. */
const MOST_LINES_PER_SECOND = 400;

/**
 * Writes log lines to a file descriptor without blocking: a write to a pipe that nobody reads would
 * stop the process. Lines that find no room are dropped, and their number is written later.
 */
export class BoundedLogOutput extends Writable {
  private readonly descriptor: number;

  private waiting: string[] = [];

  private waitingBytes = 0;

  private isWriting = false;

  private droppedLines = 0;

  private secondStartedMilliseconds = 0;

  private linesInSecond = 0;

  constructor(descriptor: number = STANDARD_OUTPUT) {
    super({ decodeStrings: false });
    this.descriptor = descriptor;
  }

  /** Lines that were dropped and not yet reported. */
  get dropped(): number {
    return this.droppedLines;
  }

  // eslint-disable-next-line no-underscore-dangle -- the name that the stream library calls
  override _write(chunk: Buffer | string, _encoding: string, done: () => void): void {
    this.add(chunk.toString());
    done();
  }

  private add(line: string): void {
    const now = performance.now();
    if (now - this.secondStartedMilliseconds >= 1000) {
      this.secondStartedMilliseconds = now;
      this.linesInSecond = 0;
    }
    this.linesInSecond += 1;
    const isFull = this.waitingBytes + line.length > MOST_WAITING_BYTES;
    if (isFull || this.linesInSecond > MOST_LINES_PER_SECOND) {
      this.droppedLines += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    if (this.droppedLines > 0) {
      this.waiting.push(
        `${JSON.stringify({ message: '[log] Lines were dropped.', lines: this.droppedLines })}\n`,
      );
      this.droppedLines = 0;
    }
    const bytes = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.isWriting = true;
    this.writeFrom(bytes, 0);
  }

  private writeFrom(bytes: Buffer, offset: number): void {
    write(this.descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (error === null && offset + written < bytes.length) {
        this.writeFrom(bytes, offset + written);
        return;
      }
      this.waitingBytes = Math.max(0, this.waitingBytes - bytes.length);
      this.isWriting = false;
      this.flush();
    });
  }
}
