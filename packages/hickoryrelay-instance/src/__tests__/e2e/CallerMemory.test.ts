import { readFile } from 'node:fs/promises';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { DaemonProcess } from 'hickoryrelay-standin/DaemonProcess';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { Socket } from 'node:net';

const ZONE = 'zone-a';
const RUNTIME_ARGUMENTS = ['--max-old-space-size=128', '--max-semi-space-size=2'];
const MEMORY_MEBIBYTES = 250;
const SETTINGS = {
  limits: { memoryMegabytes: MEMORY_MEBIBYTES, fileDescriptors: 400, connections: 160 },
};

const CALLERS = 60;
const CROWD_MILLISECONDS = 8000;
const RECONNECT_MILLISECONDS = 100;
const BATCH_BYTES = 65_536;
const KIBIBYTES_PER_MEBIBYTE = 1024;
const TEST_TIMEOUT_MILLISECONDS = 180_000;

/** An open route, so that callers need no key. */
const TARGET = 'POST /services/look/x HTTP/1.1\r\nHost: h\r\nContent-Type: text/plain\r\n';

function chunkOf(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}

function batchOf(unit: Buffer): Buffer {
  return Buffer.concat(Array<Buffer>(Math.ceil(BATCH_BYTES / unit.length)).fill(unit));
}

/** What each caller sends: once, and then a number of times. */
interface CrowdBytes {
  readonly head: string;
  readonly part: Buffer;
  readonly count: number;
  readonly isReading: boolean;
}

const CHUNKED_HEAD = `${TARGET}Transfer-Encoding: chunked\r\n\r\n`;

const CROWDS: readonly (readonly [string, CrowdBytes])[] = [
  [
    'bodies of nearly 4 MB that stay open',
    { head: CHUNKED_HEAD, part: chunkOf(BATCH_BYTES), count: 63, isReading: true },
  ],
  [
    'bodies in chunks of one byte that stay open',
    { head: CHUNKED_HEAD, part: batchOf(chunkOf(1)), count: Infinity, isReading: true },
  ],
  [
    'unread pipelined requests',
    {
      head: '',
      part: batchOf(Buffer.from(`${TARGET}Content-Length: 0\r\n\r\n`)),
      count: Infinity,
      isReading: false,
    },
  ],
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

async function runCrowd(port: number, bytes: CrowdBytes): Promise<void> {
  const sockets = new Set<Socket>();
  const end = performance.now() + CROWD_MILLISECONDS;
  const callers = Array.from({ length: CALLERS }, () =>
    runCaller(port, bytes, sockets, () => performance.now() >= end),
  );
  await sleep(CROWD_MILLISECONDS);
  sockets.forEach((socket) => socket.destroy());
  await Promise.all(callers);
}

// Guards against callers that make the daemon end, or exceed the memory of its machine, by what it holds for
// them.
describe('A daemon beside callers that keep to no limit', () => {
  const federation = new LocalFederation();

  beforeAll(async () => {
    await federation.start();
    await federation.addService('service-1', 'service', ZONE);
    await federation.apply(sampleDeclarations());
  });

  afterAll(() => federation.stop());

  it.each(CROWDS)(
    'lives within the memory of its machine: %s',
    async (_name, bytes) => {
      const daemon = await DaemonProcess.start(
        'entry-1',
        ZONE,
        { keyValue: federation.gateway.url, platform: federation.platform.url },
        SETTINGS,
        RUNTIME_ARGUMENTS,
      );
      try {
        await runCrowd(Number(new URL(daemon.url).port), bytes);
        expect(daemon.child.signalCode).toBeNull();
        expect(daemon.child.exitCode).toBeNull();
        const response = await request(`${daemon.url}/services/look/x`, {
          method: 'POST',
          body: 'x'.repeat(100_000),
        });
        await response.body.dump();
        expect(response.statusCode).toBe(200);
        const status = await readFile(`/proc/${daemon.child.pid}/status`, 'utf8');
        const peak = Number(/VmHWM:\s+(\d+)/u.exec(status)?.[1]) / KIBIBYTES_PER_MEBIBYTE;
        expect(peak).toBeLessThan(MEMORY_MEBIBYTES);
      } finally {
        daemon.signal('SIGKILL');
        await daemon.exited();
      }
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});
