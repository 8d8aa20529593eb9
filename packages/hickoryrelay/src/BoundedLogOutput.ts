import { write } from 'node:fs';
import { Writable } from 'node:stream';

const STANDARD_OUTPUT_DESCRIPTOR = 1;

/** Bytes that may wait to be written. Further lines are dropped and counted. */
const MAXIMUM_WAITING_BYTES = 262_144;

/** Limits the processor time that a flood of requests spends on logging. */
const MAXIMUM_LINES_PER_SECOND = 400;

/**
 * Writes log lines to a file descriptor without blocking, because a blocking write to a pipe that
 * nobody reads would stop the process. Lines beyond the limits are dropped, and their number is
 * logged later.
 */
export class BoundedLogOutput extends Writable {
  private readonly descriptor: number;

  private waiting: string[] = [];

  private waitingBytes = 0;

  private isWriting = false;

  private droppedLines = 0;

  private windowStartedMilliseconds = 0;

  private linesInWindow = 0;

  constructor(descriptor: number = STANDARD_OUTPUT_DESCRIPTOR) {
    super({ decodeStrings: false });
    this.descriptor = descriptor;
  }

  /** Number of dropped lines that have not yet been reported in the log. */
  get droppedLineCount(): number {
    return this.droppedLines;
  }

  // eslint-disable-next-line no-underscore-dangle -- called under this name by the stream library
  override _write(chunk: Buffer | string, _encoding: string, done: () => void): void {
    this.enqueue(chunk.toString());
    done();
  }

  private enqueue(line: string): void {
    const nowMilliseconds = performance.now();
    if (nowMilliseconds - this.windowStartedMilliseconds >= 1000) {
      this.windowStartedMilliseconds = nowMilliseconds;
      this.linesInWindow = 0;
    }
    this.linesInWindow += 1;
    const isFull = this.waitingBytes + line.length > MAXIMUM_WAITING_BYTES;
    if (isFull || this.linesInWindow > MAXIMUM_LINES_PER_SECOND) {
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
