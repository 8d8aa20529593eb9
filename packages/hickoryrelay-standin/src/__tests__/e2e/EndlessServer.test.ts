import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { EndlessPart, EndlessServer } from '../../EndlessServer.js';

const MEBIBYTE = 1_048_576;

/** Bytes that socket buffers take in beyond what the client reads. */
const SOCKET_BUFFER_BYTES = 16 * MEBIBYTE;

let server: EndlessServer;

afterEach(async () => {
  await server.close();
});

/** Reads at least the given number of bytes and resets the connection. */
async function readAndReset(port: number, bytes: number): Promise<void> {
  await new Promise<void>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write('request'));
    socket.on('data', () => {
      if (socket.bytesRead >= bytes) {
        socket.resetAndDestroy();
      }
    });
    socket.on('close', () => resolve());
  });
}

describe('a server of endless responses', () => {
  // Guards against a server that goes on writing, and fills the memory, after a write has failed.
  it.each([EndlessPart.Head, EndlessPart.Body])(
    'stops when the client resets: %s',
    async (part) => {
      server = new EndlessServer(part);
      await server.listen();
      const port = Number(server.address.split(':')[1]);
      let limitBytes = 0;
      // The write fails only if the reset comes between two events of the server's socket.
      for (let readBytes = 4 * MEBIBYTE; readBytes < 12 * MEBIBYTE; readBytes += MEBIBYTE / 4) {
        await readAndReset(port, readBytes);
        limitBytes += readBytes + SOCKET_BUFFER_BYTES;
      }
      await expect.poll(() => server.openConnections, { timeout: 30_000 }).toBe(0);
      expect(server.bytesWritten).toBeLessThan(limitBytes);
    },
  );
});
