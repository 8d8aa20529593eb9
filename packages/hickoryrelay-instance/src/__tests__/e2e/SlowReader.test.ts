import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { connect } from 'node:net';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { Socket } from 'node:net';

const RESPONSE_FINISHED = 'http.server.response.finish';
const WRITE_MILLISECONDS = 200;
const STOP_MILLISECONDS = 2000;

describe('An instance whose caller reads slowly', () => {
  const federation = new LocalFederation();
  let key = '';

  beforeAll(async () => {
    await federation.start();
    await federation.addService('service-1', 'service', 'zone-a');
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
  });

  afterAll(() => federation.stop());

  it('does not cut the response at a stop', async () => {
    const instance = await federation.addInstance('entry-1', 'zone-a');
    const { hostname, port } = new URL(federation.urlOf(instance));
    let finished = 0;
    const onFinished = (message: unknown) => {
      const { socket } = message as { socket: Socket };
      finished += socket.localPort === Number(port) ? 1 : 0;
    };
    subscribe(RESPONSE_FINISHED, onFinished);
    const body = 'x'.repeat(12_000);
    const caller = connect(Number(port), hostname);
    caller.on('error', () => {});
    caller.pause();
    let requests = 0;
    // The caller reads nothing, so that the socket buffers fill up.
    while (finished === requests) {
      requests += 1;
      caller.write(
        `POST /services/look/up HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}\r\n` +
          `Content-Type: text/plain\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      for (let waited = 0; waited < WRITE_MILLISECONDS && finished < requests; waited += 1) {
        await federation.clock.sleep(1);
      }
    }
    unsubscribe(RESPONSE_FINISHED, onFinished);
    expect(instance.status().callsInFlight).toBe(0);
    const stopped = instance.stop();
    await Promise.race([stopped, federation.clock.sleep(STOP_MILLISECONDS)]);
    let text = '';
    caller.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    const closed = new Promise((resolve) => {
      caller.on('close', resolve);
    });
    caller.resume();
    await closed;
    await stopped;
    expect(text.split(body)).toHaveLength(requests + 1);
  }, 30_000);
});
