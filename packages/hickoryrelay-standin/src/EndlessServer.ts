import { createServer } from 'node:net';

import type { AddressInfo, Socket } from 'node:net';

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

const BLOCK_BYTES = 65_536;
const SLOW_INTERVAL_MILLISECONDS = 50;

/**
 * A server in trouble: it answers every request with bytes that do not end until the client closes
 * the connection. It writes only as fast as the client reads.
 */
export class EndlessServer {
  private readonly sockets = new Set<Socket>();

  private readonly server;

  private written = 0;

  constructor(part: EndlessPart, status = 200) {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
      socket.once('data', () => this.respond(socket, part, status));
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Bytes that have been passed to the operating system, over all connections. */
  get bytesWritten(): number {
    return this.written;
  }

  get openConnections(): number {
    return this.sockets.size;
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private respond(socket: Socket, part: EndlessPart, status: number): void {
    socket.write(`HTTP/1.1 ${status} Status\r\n`);
    if (part === EndlessPart.Head) {
      socket.write('X-Filler: ');
      this.writeBlocks(socket, 'x'.repeat(BLOCK_BYTES));
      return;
    }
    socket.write('Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n');
    if (part === EndlessPart.SlowBody) {
      const timer = setInterval(() => socket.write('1\r\n \r\n'), SLOW_INTERVAL_MILLISECONDS);
      socket.on('close', () => clearInterval(timer));
      return;
    }
    const block = ' '.repeat(BLOCK_BYTES);
    this.writeBlocks(socket, `${BLOCK_BYTES.toString(16)}\r\n${block}\r\n`);
  }

  private writeBlocks(socket: Socket, block: string): void {
    const writeNext = () => {
      // The callback of a failed write runs before the socket is marked as destroyed.
      socket.write(block, (error) => {
        if (error == null) {
          this.written += block.length;
          writeNext();
        }
      });
    };
    writeNext();
  }
}
