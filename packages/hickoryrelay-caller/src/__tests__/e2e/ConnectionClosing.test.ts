import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { CallerConnections } from 'hickoryrelay/CallerConnections';
import { ConnectionCloseReason, resetConnectionOf } from 'hickoryrelay/ConnectionClosing';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { CallerGuard } from 'hickoryrelay-caller/CallerGuard';
import { callerCounters } from 'hickoryrelay-caller/CallerMetrics';

import type { LogFields } from 'hickoryrelay/Logger';
import type { ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

const REQUEST = 'GET /first HTTP/1.1\r\nHost: h\r\n\r\n';

const cleanUps: (() => unknown)[] = [];

afterEach(() => {
  cleanUps
    .splice(0)
    .reverse()
    .forEach((cleanUp) => cleanUp());
});

/** A server on which all requests with the target `/first` are passed on. */
async function startServer() {
  const server = createServer();
  const connections = new CallerConnections(server);
  const lines: LogFields[] = [];
  const guard = new CallerGuard(server, connections, {
    limits: {
      memoryBytes: 4_000_000,
      reserveBytes: 1_000_000,
      connectionBytes: 1_000_000,
      connections: 20,
      requests: 10,
      pipelinedRequests: 4,
      bodyTimeoutMilliseconds: 60_000,
      bodyStallMilliseconds: 15_000,
    },
    clock: new ManualClock(),
    log: { ...silentLogger, warn: (_sentence, fields = {}) => lines.push(fields) },
    encodeRejection: () => '',
  });
  const responses: ServerResponse[] = [];
  server.on('request', (message, response) => {
    connections.beginRequest(message.socket, response);
    if (message.url === '/first') {
      connections.recordPassedOn(response, 'request-1');
    }
    responses.push(response);
    server.emit('received');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  cleanUps.push(() => connections.close());
  const received = async (count: number) => {
    while (responses.length < count) {
      await once(server, 'received');
    }
    return responses;
  };
  const { port } = server.address() as AddressInfo;
  const open = (bytes: string): Socket => {
    const caller = connect(port, '127.0.0.1');
    caller.on('error', () => {});
    caller.resume();
    cleanUps.push(() => caller.destroy());
    caller.write(bytes);
    return caller;
  };
  const closed = () =>
    new Promise<void>((resolve) => {
      connections.onClose(() => resolve());
    });
  /** Counters above zero of closed connections and of requests without a response. */
  const counters = () =>
    Object.fromEntries(
      callerCounters(guard)
        .map(([name, read]) => [name, read()] as const)
        .filter(([name, value]) => value > 0 && /_(?:closes|unanswered)_/u.test(name)),
    );
  return { connections, lines, received, open, closed, counters };
}

describe('The closing of a connection', () => {
  // Guards against a request that was passed on and gets no response without a trace in logs and metrics.
  it.each([
    { reason: ConnectionCloseReason.IncompleteResponse, name: 'incomplete_response' },
    { reason: ConnectionCloseReason.ResponseSize, name: 'response_size' },
  ])('counts and logs a request whose response is cut: $reason', async ({ reason, name }) => {
    const { open, received, closed, counters, lines } = await startServer();
    open(`${REQUEST}GET /second HTTP/1.1\r\nHost: h\r\n\r\n`);
    const [first] = await received(2);
    const closing = closed();
    first?.writeHead(200);
    first?.write('part');
    const head = await new Promise<number>((resolve) => {
      setImmediate(() => resolve(first?.socket?.bytesWritten ?? 0));
    });
    resetConnectionOf(first as ServerResponse, reason);
    await closing;
    expect(counters()).toEqual({
      [`caller_closes_${name}_total`]: 1,
      [`caller_unanswered_${name}_total`]: 1,
    });
    expect(head).toBeGreaterThan(0);
    expect(lines).toEqual([
      { reason, request: 'request-1', writtenBytes: head, otherRequests: 1, skipped: 0 },
    ]);
  });

  // Guards against a shutdown whose lost requests count as those of callers that left.
  it('counts requests that a shutdown closes apart from those whose callers leave', async () => {
    const { open, received, closed, counters, lines, connections } = await startServer();
    const leaving = open(REQUEST);
    await received(1);
    const first = closed();
    leaving.destroy();
    await first;
    expect(lines).toEqual([]);
    open(REQUEST);
    await received(2);
    const second = closed();
    connections.close();
    await second;
    expect(counters()).toEqual({
      caller_closes_caller_total: 1,
      caller_unanswered_caller_total: 1,
      caller_closes_shutdown_total: 1,
      caller_unanswered_shutdown_total: 1,
    });
    expect(lines).toMatchObject([{ reason: 'shutdown', request: 'request-1', writtenBytes: 0 }]);
  });

  // Guards against responses that were written out whole and count as missing.
  it('counts no request whose response was written out before the connection closes', async () => {
    const { open, received, closed, counters, lines } = await startServer();
    const caller = open(`${REQUEST}${REQUEST}`);
    const [first, second] = await received(2);
    const closing = closed();
    first?.end('whole');
    if (second !== undefined) {
      second.shouldKeepAlive = false;
      second.end('whole');
    }
    await once(caller, 'end');
    caller.end();
    await closing;
    expect(counters()).toEqual({ caller_closes_final_response_total: 1 });
    expect(lines).toEqual([]);
  });

  // Guards against a request behind the last response of a connection that is lost without a trace.
  it('counts a request behind the response that closes the connection', async () => {
    const { open, received, closed, counters, lines } = await startServer();
    const caller = open(`GET /last HTTP/1.1\r\nHost: h\r\n\r\n${REQUEST}`);
    const [last] = await received(2);
    const closing = closed();
    if (last !== undefined) {
      last.shouldKeepAlive = false;
      last.end('whole');
    }
    await once(caller, 'end');
    caller.end();
    await closing;
    expect(counters()).toEqual({
      caller_closes_final_response_total: 1,
      caller_unanswered_final_response_total: 1,
    });
    expect(lines).toMatchObject([{ reason: 'final-response', writtenBytes: 0, otherRequests: 0 }]);
  });
});
