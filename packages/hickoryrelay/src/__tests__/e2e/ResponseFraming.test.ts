import { createServer } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import {
  collectedBytesOf,
  dropCollected,
  framingFor,
  MAXIMUM_COLLECTED_BYTES,
  sendWhole,
} from 'hickoryrelay/ResponseFraming';

import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const cleanUps: (() => unknown)[] = [];

afterEach(() => cleanUps.splice(0).forEach((cleanUp) => cleanUp()));

/** Sends one request and returns the bytes of the response once the connection has closed. */
async function exchange(
  requestHead: string,
  respond: (response: ServerResponse) => unknown,
): Promise<string> {
  const server = createServer((_request, response) => respond(response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanUps.push(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1', () =>
    socket.write(`${requestHead}\r\nHost: h\r\nConnection: close\r\n\r\n`),
  );
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => {});
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  return text;
}

function respondInParts(response: ServerResponse): void {
  const framing = framingFor(response);
  framing.start(200, ['X-Kept', '1']);
  framing.write(Buffer.from('one '));
  framing.write(Buffer.from('two'));
  framing.end();
}

// Guards against a response that looks complete when its connection closes early.
describe('the framing of a response of unknown length', () => {
  it('is chunked for a caller that speaks HTTP/1.1', async () => {
    const text = await exchange('GET / HTTP/1.1', respondInParts);
    expect(text).toMatch(/X-Kept: 1[^]*Transfer-Encoding: chunked\r\n\r\n/u);
    expect(text).toMatch(/4\r\none \r\n3\r\ntwo\r\n0\r\n\r\n$/u);
  });

  it('is a length for a caller that speaks HTTP/1.0', async () => {
    const text = await exchange('GET / HTTP/1.0', respondInParts);
    expect(text).toMatch(/X-Kept: 1\r\nContent-Length: 7\r\n[^]*\r\n\r\none two$/u);
    expect(text).not.toMatch(/transfer-encoding/iu);
  });

  it('sends nothing to a caller that speaks HTTP/1.0 while the response is not complete', async () => {
    const text = await exchange('GET / HTTP/1.0', (response) => {
      const framing = framingFor(response);
      framing.start(200, []);
      framing.write(Buffer.from('one'));
      expect(framing.hasStarted).toBe(true);
      response.destroy();
    });
    expect(text).toBe('');
  });

  // Guards against memory that grows with a response which never ends, and against a reset in its place.
  it('lets another response replace one that exceeds the limit', async () => {
    const text = await exchange('GET / HTTP/1.0', (response) => {
      const framing = framingFor(response);
      framing.start(200, []);
      expect(framing.write(Buffer.alloc(MAXIMUM_COLLECTED_BYTES))).toBe(true);
      expect(framing.isOverLimit).toBe(false);
      expect(framing.write(Buffer.alloc(1))).toBe(false);
      expect(framing.isOverLimit).toBe(true);
      expect(framing.hasSent).toBe(false);
      framing.discard();
      expect(collectedBytesOf(response)).toBe(0);
      sendWhole(response, 502, [], 'too long');
    });
    expect(text).toMatch(/^HTTP\/1\.1 502 [^]*\r\nContent-Length: 8\r\n[^]*\r\n\r\ntoo long$/u);
  });

  // Guards against a part of a response that looks whole.
  it('lets another response replace one of which the parts were dropped', async () => {
    const text = await exchange('GET / HTTP/1.0', (response) => {
      const framing = framingFor(response);
      framing.start(200, []);
      framing.write(Buffer.from('one'));
      dropCollected(response);
      expect(collectedBytesOf(response)).toBe(0);
      expect(framing.write(Buffer.from('two'))).toBe(false);
      expect(framing.isOverLimit).toBe(true);
      expect(framing.hasSent).toBe(false);
      framing.discard();
      sendWhole(response, 502, [], 'dropped');
    });
    expect(text).toMatch(/^HTTP\/1\.1 502 [^]*\r\nContent-Length: 7\r\n[^]*\r\n\r\ndropped$/u);
  });

  it.each(['GET / HTTP/1.1', 'GET / HTTP/1.0'])('of "%s" keeps a known length', async (head) => {
    const text = await exchange(head, (response) => {
      const framing = framingFor(response);
      framing.start(200, { 'x-kept': '1' }, 3);
      framing.write(Buffer.from('one'));
      framing.end();
    });
    expect(text).toMatch(/x-kept: 1\r\ncontent-length: 3\r\n[^]*\r\n\r\none$/u);
  });

  it.each(['HEAD / HTTP/1.1', 'HEAD / HTTP/1.0'])('of "%s" has no length', async (head) => {
    const text = await exchange(head, (response) => {
      const framing = framingFor(response);
      framing.start(200, []);
      framing.end();
    });
    expect(text).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\n$/u);
    expect(text).not.toMatch(/content-length|transfer-encoding/iu);
  });
});

describe('sendWhole', () => {
  it('states the length in bytes', async () => {
    const text = await exchange('GET / HTTP/1.0', (response) =>
      sendWhole(response, 404, { 'x-kept': '1' }, 'ä'),
    );
    expect(text).toMatch(/^HTTP\/1\.1 404 [^]*content-length: 2\r\n/u);
  });
});
