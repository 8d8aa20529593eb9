import { once } from 'node:events';
import { connect } from 'node:net';

import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';
import type { ServiceStandIn } from 'hickoryrelay-standin/ServiceStandIn';

const BODY_LIMIT = 4096;
const OTHER_KEY = `hrk_${'a'.repeat(12)}_${'b'.repeat(48)}`;

interface ErrorResponseBody {
  readonly error: { readonly code: string; readonly not_run: boolean };
}

// Guards against invalid requests that reach an endpoint, leak an access key to it, or get no typed
// error response.
describe('bad input', () => {
  const federation = new LocalFederation();
  let engine: EngineStandIn;
  let service: ServiceStandIn;
  let key = '';
  let url = '';

  beforeAll(async () => {
    await federation.start();
    engine = await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: 'zone-a',
      models: ['model-one'],
      times: { prefillRate: 100_000, decodeMilliseconds: 1 },
    });
    service = await federation.addService('service-1', 'service', 'zone-a');
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    const limits = { bodyBytes: BODY_LIMIT, headerBytes: 4096, requestSeconds: 1 };
    url = federation.urlOf(await federation.addInstance('entry-1', 'zone-a', { limits }));
  });

  afterAll(() => federation.stop());

  const validBody = () => ({ model: 'model-one', messages: [{ role: 'user', content: 'hi' }] });
  const nestedArray = (depth: number): unknown => (depth === 0 ? 1 : [nestedArray(depth - 1)]);

  const cases: [string, object, unknown, number, string, string?][] = [
    ['malformed JSON', {}, '{"model":', 400, 'invalid-request'],
    ['an array as body', {}, '[]', 400, 'invalid-request'],
    ['no model', {}, { messages: [] }, 400, 'invalid-request'],
    ['a model of the wrong type', {}, { model: 7, messages: [] }, 400, 'invalid-request'],
    ['an unknown model', {}, { model: 'none', messages: [] }, 404, 'not-found'],
    [
      'messages of the wrong type',
      {},
      { model: 'model-one', messages: 'x' },
      400,
      'invalid-request',
    ],
    [
      'a wrong content type',
      { 'content-type': 'text/plain' },
      validBody(),
      415,
      'unsupported-media-type',
    ],
    [
      'a body over the limit',
      {},
      { ...validBody(), user: 'x'.repeat(BODY_LIMIT) },
      413,
      'request-too-large',
    ],
    ['deep nesting', {}, { ...validBody(), tools: nestedArray(100) }, 400, 'invalid-request'],
    ['a key in the body', {}, { ...validBody(), api_key: 'x' }, 400, 'invalid-request'],
    [
      'a key in a prompt',
      {},
      { model: 'model-one', messages: [{ role: 'user', content: OTHER_KEY }] },
      400,
      'invalid-request',
    ],
    ['a key in the query', {}, validBody(), 400, 'invalid-request', '?api_key=x'],
    ['a key as a query value', {}, validBody(), 400, 'invalid-request', `?q=${OTHER_KEY}`],
    ['a second credential', { 'x-api-key': 'x' }, validBody(), 400, 'invalid-request'],
    ['an unknown class', { 'x-class-of-work': 'none' }, validBody(), 404, 'not-found'],
  ];

  it.each(cases)(
    'responds to %s with a typed error',
    async (name, headers, body, status, code, query) => {
      const receivedBefore = engine.received.length;
      const response = await request(`${url}/v1/chat/completions${query ?? ''}`, {
        method: 'POST',
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
        body: typeof body === 'string' ? body : JSON.stringify(body),
      });
      const responseBody = (await response.body.json()) as ErrorResponseBody;
      expect([response.statusCode, responseBody.error.code]).toEqual([status, code]);
      expect(responseBody.error.not_run).toBe(true);
      expect(engine.received.length).toBe(receivedBefore);
    },
  );

  it.each([
    ['the path', `/services/book/${OTHER_KEY}`, {}, ''],
    [
      'the content type',
      '/services/book/new',
      { 'content-type': `text/plain; k=${OTHER_KEY}` },
      '',
    ],
    ['the body', '/services/book/new', {}, `text ${OTHER_KEY} text`],
  ])('does not pass an access key in %s on to a service', async (name, path, headers, body) => {
    const response = await request(`${url}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, ...headers },
      body,
    });
    await response.body.dump();
    expect(response.statusCode).toBe(400);
    expect(JSON.stringify(service.received)).not.toContain(OTHER_KEY);
  });

  /** Sends raw bytes and returns everything received until the connection closes. */
  async function sendRaw(text: string): Promise<string> {
    const { hostname, port } = new URL(url);
    const socket = connect(Number(port), hostname);
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('utf8');
    });
    socket.on('error', () => {});
    socket.write(text);
    await once(socket, 'close');
    return received;
  }

  const requestHead = (lines: string) =>
    `POST /v1/chat/completions HTTP/1.1\r\nhost: relay\r\n${lines}`;

  it.each([
    ['malformed HTTP', 'NOT HTTP\r\n\r\n', 400, 'invalid-request'],
    [
      'an oversized header',
      requestHead(`x: ${'y'.repeat(8192)}\r\n\r\n`),
      413,
      'request-too-large',
    ],
    [
      'conflicting lengths',
      requestHead('content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'),
      400,
      'invalid-request',
    ],
    ['an incomplete header', requestHead(''), 408, 'request-timeout'],
  ])('responds to %s and closes the connection', async (name, text, status, code) => {
    const received = await sendRaw(text);
    expect(received).toContain(`HTTP/1.1 ${status} `);
    expect(received).toContain(`"code":"${code}"`);
  });

  it('responds to an incomplete body with a timeout', async () => {
    const lines = [
      `authorization: Bearer ${key}`,
      'content-type: application/json',
      'content-length: 100',
    ];
    const received = await sendRaw(requestHead(`${lines.join('\r\n')}\r\n\r\n{`));
    expect(received).toContain('"code":"request-timeout"');
    expect(received).toContain('"not_run":true');
  });

  it('refuses two authorization headers', async () => {
    const lines = `authorization: Bearer ${key}\r\nauthorization: Bearer ${OTHER_KEY}\r\n`;
    const received = await sendRaw(
      requestHead(`${lines}content-length: 0\r\nconnection: close\r\n\r\n`),
    );
    expect(received).toContain('HTTP/1.1 400 ');
  });

  // Guards against headers behind the thousandth that the HTTP server drops, such as the key of a call.
  it('reads every header line of a call within the limit', async () => {
    const shortLines = Array.from({ length: 1500 }, () => 'n:\r\n');
    const received = await sendRaw(
      `POST /services/book/new HTTP/1.1\r\nHost: h\r\n${shortLines.join('')}` +
        `Authorization: Bearer ${key}\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n` +
        'Connection: close\r\n\r\nbody',
    );
    expect(received).toContain('HTTP/1.1 200 ');
  });

  it.each([
    ['bytes that are no request', 'no request\r\n\r\n'],
    ['a CONNECT request', 'CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n'],
  ])('responds to a call before it rejects %s', async (_name, bytes) => {
    const { hostname, port } = new URL(url);
    const caller = connect(Number(port), hostname);
    let text = '';
    caller.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    caller.write(
      `POST /services/look/up HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}\r\n` +
        `Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody${bytes}`,
    );
    await once(caller, 'close');
    expect(text).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*HTTP\/1\.1 400 Bad Request\r\n/u);
  });
});
