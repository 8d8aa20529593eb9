import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { CallerConnections } from 'hickoryrelay/CallerConnections';

import type { ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const CONNECT = 'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n';
const REJECTION = 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** More than twice the time for which a connection that is being closed waits for its caller. */
const WAIT_MILLISECONDS = 2500;

const cleanUps: (() => unknown)[] = [];

afterEach(() => {
  cleanUps.splice(0).forEach((cleanUp) => cleanUp());
});

async function startServer(respond: (response: ServerResponse) => void) {
  const server = createServer();
  const connections = new CallerConnections(server);
  const sockets: Socket[] = [];
  server.on('connection', (socket: Socket) => sockets.push(socket));
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
  const caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  caller.on('error', () => {});
  cleanUps.push(() => caller.destroy());
  await once(caller, 'connect');
  return { connections, caller, sockets };
}

describe('The end of connections of callers', () => {
  // Guards against an unhandled error that ends the process, and all requests in it.
  it('handles the reset of a connection after a CONNECT request', async () => {
    const { connections, caller, sockets } = await startServer(() => {});
    caller.write(REQUEST + CONNECT);
    await sleep(100);
    expect(connections.size).toBe(1);
    expect(sockets[0]?.listenerCount('error')).toBeGreaterThan(0);
  });

  // Guards against connections that stay open for as long as their callers want.
  it('closes the connection of a caller that leaves it open after a CONNECT request', async () => {
    const { connections, caller } = await startServer(() => {});
    caller.resume();
    caller.write(CONNECT);
    await sleep(WAIT_MILLISECONDS);
    expect(connections.size).toBe(0);
  });

  // Guards against connections that stay open for as long as their callers want.
  it('closes the connection of a caller that goes on sending after the last response', async () => {
    const { connections, caller } = await startServer((response) => {
      response.shouldKeepAlive = false;
      response.end('answered');
    });
    caller.resume();
    caller.write(REQUEST);
    const timer = setInterval(() => caller.write('x'), 200);
    cleanUps.push(() => clearInterval(timer));
    await sleep(3 * WAIT_MILLISECONDS);
    expect(connections.size).toBe(0);
  }, 15_000);
});
