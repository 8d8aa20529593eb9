import { createServer } from 'node:net';

import type { AddressInfo, Socket } from 'node:net';

/** Size of the blocks that make up a response without end. */
export const BLOCK_BYTES = 65_536;

/**
 * A server in trouble, whose responses go on until the client closes the connection. It writes only as
 * fast as the client reads.
 */
export abstract class BlockServer {
  private readonly sockets = new Set<Socket>();

  private readonly answered = new Set<Socket>();

  private written = 0;

  private readonly server = createServer({ noDelay: true }, (socket) => {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.answered.delete(socket);
    });
    socket.once('data', (head) => {
      this.answered.add(socket);
      this.respond(socket, head.toString('latin1'));
    });
  });

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Bytes of blocks that have been passed to the operating system, over all connections. */
  get bytesWritten(): number {
    return this.written;
  }

  get openConnections(): number {
    return this.sockets.size;
  }

  /** Open connections on which a request has arrived. */
  get openResponses(): number {
    return this.answered.size;
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /** Writes the response to the first request on a connection. */
  protected abstract respond(socket: Socket, head: string): void;

  /** Writes a block again and again. */
  protected writeBlocks(socket: Socket, block: string): void {
    const bytes = Buffer.from(block, 'latin1');
    const writeNext = () => {
      // The callback of a failed write runs before the socket is marked as destroyed.
      socket.write(bytes, (error) => {
        if (error == null) {
          this.written += bytes.length;
          writeNext();
        }
      });
    };
    writeNext();
  }
}
