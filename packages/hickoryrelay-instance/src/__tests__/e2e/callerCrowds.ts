import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Socket } from 'node:net';

/** Less than the connections that the daemons of the tests may have. */
const CALLERS = 60;

/** For how long a crowd stays. */
export const CROWD_MILLISECONDS = 8000;

const RECONNECT_MILLISECONDS = 100;
const BATCH_BYTES = 65_536;

/** An open route, so that callers need no key. */
const TARGET = 'POST /services/look/x HTTP/1.1\r\nHost: h\r\nContent-Type: text/plain\r\n';

function chunkOf(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}

function batchOf(unit: Buffer): Buffer {
  return Buffer.concat(Array<Buffer>(Math.ceil(BATCH_BYTES / unit.length)).fill(unit));
}

/** What each caller sends: once, and then a number of times. */
export interface CrowdBytes {
  readonly head: string;
  readonly part: Buffer;
  readonly count: number;
  readonly isReading: boolean;
}

const CHUNKED_HEAD = `${TARGET}Transfer-Encoding: chunked\r\n\r\n`;

/** Requests of which nothing is read. */
export const PIPELINED_REQUESTS: CrowdBytes = {
  head: '',
  part: batchOf(Buffer.from(`${TARGET}Content-Length: 0\r\n\r\n`)),
  count: Infinity,
  isReading: false,
};

/** Crowds by what their callers send. */
export const CROWDS: readonly (readonly [string, CrowdBytes])[] = [
  [
    'bodies of nearly 4 MB that stay open',
    { head: CHUNKED_HEAD, part: chunkOf(BATCH_BYTES), count: 63, isReading: true },
  ],
  [
    'bodies in chunks of one byte that stay open',
    { head: CHUNKED_HEAD, part: batchOf(chunkOf(1)), count: Infinity, isReading: true },
  ],
  ['unread pipelined requests', PIPELINED_REQUESTS],
  [
    'unread pipelined requests with bodies',
    {
      head: '',
      part: Buffer.from(`${TARGET}Content-Length: 60000\r\n\r\n${'x'.repeat(60_000)}`),
      count: Infinity,
      isReading: false,
    },
  ],
];

async function runCaller(
  port: number,
  { head, part, count, isReading }: CrowdBytes,
  sockets: Set<Socket>,
  isOver: () => boolean,
): Promise<void> {
  while (!isOver()) {
    const socket = connect(port, '127.0.0.1');
    sockets.add(socket);
    socket.on('error', () => {});
    const closed = new Promise<void>((resolve) => {
      socket.on('close', () => resolve());
    });
    (isReading ? socket.resume() : socket.pause()).write(head);
    for (let index = 0; index < count && !socket.destroyed; index += 1) {
      if (!socket.write(part)) {
        const drained = new Promise<void>((resolve) => {
          socket.once('drain', resolve);
        });
        await Promise.race([drained, closed]);
      }
    }
    await closed;
    sockets.delete(socket);
    await sleep(RECONNECT_MILLISECONDS);
  }
}

/** Runs callers that connect again when their connection is closed, until the crowd leaves. */
export async function runCrowd(port: number, bytes: CrowdBytes, callers = CALLERS): Promise<void> {
  const sockets = new Set<Socket>();
  const end = performance.now() + CROWD_MILLISECONDS;
  const tasks = Array.from({ length: callers }, () =>
    runCaller(port, bytes, sockets, () => performance.now() >= end),
  );
  await sleep(CROWD_MILLISECONDS);
  sockets.forEach((socket) => socket.destroy());
  await Promise.all(tasks);
}
