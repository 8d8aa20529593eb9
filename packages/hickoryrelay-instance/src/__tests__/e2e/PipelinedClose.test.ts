import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { AddressInfo } from 'node:net';

/** More than the daemon buffers of a response before it relays it. */
const PART_BYTES = 1_000_000;

describe('Pipelined calls, the last of which closes the connection', () => {
  const federation = new LocalFederation();
  let key = '';
  let url = '';

  beforeAll(async () => {
    await federation.start();
    await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: 'zone-a',
      models: ['model-one'],
      times: { prefillRate: 100_000, decodeMilliseconds: 1 },
    });
    await federation.addService('service-1', 'service', 'zone-a');
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    url = federation.urlOf(await federation.addInstance('entry-1', 'zone-a'));
  });

  afterAll(() => federation.stop());

  // Guards against calls that are dropped for a close after a response that comes behind theirs.
  it.each([[''], ['Connection: close\r\n']])('are all answered, last with "%s"', async (header) => {
    const { hostname: host, port } = new URL(url);
    const requestBytes = (headers: string) => {
      const body = '{"some":"text"}';
      return (
        `POST /services/look/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}\r\n${headers}` +
        `Content-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`
      );
    };
    const socket = connect({ port: Number(port), host });
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    await once(socket, 'connect');
    socket.write(requestBytes('') + requestBytes(header));
    await sleep(2000);
    socket.destroy();
    expect(text.match(/HTTP\/1\.1 \d+/gu)).toEqual(['HTTP/1.1 200', 'HTTP/1.1 200']);
  });
});

describe('Pipelined calls, the first of which breaks off', () => {
  const federation = new LocalFederation();
  const ran: string[] = [];
  const endpoint = createServer((request, response) => {
    const identifier = request.url?.split('/').at(-1) ?? '';
    ran.push(identifier);
    request.resume();
    if (identifier === 'first') {
      response.writeHead(200, { 'content-length': 2 * PART_BYTES });
      response.write('x'.repeat(PART_BYTES));
      setTimeout(() => response.socket?.resetAndDestroy(), 300);
    } else {
      response.end('{}');
    }
  });

  beforeAll(async () => {
    await federation.start();
    endpoint.listen(0, '127.0.0.1');
    await once(endpoint, 'listening');
    federation.platform.endpoints.set('service-1', {
      identifier: 'service-1',
      kind: 'service',
      zone: 'zone-a',
      url: `http://127.0.0.1:${(endpoint.address() as AddressInfo).port}`,
      state: SupplyState.Live,
    });
  });

  afterAll(async () => {
    await federation.stop();
    endpoint.close();
  });

  // Guards against calls that run behind a response whose cut closes the connection.
  it('do not run, as the connection closes without a response to them', async () => {
    const document = sampleDeclarations();
    const key = federation.issueKey(document, 'first');
    await federation.apply(document);
    const instance = await federation.addInstance('entry-1', 'zone-a');
    const { hostname: host, port } = new URL(federation.urlOf(instance));
    const socket = connect({ port: Number(port), host });
    socket.on('error', () => {});
    socket.resume();
    const requestBytes = (service: string, identifier: string) =>
      `POST /services/${service}/${identifier} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}\r\n` +
      `Idempotency-Key: ${identifier}\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}`;
    await once(socket, 'connect');
    socket.write(requestBytes('look', 'first') + requestBytes('book', 'second'));
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    expect(ran).toEqual(['first']);
  });
});
