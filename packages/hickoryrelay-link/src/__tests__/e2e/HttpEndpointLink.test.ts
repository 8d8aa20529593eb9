import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { EndpointAvailability } from 'hickoryrelay-endpoint/EndpointAvailability';
import { ServiceLink } from 'hickoryrelay-link/ServiceLink';

import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { ResponseStream } from 'hickoryrelay-link/ResponseStream';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

const CALL: ServiceCall = {
  kind: 'service',
  requestIdentifier: 'request-1',
  accountName: 'first',
  keyIdentifier: undefined,
  className: 'look',
  arrivalMilliseconds: 0,
  deadlineMilliseconds: 1_000_000,
  isIdempotent: true,
  idempotencyKey: undefined,
  route: 'look',
  method: 'GET',
  path: '/up',
  contentType: undefined,
  body: undefined,
};
const NON_IDEMPOTENT_CALL = { ...CALL, isIdempotent: false };
const BODY_BLOCK = Buffer.alloc(65_536);
const BODY_BLOCK_COUNT = 1024;

async function readAll(response: ResponseStream): Promise<number> {
  let bytes = 0;
  await response.headReceived;
  for await (const chunk of response.chunks) {
    bytes += chunk.length;
  }
  // The client library returns a connection to its pool in a later turn of the event loop.
  await sleep(10);
  return bytes;
}

describe('HttpEndpointLink', () => {
  const sockets: Socket[] = [];
  const neverAborted = new AbortController().signal;
  let server: Server;
  let link: ServiceLink;
  /** Repeats the identifier of the request. */
  const identify: RequestListener = (request, response) => {
    response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
  };
  const respondIdentified: RequestListener = (request, response) => {
    identify(request, response);
    response.end('answer');
  };
  let respond = respondIdentified;

  beforeEach(async () => {
    sockets.length = 0;
    respond = respondIdentified;
    server = createServer((request, response) => {
      respond(request, response);
    });
    server.on('connection', (socket) => sockets.push(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    link = new ServiceLink({ identifier: 'one', zone: 'a', url: `http://127.0.0.1:${port}` });
  });

  afterEach(async () => {
    await link.close();
    server.closeAllConnections();
    server.close();
  });

  // Guards against a call that is not idempotent on a keep-alive connection, whose loss would
  // leave open whether the call ran.
  it('reuses connections for idempotent calls and opens a new one for each other call', async () => {
    const connectionOfFirstCall = 1;
    await readAll(link.send(CALL, neverAborted));
    await readAll(link.send(CALL, neverAborted));
    await readAll(link.send(CALL, neverAborted));
    expect(sockets).toHaveLength(connectionOfFirstCall + 1);
    await readAll(link.send(NON_IDEMPOTENT_CALL, neverAborted));
    await readAll(link.send(NON_IDEMPOTENT_CALL, neverAborted));
    expect(sockets).toHaveLength(connectionOfFirstCall + 3);
  });

  // Guards against a bound on each response that counts those before it on the same connection.
  it('reuses a connection for responses whose heads and chunks add up to any size', async () => {
    respond = (request, response) => {
      identify(request, response);
      response.setHeader('x-filler', 'x'.repeat(4000));
      response.write('x'.repeat(100));
      response.end('x'.repeat(100));
    };
    for (let count = 0; count < 100; count += 1) {
      expect(await readAll(link.send(CALL, neverAborted))).toBe(200);
    }
    const connectionOfFirstCall = 1;
    expect(sockets).toHaveLength(connectionOfFirstCall + 1);
  });

  // Guards against a late second copy of a response that the next caller on the connection gets.
  it('does not reuse connections of an endpoint that does not identify its responses', async () => {
    respond = (request, response) => response.end('answer');
    await readAll(link.send(CALL, neverAborted));
    await readAll(link.send(CALL, neverAborted));
    await readAll(link.send(CALL, neverAborted));
    expect(sockets).toHaveLength(3);
  });

  it('fails a call whose response belongs to another request', async () => {
    const receivedIdentifiers: string[] = [];
    respond = (request, response) => {
      receivedIdentifiers.push(String(request.headers['x-request-id']));
      const [first = ''] = receivedIdentifiers;
      response.setHeader('x-request-id', first);
      response.end(`answer to ${first}`);
    };
    await readAll(link.send(CALL, neverAborted));
    const other = link.send({ ...CALL, requestIdentifier: 'request-2' }, neverAborted);
    await expect(readAll(other)).rejects.toMatchObject({
      failure: { kind: 'endpoint-failed', mayHaveRun: true },
    });
  });

  it.each([
    [200, ['"default";q=58;w=10'], 5.8],
    [500, ['"burst";q=9;w=1, "default";q=40;w=10'], 4],
    [503, ['"default";q=7;w=1', '"other";q=5;w=1'], 5],
    [200, [], undefined],
    [429, [], undefined],
  ])(
    'reads a rate limit or its end from a %s with the policies %j',
    async (status, values, rate) => {
      respond = (request, response) => {
        response.setHeader('RateLimit-Policy', values);
        response.statusCode = status;
        respondIdentified(request, response);
      };
      const response = link.send(CALL, neverAborted);
      await readAll(response);
      expect(response.notice?.rateLimit).toEqual({ requestsPerSecond: rate });
    },
  );

  // Guards against a faulty endpoint that is taken out of use, or whose limit ends, by a malformed policy.
  it.each([
    '',
    '5',
    '"default";q=5',
    '"default";q=-5;w=1',
    '"default";q=1e9;w=1',
    'default;q=5;w=1',
  ])('reads nothing from the rate limit policy %j', async (value) => {
    respond = (request, response) => {
      response.setHeader('RateLimit-Policy', value);
      respondIdentified(request, response);
    };
    const response = link.send(CALL, neverAborted);
    await readAll(response);
    expect(response.notice).toBeDefined();
    expect(response.notice?.rateLimit).toBeUndefined();
  });

  // Guards against calls that were connecting when their endpoint announced that it is leaving.
  it.each([CALL, NON_IDEMPOTENT_CALL])(
    'does not write a call whose permit has become invalid while it was connecting',
    async (call) => {
      let requests = 0;
      respond = (request, response) => {
        requests += 1;
        respondIdentified(request, response);
      };
      const availability = new EndpointAvailability();
      const permit = availability.startRequest(0);
      const response = link.send(call, neverAborted, undefined, permit);
      const notice = { isLeaving: true, backoffMilliseconds: undefined, isAccepted: true };
      availability.receive(notice, permit, 0);
      await expect(readAll(response)).rejects.toMatchObject({
        failure: { kind: 'endpoint-failed', mayHaveRun: false },
      });
      expect(requests).toBe(0);
    },
  );

  // Guards against new calls on connections of an endpoint that has stopped responding.
  it('marks the siblings of a stalled connection as suspect and opens new ones for new calls', async () => {
    respond = (request, response) => {
      identify(request, response);
      response.write('first piece');
    };
    const [silent, sibling] = [link.send(CALL, neverAborted), link.send(CALL, neverAborted)];
    await Promise.all([silent.headReceived, sibling.headReceived]);
    respond = respondIdentified;
    await readAll(link.send(CALL, neverAborted));
    const idleConnections = 1;
    expect(sockets).toHaveLength(2 + idleConnections);
    silent.retireConnections();
    expect(sibling.isConnectionSuspect).toBe(true);
    const next = link.send(CALL, neverAborted);
    expect(await readAll(next)).toBe(6);
    expect(next.isConnectionSuspect).toBe(false);
    expect(sockets).toHaveLength(4);
    expect((await sibling.chunks.next()).value?.toString()).toBe('first piece');
    sibling.retireConnections();
    await readAll(link.send(CALL, neverAborted));
    expect(sockets).toHaveLength(4);
  });

  // Guards against an endpoint that continues a call that nobody waits for.
  it('closes the connection of a cancelled call', async () => {
    respond = (request, response) => response.write('first piece');
    const abort = new AbortController();
    const stream = link.send(CALL, abort.signal);
    await stream.headReceived;
    const closed = new Promise((resolve) => {
      sockets[0]?.once('close', resolve);
    });
    abort.abort();
    await closed;
    await stream.chunks.next();
    await expect(stream.chunks.next()).rejects.toMatchObject({
      failure: { kind: 'endpoint-failed', mayHaveRun: true },
    });
  });

  // Guards against a retry of a call that the endpoint may have run.
  it('reports that a call cannot have run only if it was not sent', async () => {
    const aborted = AbortSignal.abort(new Error('too late'));
    await expect(link.send(CALL, aborted).headReceived).rejects.toMatchObject({
      failure: { mayHaveRun: false },
    });
    respond = (request, response) => response.destroy();
    await expect(link.send(CALL, neverAborted).headReceived).rejects.toMatchObject({
      failure: { mayHaveRun: true },
    });
    server.closeAllConnections();
    server.close();
    await expect(link.send(NON_IDEMPOTENT_CALL, neverAborted).headReceived).rejects.toMatchObject({
      failure: { mayHaveRun: false },
    });
  });

  // Guards against unbounded buffering of a response whose caller reads slowly.
  it('applies backpressure to the endpoint while the response is not read', async () => {
    let sentBlocks = 0;
    respond = async (request, response) => {
      for (; sentBlocks < BODY_BLOCK_COUNT; sentBlocks += 1) {
        if (!response.write(BODY_BLOCK)) {
          await new Promise((resolve) => {
            response.once('drain', resolve);
          });
        }
      }
      response.end();
    };
    const stream = link.send(CALL, neverAborted);
    await stream.headReceived;
    let before = -1;
    while (sentBlocks !== before) {
      before = sentBlocks;
      await sleep(100);
    }
    // The socket buffers on both sides hold far less than half of the response.
    expect(sentBlocks).toBeLessThan(BODY_BLOCK_COUNT / 2);
    expect(await readAll(stream)).toBe(BODY_BLOCK_COUNT * BODY_BLOCK.length);
  });

  const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';
  const closes = (socket: Socket, bytes: string) => socket.end(bytes);
  const resets = (socket: Socket, bytes: string) => {
    socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), 20));
  };

  // Guards against a response that broke off and is taken for a complete one.
  it.each([
    ['closes within the status line', closes, 'HTTP/1.1 20'],
    ['closes within the head', closes, head],
    ['resets within the head', resets, head],
    ['closes after an interim response', closes, 'HTTP/1.1 103 Early Hints\r\n\r\n'],
    ['closes within a body with a length', closes, `${head}Content-Length: 9\r\n\r\nhalf`],
    ['closes between chunks', closes, `${head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`],
    ['resets after the head', resets, `${head}\r\n`],
    ['resets within a body without a length', resets, `${head}\r\nhalf`],
  ])('fails a response if the endpoint %s', async (_name, breakOff, bytes) => {
    respond = (request) => {
      breakOff(request.socket, bytes);
    };
    for (const call of [CALL, NON_IDEMPOTENT_CALL]) {
      await expect(readAll(link.send(call, neverAborted))).rejects.toMatchObject({
        failure: { kind: 'endpoint-failed', mayHaveRun: true },
      });
    }
  });

  // Guards against a reset that Node reports as a normal end, as it arrives together with data.
  it('fails a response if the endpoint resets together with its last bytes', async () => {
    respond = ({ socket }) => {
      socket.write(`${head}\r\npart`);
      setTimeout(() => socket.write(' of the body', () => socket.resetAndDestroy()), 10);
    };
    for (let round = 0; round < 60; round += 1) {
      await expect(readAll(link.send(CALL, neverAborted))).rejects.toMatchObject({
        failure: { kind: 'endpoint-failed', mayHaveRun: true },
      });
    }
  });

  it('completes a response that only the close of its connection delimits', async () => {
    respond = (request) => {
      closes(request.socket, `${head}\r\nwhole`);
    };
    expect(await readAll(link.send(CALL, neverAborted))).toBe(5);
  });
});
