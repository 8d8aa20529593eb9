import { BLOCK_BYTES, BlockServer } from './BlockServer.js';

import type { Socket } from 'node:net';

/** Where a response goes on without end. */
export const EndlessPart = {
  /** A header line that never ends. */
  Head: 'head',
  /** A body of chunks that never ends. */
  Body: 'body',
  /** A body of one byte now and then. */
  SlowBody: 'slow-body',
} as const;

export type EndlessPart = (typeof EndlessPart)[keyof typeof EndlessPart];

const SLOW_INTERVAL_MILLISECONDS = 50;

/** A server in trouble, which knows nothing of the protocol of its client. */
export class EndlessServer extends BlockServer {
  private readonly part: EndlessPart;

  private readonly status: number;

  constructor(part: EndlessPart, status = 200) {
    super();
    this.part = part;
    this.status = status;
  }

  protected override respond(socket: Socket): void {
    socket.write(`HTTP/1.1 ${this.status} Status\r\n`);
    if (this.part === EndlessPart.Head) {
      socket.write('X-Filler: ');
      this.writeBlocks(socket, 'x'.repeat(BLOCK_BYTES));
      return;
    }
    socket.write('Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n');
    if (this.part === EndlessPart.SlowBody) {
      const timer = setInterval(() => socket.write('1\r\n \r\n'), SLOW_INTERVAL_MILLISECONDS);
      socket.on('close', () => clearInterval(timer));
      return;
    }
    const block = ' '.repeat(BLOCK_BYTES);
    this.writeBlocks(socket, `${BLOCK_BYTES.toString(16)}\r\n${block}\r\n`);
  }
}
