import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { CallerConnections } from 'hickoryrelay/CallerConnections';

import type { ServerOptions, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** More than the socket buffers of both ends hold. */
const LARGE_BODY = Buffer.alloc(16_777_216);

/** Fits into the socket buffers of both ends, but not into that of the caller alone. */
const BODY = 'x'.repeat(500_000);

const STALL_MILLISECONDS = 300;

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const CHUNKED_HEAD = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
const REJECTION = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

const cleanUps: (() => unknown)[] = [];

afterEach(() => {
  cleanUps.splice(0).forEach((cleanUp) => cleanUp());
});

async function startServer(
  respond: (response: ServerResponse) => void,
  options: ServerOptions = {},
) {
  const server = createServer(options);
  const connections = new CallerConnections(server);
  server.on('request', ({ socket }, response) => {
    connections.beginRequest(socket, response);
    respond(response);
  });
  server.on('clientError', (_error, socket) => connections.reject(socket as Socket, REJECTION));
  server.on('connect', (_request, socket) => {
    connections.rejectTunnel(socket as Socket, REJECTION);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  cleanUps.push(() => connections.close());
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1');
  caller.on('error', () => {});
  cleanUps.push(() => caller.destroy());
  await once(caller, 'connect');
  return { connections, caller };
}

describe('CallerConnections', () => {
  // Guards against a shutdown that waits for a caller that never reads its response.
  it('closes the connection of a caller that has stopped reading', async () => {
    const { connections, caller } = await startServer((response) => response.end(LARGE_BODY));
    caller.pause();
    caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    while (connections.unsentBytes === 0) {
      await sleep(1);
    }
    await connections.closeAllWhenIdle(STALL_MILLISECONDS);
    expect(connections.size).toBe(0);
  });

  it('closes a connection as soon as its response has been written out', async () => {
    const responses: ServerResponse[] = [];
    const { connections, caller } = await startServer((response) => responses.push(response));
    caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    while (responses.length === 0) {
      await sleep(1);
    }
    const closed = connections.closeAllWhenIdle(60_000);
    await sleep(100);
    expect(connections.size).toBe(1);
    let text = '';
    caller.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    const callerClosed = once(caller, 'close');
    responses[0]?.end('answered');
    await Promise.all([closed, callerClosed]);
    expect(text).toContain('answered');
  });

  // Guards against calls that run on because their responses wait behind that of another call when
  // the caller leaves, and against a listener of the socket for each request.
  it('closes all responses of a pipelined connection whose caller has left', async () => {
    const responses: ServerResponse[] = [];
    const closed: boolean[] = [];
    const { caller } = await startServer((response) => {
      responses.push(response);
      response.on('close', () => closed.push(response.writableFinished));
    });
    caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(20));
    while (responses.length < 20) {
      await sleep(1);
    }
    const listeners = responses[0]?.req.socket.listenerCount('close') ?? 0;
    responses[0]?.end('answered');
    await once(caller, 'data');
    // This one has ended, but waits for the one before it.
    responses[2]?.end('not written out');
    caller.destroy();
    while (closed.length < responses.length) {
      await sleep(1);
    }
    expect(closed).toEqual([true, ...Array<boolean>(19).fill(false)]);
    expect(listeners).toBeLessThan(responses.length);
  });

  // Guards against an error response in place of the response to a request that may be running.
  it.each([
    ['bytes that are no request', 'no request\r\n\r\n'],
    ['a CONNECT request', 'CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n'],
    ['a head that is never complete', REQUEST.slice(0, -2)],
    ['a body with a malformed chunk', `${CHUNKED_HEAD}no length\r\n`],
  ])('answers a request before it rejects %s', async (_name, bytes) => {
    const responses: ServerResponse[] = [];
    const { caller } = await startServer((response) => responses.push(response), {
      headersTimeout: STALL_MILLISECONDS,
      connectionsCheckingInterval: STALL_MILLISECONDS,
    });
    let text = '';
    caller.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    const callerClosed = once(caller, 'close');
    caller.write(REQUEST + bytes);
    await sleep(3 * STALL_MILLISECONDS);
    expect(text).toBe('');
    responses[0]?.end('answered');
    await callerClosed;
    expect(text).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*answered/u);
    expect(text.endsWith(REJECTION)).toBe(true);
  });

  it.each([
    ['bytes that are no request', 'no request\r\n\r\n'],
    ['a CONNECT request', 'CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n'],
  ])('closes the response of a caller that has left after %s', async (_name, bytes) => {
    const responses: ServerResponse[] = [];
    const { caller } = await startServer((response) => responses.push(response));
    caller.write(REQUEST + bytes);
    while (responses.length === 0) {
      await sleep(1);
    }
    const closed = once(responses[0] as ServerResponse, 'close');
    caller.end();
    await closed;
  });

  // Guards against a reset by unread bytes, which discards what the caller has not read.
  it('does not cut the last response of a caller that sends more before it has read it', async () => {
    const responses: ServerResponse[] = [];
    const { connections, caller } = await startServer((response) => {
      responses.push(response);
      response.shouldKeepAlive = false;
      response.end(BODY);
    });
    caller.pause();
    caller.write(REQUEST);
    while (responses[0]?.writableFinished !== true) {
      await sleep(1);
    }
    caller.write(REQUEST);
    await sleep(100);
    let text = '';
    caller.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    caller.resume();
    await once(caller, 'close');
    expect(text.endsWith(BODY)).toBe(true);
    expect(responses).toHaveLength(1);
    while (connections.size > 0) {
      await sleep(1);
    }
  });

  it('closes the connection of a caller that stays after the last response', async () => {
    const { connections, caller } = await startServer((response) => {
      response.shouldKeepAlive = false;
      response.end(BODY);
    });
    caller.allowHalfOpen = true;
    caller.write(REQUEST);
    caller.resume();
    await once(caller, 'end');
    await connections.closeAllWhenIdle(60_000);
    expect(connections.size).toBe(0);
  });
});
