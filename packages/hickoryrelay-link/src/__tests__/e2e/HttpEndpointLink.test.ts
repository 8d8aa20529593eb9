import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ServiceLink } from 'hickoryrelay-link/ServiceLink';

import type { AnswerStream } from 'hickoryrelay-link/AnswerStream';
import type { ServiceCall } from 'hickoryrelay-link/Call';
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
const ONCE = { ...CALL, isIdempotent: false };
const BLOCK = Buffer.alloc(65_536);
const BLOCKS = 1024;

async function readAll(answer: AnswerStream): Promise<number> {
  let bytes = 0;
  await answer.begun;
  for await (const piece of answer.pieces) {
    bytes += piece.length;
  }
  // The client library takes a connection back in a later turn of the event loop.
  await sleep(10);
  return bytes;
}

describe('the HTTP link to an endpoint', () => {
  const sockets: Socket[] = [];
  const never = new AbortController().signal;
  let server: Server;
  let link: ServiceLink;
  let respond: RequestListener = (request, response) => response.end('answer');

  beforeEach(async () => {
    sockets.length = 0;
    respond = (request, response) => response.end('answer');
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

  it('uses a connection again for calls that are idempotent, and a fresh one for others', async () => {
    await readAll(link.send(CALL, never));
    await readAll(link.send(CALL, never));
    expect(sockets).toHaveLength(1);
    await readAll(link.send(ONCE, never));
    await readAll(link.send(ONCE, never));
    expect(sockets).toHaveLength(3);
  });

  it('condemns the siblings of a silent connection and sends new calls on fresh ones', async () => {
    respond = (request, response) => response.write('first piece');
    const [silent, sibling] = [link.send(CALL, never), link.send(CALL, never)];
    await Promise.all([silent.begun, sibling.begun]);
    respond = (request, response) => response.end('answer');
    await readAll(link.send(CALL, never));
    const idleConnections = 1;
    expect(sockets).toHaveLength(2 + idleConnections);
    silent.condemnConnections();
    expect(sibling.isCondemned).toBe(true);
    const next = link.send(CALL, never);
    expect(await readAll(next)).toBe(6);
    expect(next.isCondemned).toBe(false);
    expect(sockets).toHaveLength(4);
    expect((await sibling.pieces.next()).value?.toString()).toBe('first piece');
    sibling.condemnConnections();
    await readAll(link.send(CALL, never));
    expect(sockets).toHaveLength(4);
  });

  it('closes the connection of a cancelled call', async () => {
    respond = (request, response) => response.write('first piece');
    const abort = new AbortController();
    const answer = link.send(CALL, abort.signal);
    await answer.begun;
    const closed = new Promise((resolve) => {
      sockets[0]?.once('close', resolve);
    });
    abort.abort();
    await closed;
    await answer.pieces.next();
    await expect(answer.pieces.next()).rejects.toMatchObject({
      failure: { kind: 'endpoint-failed', mayHaveRun: true },
    });
  });

  it('says that a call cannot have run only if it was not sent', async () => {
    const aborted = AbortSignal.abort(new Error('too late'));
    await expect(link.send(CALL, aborted).begun).rejects.toMatchObject({
      failure: { mayHaveRun: false },
    });
    respond = (request, response) => response.destroy();
    await expect(link.send(CALL, never).begun).rejects.toMatchObject({
      failure: { mayHaveRun: true },
    });
    server.closeAllConnections();
    server.close();
    await expect(link.send(ONCE, never).begun).rejects.toMatchObject({
      failure: { mayHaveRun: false },
    });
  });

  it('lets the endpoint wait while the answer is not read', async () => {
    let blocks = 0;
    respond = async (request, response) => {
      for (; blocks < BLOCKS; blocks += 1) {
        if (!response.write(BLOCK)) {
          await new Promise((resolve) => {
            response.once('drain', resolve);
          });
        }
      }
      response.end();
    };
    const answer = link.send(CALL, never);
    await answer.begun;
    let before = -1;
    while (blocks !== before) {
      before = blocks;
      await sleep(100);
    }
    // The rest of the socket buffers on both sides stays far below half of the answer.
    expect(blocks).toBeLessThan(BLOCKS / 2);
    expect(await readAll(answer)).toBe(BLOCKS * BLOCK.length);
  });
});
