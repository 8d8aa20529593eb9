import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { CallerConnections } from 'hickoryrelay/CallerConnections';
import { ConnectionCloseReason } from 'hickoryrelay/ConnectionClosing';
import { DISCARDED_BYTES_PER_SECOND } from 'hickoryrelay/DiscardTurns';
import { ALL_HEADER_LINES } from 'hickoryrelay/HeaderLimits';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { failureOf } from 'hickoryrelay/RelayError';
import { framingFor, sendWhole } from 'hickoryrelay/ResponseFraming';
import { CallerGuard } from 'hickoryrelay-caller/CallerGuard';
import { CONNECTION_COST_BYTES, HEADER_LINE_COST_BYTES } from 'hickoryrelay-caller/CallerLimits';
import { RefusalReason } from 'hickoryrelay-caller/RefusalReason';

import type { CallerLimits } from 'hickoryrelay-caller/CallerLimits';
import type { ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

const LIMITS: CallerLimits = {
  memoryBytes: 4_000_000,
  reserveBytes: 1_000_000,
  connectionBytes: 1_000_000,
  connections: 20,
  requests: 10,
  pipelinedRequests: 4,
  bodyTimeoutMilliseconds: 60_000,
  bodyStallMilliseconds: 15_000,
};

/** The most that 2 KB of a head may contain, by which the limits may be exceeded: lines of four bytes. */
const HEAD_PORTION_COST_BYTES = 2048 + 512 * HEADER_LINE_COST_BYTES;

const LARGE_HEAD_LINES = 2500;

/** What an incomplete head of so many short lines holds at most, with its connection. */
const LARGE_HEAD_COST_BYTES =
  LARGE_HEAD_LINES * (HEADER_LINE_COST_BYTES + 8) + CONNECTION_COST_BYTES;

/** What an eviction leaves to connections that hold more than ordinary ones. */
const EVICTION_TARGET_BYTES = 0.875 * (LIMITS.memoryBytes - LIMITS.reserveBytes);

/** The most that the operating system holds of one connection in both directions. */
const SOCKET_BUFFERS_BYTES = 12_582_912;

const BODY_LIMIT_BYTES = 500_000;
const CHECK_MILLISECONDS = 5;
const WAIT_MILLISECONDS = 5000;

const STATUSES: Readonly<Record<string, number>> = {
  'request-too-large': 413,
  'request-timeout': 408,
  overloaded: 503,
};

const cleanUps: (() => unknown)[] = [];

afterEach(() => {
  cleanUps
    .splice(0)
    .reverse()
    .forEach((cleanUp) => cleanUp());
});

async function waitFor(condition: () => boolean): Promise<void> {
  for (let waited = 0; !condition() && waited < WAIT_MILLISECONDS; waited += CHECK_MILLISECONDS) {
    await sleep(CHECK_MILLISECONDS);
  }
  expect(condition()).toBe(true);
}

/** Returns a function that returns the least value so far. Reads the value before connections that wait for memory go on. */
function trackLeast(read: () => number): () => number {
  let least = read();
  let isTracking = true;
  const track = () => {
    least = Math.min(least, read());
    if (isTracking) {
      setImmediate(track);
    }
  };
  track();
  cleanUps.push(() => {
    isTracking = false;
  });
  return () => least;
}

/** Starts a server whose responses are the targets of the requests that have run. */
async function startServer(changes: Partial<CallerLimits> = {}) {
  const clock = new ManualClock();
  const server = createServer({ maxHeaderSize: 65_536 });
  server.maxHeadersCount = ALL_HEADER_LINES;
  const connections = new CallerConnections(server);
  const guard = new CallerGuard(server, connections, {
    limits: { ...LIMITS, ...changes },
    clock,
    log: silentLogger,
    encodeRejection: () => 'HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n\r\n',
  });
  const ran: string[] = [];
  const bodies: number[] = [];
  const held: ServerResponse[] = [];
  const answer = (response: ServerResponse) =>
    sendWhole(response, 200, {}, `answer to ${response.req.url}`);
  server.on('request', (message, response) => {
    if (connections.find(message.socket)?.isClosing === true) {
      return;
    }
    connections.beginRequest(message.socket, response);
    const request = guard.begin(message, response);
    if (message.url === '/unread') {
      answer(response);
      return;
    }
    request
      .read(BODY_LIMIT_BYTES)
      .then((body) => {
        connections.recordPassedOn(response, message.url);
        ran.push(message.url ?? '');
        bodies.push(body.length);
        if (message.url?.startsWith('/hold') === true) {
          held.push(response);
        } else if (message.url === '/collect') {
          const framing = framingFor(response);
          framing.start(200, {});
          framing.write(Buffer.from('part'));
          guard.recordBacklog(message.socket);
          held.push(response);
        } else {
          answer(response);
        }
      })
      .catch((error: unknown) => {
        const status = STATUSES[failureOf(error).kind];
        if (status === undefined) {
          response.destroy();
        } else {
          sendWhole(response, status, {}, 'refused');
        }
      });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanUps.push(() => {
    connections.close();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { clock, guard, ran, bodies, held, answer, port };
}

function openCaller(port: number, bytes: string, allowHalfOpen = false) {
  const socket: Socket = connect({ port, host: '127.0.0.1', allowHalfOpen });
  const caller = { socket, text: '', isClosed: false };
  socket.on('error', () => {});
  socket.on('data', (chunk) => {
    caller.text += chunk.toString('latin1');
  });
  socket.on('close', () => {
    caller.isClosed = true;
  });
  socket.write(bytes);
  cleanUps.push(() => socket.destroy());
  return caller;
}

/** Sends without end, as fast as the other side reads. */
function sendEndlessly(socket: Socket): void {
  const bytes = Buffer.alloc(65_536, 'x');
  const send = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', send);
  send();
}

function head(target: string, headers = ''): string {
  return `POST ${target} HTTP/1.1\r\nHost: h\r\n${headers}\r\n`;
}

function shortLines(count: number): string {
  return Array.from({ length: count }, (_, index) => `h${index.toString(36)}:x\r\n`).join('');
}

function statusesOf(text: string): string[] {
  return text.match(/HTTP\/1\.1 \d{3}/gu)?.map((line) => line.slice(9)) ?? [];
}

describe('CallerGuard', () => {
  // Guards against a body over the limit that is read to its end, and a request behind it that runs.
  it('refuses a body that is announced over the limit before it arrives, and what is behind it', async () => {
    const { port, ran, guard } = await startServer();
    const caller = openCaller(port, head('/large', 'Content-Length: 10000000000\r\n'));
    await waitFor(() => caller.text.includes('refused'));
    expect(statusesOf(caller.text)).toEqual(['413']);
    caller.socket.write(`${'x'.repeat(1000)}${head('/behind', 'Content-Length: 0\r\n')}`);
    caller.socket.end();
    await waitFor(() => caller.isClosed);
    expect(ran).toEqual([]);
    expect(guard.refusalsFor(RefusalReason.BodySize)).toBe(1);
  });

  it('refuses an unannounced body as soon as it exceeds the limit', async () => {
    const { port, ran } = await startServer();
    const caller = openCaller(port, head('/large', 'Transfer-Encoding: chunked\r\n'));
    const chunk = `10000\r\n${'x'.repeat(65_536)}\r\n`;
    for (let index = 0; index * 65_536 <= BODY_LIMIT_BYTES; index += 1) {
      caller.socket.write(chunk);
    }
    await waitFor(() => caller.text.includes('refused'));
    expect(statusesOf(caller.text)).toEqual(['413']);
    expect(ran).toEqual([]);
  });

  // Guards against a refusal that overtakes the responses before it.
  it('refuses a body behind other requests in its turn', async () => {
    const { port, held, answer } = await startServer();
    const caller = openCaller(
      port,
      head('/hold', 'Content-Length: 0\r\n') + head('/large', 'Content-Length: 600000\r\n'),
    );
    await waitFor(() => held.length === 1);
    await sleep(50);
    expect(caller.text).toBe('');
    answer(held[0] as ServerResponse);
    await waitFor(() => caller.text.includes('refused'));
    expect(statusesOf(caller.text)).toEqual(['200', '413']);
  });

  it.each([
    ['nothing arrives', 20_000, 0, RefusalReason.BodyStall],
    ['it arrives too slowly', 61_000, 13, RefusalReason.BodyTime],
  ])('refuses a body with 408 if %s', async (_name, milliseconds, parts, reason) => {
    const { port, clock, guard, ran } = await startServer();
    const caller = openCaller(port, `${head('/slow', 'Content-Length: 400000\r\n')}begin`);
    await waitFor(() => guard.openRequests === 1);
    for (let part = 0; part < parts; part += 1) {
      const { heldBytes } = guard;
      caller.socket.write('x'.repeat(5000));
      await waitFor(() => guard.heldBytes >= heldBytes + 5000);
      await clock.advance(milliseconds / parts);
      guard.check();
    }
    if (parts === 0) {
      await clock.advance(milliseconds);
      guard.check();
    }
    await waitFor(() => caller.text.includes('refused'));
    expect(statusesOf(caller.text)).toEqual(['408']);
    expect(guard.refusalsFor(reason)).toBe(1);
    expect(ran).toEqual([]);
  });

  // Guards against pipelined requests without bound, and against some that are lost while they wait.
  // Guards against a running request whose connection is reset because of a body that no handler reads.
  it.each([
    ['does not arrive', 100, 10],
    ['has arrived', 300_000, 300_000],
  ])('answers a request before one whose body is not read and %s', async (_name, length, sent) => {
    const { clock, port, held, answer, guard } = await startServer();
    const caller = openCaller(
      port,
      head('/hold') + head('/unread', `Content-Length: ${length}\r\n`) + 'b'.repeat(sent),
    );
    await waitFor(() => held.length === 1 && guard.openRequests === 2);
    for (let checks = 0; checks <= 2 * LIMITS.bodyStallMilliseconds; checks += 1000) {
      await clock.advance(1000);
    }
    expect(guard.refusalsFor(RefusalReason.BodyStall)).toBe(1);
    held.forEach(answer);
    await waitFor(() => caller.isClosed);
    expect(statusesOf(caller.text)).toEqual(['200', '200']);
    expect(guard.runningRequests).toBe(0);
  });

  it('reads pipelined requests as earlier ones are answered, and answers all in order', async () => {
    const { port, guard, ran, held, answer } = await startServer();
    const count = 300;
    const targets = Array.from({ length: count }, (_, index) => `/hold-${index}`);
    const caller = openCaller(
      port,
      targets.map((target) => head(target, 'Content-Length: 0\r\n')).join(''),
    );
    for (let answered = 0; answered < count; answered += 1) {
      await waitFor(() => held.length > answered);
      expect(guard.runningRequests).toBeLessThanOrEqual(LIMITS.requests);
      // Those of the last portion that was parsed are beyond the limit.
      expect(guard.openRequests).toBeLessThan(80);
      answer(held[answered] as ServerResponse);
    }
    await waitFor(() => statusesOf(caller.text).length === count);
    expect(ran).toEqual(targets);
    const answers = [...caller.text.matchAll(/answer to (\/hold-\d+)/gu)].map(([, name]) => name);
    expect(answers).toEqual(targets);
  });

  // Guards against the end of a connection that is not noticed while its requests wait, so that they run for a
  // caller that has left.
  it('notices that a caller has left whose requests wait', async () => {
    const { port, guard, ran } = await startServer();
    const caller = openCaller(port, head('/hold', 'Content-Length: 0\r\n').repeat(100));
    await waitFor(() => ran.length > 0 && guard.pausedConnections === 1);
    const count = ran.length;
    caller.socket.end();
    await waitFor(() => caller.isClosed && guard.openConnections === 0);
    expect(ran).toHaveLength(count);
  });

  // Guards against stalled bodies that keep the memory, so that other callers are never read.
  it('evicts the bodies that have made no progress for the longest time, and then reads others', async () => {
    const { port, clock, guard, ran } = await startServer();
    const stalled = [];
    for (let index = 0; index < 8; index += 1) {
      const body = 'x'.repeat(450_000);
      stalled.push(openCaller(port, head('/stalled', 'Content-Length: 460000\r\n') + body));
      await sleep(20);
    }
    await waitFor(() => guard.pausedConnections > 0);
    expect(guard.heldBytes).toBeLessThanOrEqual(LIMITS.memoryBytes);
    for (let step = 0; step < 6; step += 1) {
      await clock.advance(1000);
      guard.check();
      await sleep(20);
    }
    expect(guard.refusalsFor(RefusalReason.Memory)).toBeGreaterThan(0);
    const refused = stalled.filter(({ text }) => text !== '');
    expect(refused.flatMap(({ text }) => statusesOf(text))).toEqual(
      Array(refused.length).fill('503'),
    );
    const ordinary = openCaller(
      port,
      `${head('/ordinary', 'Content-Length: 100000\r\n')}${'x'.repeat(100_000)}`,
    );
    await waitFor(() => ordinary.text.includes('answer to /ordinary'));
    expect(ran).toEqual(['/ordinary']);
  });

  // Guards against responses that are not read and are not counted, or that keep the memory from other callers.
  it('counts responses that are not read, and disconnects their callers to make room', async () => {
    const { port, clock, guard, held, ran } = await startServer({ memoryBytes: 1_500_000 });
    for (let index = 0; index < 5; index += 1) {
      const caller = openCaller(port, head('/hold', 'Content-Length: 0\r\n'));
      caller.socket.pause();
      await waitFor(() => held.length === index + 1);
    }
    for (const response of held) {
      const { socket } = response.req;
      // The buffers of the operating system take the first megabytes.
      while (socket.writableLength < 200_000) {
        response.write('x'.repeat(65_536));
        guard.recordBacklog(socket);
        await sleep(1);
      }
    }
    expect(guard.heldBytes).toBeGreaterThan(1_000_000);
    expect(guard.heldBytes).toBeLessThan(1_650_000);
    const count = ran.length;
    const waiting = openCaller(
      port,
      `${head('/large', 'Content-Length: 400000\r\n')}${'x'.repeat(400_000)}`,
    );
    await waitFor(() => guard.pausedConnections === 1);
    for (let step = 0; step < 3; step += 1) {
      await clock.advance(1000);
      guard.check();
      await sleep(20);
    }
    await waitFor(() => waiting.text.includes('answer to /large'));
    expect(ran).toHaveLength(count + 1);
    expect(guard.refusalsFor(RefusalReason.Memory)).toBeGreaterThan(0);
  });

  // Guards against connections beyond the file descriptors, and idle ones that keep others out.
  it('closes the connection that is idle for the longest time to open another one', async () => {
    const { port, clock, guard, held } = await startServer({ connections: 3 });
    const running = openCaller(port, head('/hold', 'Content-Length: 0\r\n'));
    await waitFor(() => held.length === 1);
    const idle: ReturnType<typeof openCaller>[] = [];
    for (let index = 0; index < 4; index += 1) {
      await clock.advance(10);
      idle.push(openCaller(port, ''));
      await waitFor(() => guard.openConnections === Math.min(3, index + 2));
      await sleep(20);
    }
    await waitFor(() => idle.filter(({ isClosed }) => isClosed).length === 2);
    expect(idle.map(({ isClosed }) => isClosed)).toEqual([true, true, false, false]);
    expect(running.isClosed).toBe(false);
    expect(guard.refusalsFor(RefusalReason.Connections)).toBe(2);
  });

  // Guards against heads of many short lines, which cost many times their bytes.
  it('counts the lines of a head from their arrival until the response has been written', async () => {
    const { port, guard, held, answer } = await startServer();
    const lineBytes = 500 * HEADER_LINE_COST_BYTES;
    const caller = openCaller(port, `POST /hold HTTP/1.1\r\nHost: h\r\n${shortLines(550)}`);
    await waitFor(() => guard.heldBytes > lineBytes);
    expect(guard.openRequests).toBe(0);
    caller.socket.write('Content-Length: 0\r\n\r\n');
    await waitFor(() => held.length === 1);
    expect(guard.heldBytes).toBeGreaterThan(lineBytes);
    held.forEach(answer);
    await waitFor(() => guard.heldBytes === CONNECTION_COST_BYTES);
  });

  it('counts the lines of trailers', async () => {
    const { port, guard, held } = await startServer();
    const lineBytes = 500 * HEADER_LINE_COST_BYTES;
    const caller = openCaller(
      port,
      `${head('/hold', 'Transfer-Encoding: chunked\r\n')}0\r\n${shortLines(550)}`,
    );
    await waitFor(() => guard.heldBytes > lineBytes);
    caller.socket.write('\r\n');
    await waitFor(() => held.length === 1);
    expect(guard.heldBytes).toBeGreaterThan(lineBytes);
  });

  // Guards against a head that waits for memory until its time limit.
  it('refuses a head at once that one connection cannot hold', async () => {
    const { port, guard, ran } = await startServer();
    const caller = openCaller(port, head('/large', shortLines(8000)));
    await waitFor(() => caller.text.includes('Refused'));
    caller.socket.end();
    await waitFor(() => caller.isClosed);
    expect([ran, guard.refusalsFor(RefusalReason.HeadSize)]).toEqual([[], 1]);
    await waitFor(() => guard.heldBytes === 0);
  });

  // Guards against a body that waits for memory until its time limit.
  it('refuses a body at once for which the head leaves no room', async () => {
    const { port, guard, ran } = await startServer();
    const lines = `${shortLines(5000)}Content-Length: 400000\r\n`;
    const caller = openCaller(port, `${head('/large', lines)}${'x'.repeat(400_000)}`);
    await waitFor(() => caller.text.includes('refused'));
    expect([statusesOf(caller.text), ran]).toEqual([['413'], []]);
    caller.socket.destroy();
    await waitFor(() => guard.heldBytes === 0);
  });

  // Guards against incomplete heads that keep the memory, so that other callers are never read.
  it('evicts heads that have made no progress, no more than needed, and then reads others', async () => {
    const { port, clock, guard } = await startServer();
    const callers = [];
    for (let index = 0; index < 12; index += 1) {
      callers.push(
        openCaller(port, `POST /open HTTP/1.1\r\nHost: h\r\n${shortLines(LARGE_HEAD_LINES)}`),
      );
      await sleep(20);
    }
    await waitFor(() => guard.pausedConnections > 0);
    expect(guard.heldBytes).toBeLessThanOrEqual(LIMITS.memoryBytes + HEAD_PORTION_COST_BYTES);
    const leastHeldBytes = trackLeast(() => guard.heldBytes);
    await clock.advance(4000);
    await waitFor(() => guard.refusalsFor(RefusalReason.Memory) > 0);
    await waitFor(() => leastHeldBytes() <= EVICTION_TARGET_BYTES);
    expect(leastHeldBytes()).toBeGreaterThan(EVICTION_TARGET_BYTES - LARGE_HEAD_COST_BYTES);
    const ordinary = openCaller(port, head('/ordinary', 'Content-Length: 0\r\n'));
    for (let step = 0; step < 4; step += 1) {
      await clock.advance(500);
      await sleep(20);
    }
    await waitFor(() => ordinary.text.includes('answer to /ordinary'));
    expect(callers.filter(({ text }) => text !== '').length).toBeLessThan(callers.length);
  });

  // Guards against a request that was passed on and whose connection is closed for another one.
  it('answers the requests that run on connections beyond which another one is opened', async () => {
    const { port, held, answer, guard } = await startServer({ connections: 8 });
    const pipelined = head('/hold', 'Content-Length: 0\r\n').repeat(2);
    const callers: ReturnType<typeof openCaller>[] = [];
    while (callers.length < 8) {
      callers.push(openCaller(port, pipelined));
      await waitFor(() => guard.openRequests === 2 * callers.length);
    }
    openCaller(port, pipelined);
    await waitFor(() => guard.refusalsFor(RefusalReason.Connections) === 1);
    expect(held).toHaveLength(8);
    held.forEach(answer);
    await waitFor(() => callers.every(({ text }) => text.includes('answer to /hold')));
    const closing = callers.filter(({ text }) => /\r\nConnection: close\r\n/iu.test(text));
    expect(closing).toHaveLength(2);
    closing.forEach(({ socket }) => socket.end());
    await waitFor(() => closing.every(({ isClosed }) => isClosed));
    const other = openCaller(port, head('/other', 'Content-Length: 0\r\n'));
    await waitFor(() => other.text.includes('answer to /other'));
    expect(guard.unansweredFor(ConnectionCloseReason.Connections)).toBe(0);
  });

  // Guards against a request that was passed on and whose connection is reset while its endpoint works on it.
  it.each([
    ['whose response is collected', 'GET /collect HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'],
    [
      'before a response that waits',
      `${head('/hold', 'Content-Length: 0\r\n')}${head('/unread', 'Content-Length: 0\r\n')}`,
    ],
  ])('evicts no connection with a running request %s', async (_name, bytes) => {
    const { port, clock, guard, held } = await startServer({ reserveBytes: 0 });
    const caller = openCaller(port, bytes);
    await waitFor(() => held.length === 1);
    const body = `${head('/hold', 'Content-Length: 490000\r\n')}${'x'.repeat(490_000)}`;
    for (let index = 0; index < 9; index += 1) {
      openCaller(port, body);
    }
    await waitFor(() => guard.pausedConnections > 0);
    await clock.advance(2000);
    await waitFor(() => guard.refusalsFor(RefusalReason.Memory) > 0);
    await sleep(100);
    expect(caller.isClosed).toBe(false);
    expect(guard.unansweredFor(ConnectionCloseReason.Memory)).toBe(0);
  });

  // Guards against a request that was passed on and whose connection is closed for another one.
  it('closes no connection whose response is collected to open another one', async () => {
    const { port, clock, guard, held } = await startServer({ connections: 3 });
    const caller = openCaller(port, 'GET /collect HTTP/1.0\r\nConnection: keep-alive\r\n\r\n');
    await waitFor(() => held.length === 1);
    const idle = [openCaller(port, ''), openCaller(port, '')];
    await waitFor(() => guard.openConnections === 3);
    await clock.advance(2000);
    openCaller(port, '');
    await waitFor(() => guard.refusalsFor(RefusalReason.Connections) === 1);
    await waitFor(() => caller.isClosed || idle.some(({ isClosed }) => isClosed));
    expect(caller.isClosed).toBe(false);
    expect(guard.unansweredFor(ConnectionCloseReason.Connections)).toBe(0);
  });

  // Guards against bytes without a request that are read at full speed, whose buffers fill the memory.
  it.each([
    ['while its last response is due', '/hold'],
    ['after its last response', '/answered'],
  ])('drops what a connection receives at a bounded rate: %s', async (_name, target) => {
    const { port, ran } = await startServer();
    const request = head(target, 'Connection: close\r\nContent-Length: 0\r\n');
    const callers = Array.from({ length: 4 }, () => openCaller(port, request, true));
    await waitFor(() => ran.length === 4);
    const startMilliseconds = performance.now();
    callers.forEach(({ socket }) => sendEndlessly(socket));
    await sleep(2000);
    const seconds = (performance.now() - startMilliseconds) / 1000;
    const sentBytes = callers.reduce(
      (sum, { socket }) => sum + socket.bytesWritten - socket.writableLength,
      0,
    );
    const allowedBytes = DISCARDED_BYTES_PER_SECOND * seconds + 4 * SOCKET_BUFFERS_BYTES;
    expect(sentBytes).toBeGreaterThan(DISCARDED_BYTES_PER_SECOND);
    expect(sentBytes).toBeLessThan(allowedBytes);
  });

  // Guards against connections beyond the limit that are closed in silence, or that use all descriptors.
  it('refuses connections beyond the limit with a response, a bounded number of them at once', async () => {
    const { port, held, answer, guard } = await startServer({ connections: 32, requests: 32 });
    const request = head('/hold', 'Content-Length: 0\r\n');
    const callers = Array.from({ length: 32 }, () => openCaller(port, request));
    await waitFor(() => held.length === 32);
    const silent = [openCaller(port, ''), openCaller(port, '')];
    await waitFor(() => guard.refusalsFor(RefusalReason.Connections) === 2);
    const further = openCaller(port, request);
    await waitFor(() => further.isClosed);
    expect([further.text, ...silent.map(({ text }) => text)]).toEqual(['', '', '']);
    silent.forEach(({ socket }) => socket.write(request));
    await waitFor(() => silent.every(({ text }) => text.startsWith('HTTP/1.1 503')));
    silent.forEach(({ socket }) => socket.end());
    await waitFor(() => silent.every(({ isClosed }) => isClosed));
    held.forEach(answer);
    await waitFor(() => callers.every(({ text }) => text.includes('answer to /hold')));
    expect(held).toHaveLength(32);
  });

  it('closes a connection beyond the limit on which nothing is sent', async () => {
    const { port, held, clock, guard } = await startServer({ connections: 1 });
    openCaller(port, head('/hold', 'Content-Length: 0\r\n'));
    await waitFor(() => held.length === 1);
    const silent = openCaller(port, '');
    await waitFor(() => guard.refusalsFor(RefusalReason.Connections) === 1);
    await clock.advance(1000);
    await waitFor(() => silent.isClosed);
    expect(silent.text).toBe('');
  });

  // Guards against memory that is still counted after its connection has closed.
  it('holds nothing after callers have left in the middle of their requests', async () => {
    const { port, guard } = await startServer();
    const callers = [
      openCaller(port, `${head('/a', 'Content-Length: 400000\r\n')}${'x'.repeat(300_000)}`),
      openCaller(port, head('/hold', 'Content-Length: 0\r\n').repeat(50)),
      openCaller(port, 'POST /never'),
    ];
    await waitFor(() => guard.heldBytes > 300_000 + 3 * CONNECTION_COST_BYTES);
    callers.forEach(({ socket }) => socket.destroy());
    await waitFor(() => guard.openConnections === 0);
    expect([guard.heldBytes, guard.openRequests, guard.runningRequests]).toEqual([0, 0, 0]);
  });
});
