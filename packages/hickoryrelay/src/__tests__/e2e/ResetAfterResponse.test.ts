import { once } from 'node:events';
import { connect } from 'node:net';
import { Worker } from 'node:worker_threads';
import { afterEach, describe, expect, it } from 'vitest';
import { paceReads } from 'hickoryrelay/PacedReads';

import type { Socket } from 'node:net';

const CONNECTIONS = 60;

const BODY_BYTES = 20_000;

/** Sends all its bytes on each connection and resets it a moment later. */
const SENDER_THREAD = `
  const { createServer } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(Buffer.alloc(workerData.bytes), () => {
        const end = performance.now() + 0.3;
        while (performance.now() < end);
        socket.resetAndDestroy();
      });
    });
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

const cleanUps: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0)) {
    await cleanUp();
  }
});

/** Reads as the HTTP client library does. Returns the number of bytes read until the close. */
async function countBytes(socket: Socket): Promise<number> {
  let bytes = 0;
  socket.on('error', () => {});
  socket.on('readable', () => {
    for (let chunk: unknown = socket.read(); chunk !== null; chunk = socket.read()) {
      bytes += (chunk as Buffer).length;
    }
  });
  socket.write('x');
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  return bytes;
}

describe('Sockets that are reset after their last byte', () => {
  // Guards against a whole response that is lost because it was received but waits for its turn.
  it.each([
    ['as they come', () => {}],
    ['in turns', (socket: Socket) => paceReads(socket)],
  ])('return all bytes if they are read %s', async (_name, prepare) => {
    const sender = new Worker(SENDER_THREAD, { eval: true, workerData: { bytes: BODY_BYTES } });
    cleanUps.push(() => sender.terminate());
    const [port] = (await once(sender, 'message')) as [number];
    const counts = await Promise.all(
      Array.from({ length: CONNECTIONS }, async () => {
        const socket = connect(port, '127.0.0.1');
        await once(socket, 'connect');
        prepare(socket);
        return countBytes(socket);
      }),
    );
    expect(counts.filter((bytes) => bytes !== BODY_BYTES)).toEqual([]);
  });
});
