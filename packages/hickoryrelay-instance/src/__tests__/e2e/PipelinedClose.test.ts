import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

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
