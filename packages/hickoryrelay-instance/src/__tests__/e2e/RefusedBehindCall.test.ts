import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { AddressInfo } from 'node:net';

const WORK_MILLISECONDS = 3000;

describe('A call beside a refused one on the same connection', () => {
  const federation = new LocalFederation();
  let ran = 0;
  const endpoint = createServer((request, response) => {
    ran += 1;
    request.resume();
    setTimeout(() => {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end('{}');
    }, WORK_MILLISECONDS);
  });
  let key = '';
  let url = '';

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
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    url = federation.urlOf(await federation.addInstance('entry-1', 'zone-a'));
  });

  afterAll(async () => {
    await federation.stop();
    endpoint.closeAllConnections();
    endpoint.close();
  });

  // Guards against a refused call with an unfinished body whose close cuts the answer due before it.
  it('is answered before the refused one', async () => {
    const { hostname: host, port } = new URL(url);
    const bytes = (credential: string, length: number) =>
      `POST /services/book/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${credential}\r\n` +
      `Content-Type: application/json\r\nContent-Length: ${length}\r\n\r\n{}`;
    const socket = connect({ port: Number(port), host });
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    await once(socket, 'connect');
    socket.write(bytes(key, 2));
    await sleep(200);
    socket.write(bytes('wrong', 100));
    await Promise.race([once(socket, 'close'), sleep(WORK_MILLISECONDS + 500)]);
    socket.destroy();
    expect(ran).toBe(1);
    expect(text).toMatch(/^HTTP\/1\.1 200 /u);
  });

  // Guards against a call that runs although the refusal of the one before it closes the connection.
  it('is answered behind one without a Host header', async () => {
    const { hostname: host, port } = new URL(url);
    const ranBefore = ran;
    const socket = connect({ port: Number(port), host });
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    await once(socket, 'connect');
    socket.write(
      'GET /health/live HTTP/1.1\r\n\r\n' +
        `POST /services/book/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}\r\n` +
        'Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}',
    );
    await Promise.race([once(socket, 'close'), sleep(WORK_MILLISECONDS + 500)]);
    socket.destroy();
    expect(text).toMatch(/^HTTP\/1\.1 400 /u);
    expect(text.split('HTTP/1.1 200 ')).toHaveLength(1 + ran - ranBefore);
  });
});
