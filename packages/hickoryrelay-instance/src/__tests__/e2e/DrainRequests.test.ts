import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { EventEmitter, once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import {
  array,
  assert,
  asyncProperty,
  boolean,
  constantFrom,
  integer,
  option,
  record,
} from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { Instance } from 'hickoryrelay-instance/Instance';
import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';

const SEEDS = [5, 4242];
const RUNS_PER_SEED = 4;

const REQUEST_STARTED = 'http.server.request.start';

/** The header by which the test recognizes a request. */
const TEST_HEADER = 'x-test-request';

const DEADLINE_SECONDS = 2;

/** When the stop begins, after callers have begun to send. */
const SIGNAL_MILLISECONDS = 400;

const CallKind = {
  Idempotent: 'look',
  AtMostOnce: 'book',
  Stream: 'ask',
} as const;

type CallKind = (typeof CallKind)[keyof typeof CallKind];

const plans = record({
  kind: constantFrom(...Object.values(CallKind)),
  /** How long the endpoint works. */
  workMilliseconds: constantFrom(0, 20, 200, 1000, 4000),
  /** Time between the head and the end of the body. */
  bodyMilliseconds: constantFrom(0, 0, 30, 300, 1500),
  pauseMilliseconds: integer({ min: 0, max: 100 }),
  /** Whether the next request is sent before the response to this one. */
  isFollowed: boolean(),
});

type Plan = Parameters<Parameters<(typeof plans)['map']>[0]>[0];

const drains = record({
  callers: array(
    record({
      startMilliseconds: integer({ min: 0, max: 2500 }),
      requests: array(plans, { minLength: 1, maxLength: 12 }),
    }),
    { minLength: 5, maxLength: 25 },
  ),
  announceSeconds: constantFrom(0, 1),
  /** Time between the first signal and the second. */
  secondSignalMilliseconds: option(integer({ min: 0, max: 3000 })),
});

/** Number of complete responses in the bytes that a connection has received. */
function countResponses(text: string): number {
  let position = 0;
  for (let count = 0; ; count += 1) {
    const headEnd = text.indexOf('\r\n\r\n', position);
    if (headEnd === -1) {
      return count;
    }
    const head = text.slice(position, headEnd);
    const length = /\r\ncontent-length: (\d+)/iu.exec(head)?.[1];
    position = headEnd + 4;
    if (length === undefined) {
      for (let size = -1; size !== 0;) {
        const lineEnd = text.indexOf('\r\n', position);
        size = lineEnd === -1 ? -1 : Number.parseInt(text.slice(position, lineEnd), 16);
        if (size < 0) {
          return count;
        }
        position = lineEnd + 4 + size;
      }
    } else {
      position += Number(length);
    }
    if (position > text.length) {
      return count;
    }
  }
}

/** One connection of a caller: the requests that it was to carry and what came back. */
class CallerConnectionRecord {
  readonly identifiers: string[] = [];

  text = '';

  isAnswered(identifier: string): boolean {
    return this.identifiers.indexOf(identifier) < countResponses(this.text);
  }
}

describe('Requests around the drain of an instance', () => {
  const federation = new LocalFederation();
  /** Identifiers of requests that an endpoint has received. */
  const ran = new Set<string>();
  const endpoint = createServer((request, response) => {
    const [, , identifier = '', milliseconds = ''] = (request.url ?? '').split('/');
    ran.add(identifier);
    request.resume();
    setTimeout(() => {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end('{}');
    }, Number(milliseconds));
  });
  let key = '';

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
    await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: 'zone-a',
      models: ['model-one'],
      times: { prefillRate: 100_000, decodeMilliseconds: 20 },
    });
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
  });

  afterAll(async () => {
    await federation.stop();
    endpoint.closeAllConnections();
    endpoint.close();
  });

  function requestBytes(identifier: string, { kind, workMilliseconds }: Plan): string {
    const isStream = kind === CallKind.Stream;
    const path = isStream
      ? '/v1/chat/completions'
      : `/services/${kind}/${identifier}/${workMilliseconds}`;
    const body = isStream
      ? JSON.stringify({
          model: 'model-one',
          messages: [],
          stream: true,
          max_tokens: 1 + workMilliseconds / 20,
        })
      : '{"some":"text"}';
    return (
      `POST ${path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}\r\n` +
      `${TEST_HEADER}: ${identifier}\r\nContent-Type: application/json\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`
    );
  }

  /** Sends requests on one connection until they are all answered or it closes. */
  async function useConnection(
    name: string,
    address: { port: number; host: string },
    requests: readonly Plan[],
  ): Promise<CallerConnectionRecord> {
    const connection = new CallerConnectionRecord();
    const socket = connect({ ...address, noDelay: true });
    let isOpen = true;
    const received = new EventEmitter();
    const close = () => {
      isOpen = false;
      received.emit('change');
    };
    socket.on('error', close);
    socket.on('end', close);
    socket.on('close', close);
    socket.on('data', (chunk) => {
      connection.text += chunk.toString('latin1');
      received.emit('change');
    });
    for (const [index, plan] of requests.entries()) {
      const identifier = `${name}-${index}`;
      connection.identifiers.push(identifier);
      const bytes = requestBytes(identifier, plan);
      socket.write(bytes.slice(0, -1));
      await federation.clock.sleep(plan.bodyMilliseconds);
      socket.write(bytes.slice(-1));
      const isLast = index === requests.length - 1;
      while (isOpen && (isLast || !plan.isFollowed) && !connection.isAnswered(identifier)) {
        await once(received, 'change');
      }
      if (!isOpen) {
        break;
      }
      await federation.clock.sleep(plan.pauseMilliseconds);
    }
    if (isOpen) {
      socket.end();
    }
    await new Promise<void>((resolve) => {
      socket.on('close', resolve);
      if (socket.closed) {
        resolve();
      }
    });
    return connection;
  }

  /** Requests of the connection that have been read or have run, and got no complete response. */
  function violations(
    { identifiers, text }: CallerConnectionRecord,
    read: ReadonlySet<string>,
  ): string[] {
    const answered = countResponses(text);
    // A response that closes the connection tells the caller that none of the following requests
    // has been handled.
    const isClosed = /\r\nconnection: close\r\n/iu.test(text);
    return identifiers.flatMap((identifier, index) =>
      index >= answered && read.has(identifier) && (ran.has(identifier) || !isClosed)
        ? [
            `${identifier}, behind ${answered} responses, ${ran.has(identifier) ? 'ran' : 'was read'}`,
          ]
        : [],
    );
  }

  async function stopAt(
    instance: Instance,
    secondSignalMilliseconds: number | null,
  ): Promise<void> {
    await federation.clock.sleep(SIGNAL_MILLISECONDS);
    const stopped = instance.stop();
    if (secondSignalMilliseconds !== null) {
      await federation.clock.sleep(secondSignalMilliseconds);
      instance.forceStop();
    }
    await stopped;
  }

  // Guards against a close after the first response that leaves calls behind it without one.
  it('all get a response if they are pipelined while the stop is announced', async () => {
    const instance = await federation.addInstance('entry-pipelined', 'zone-a', {
      drain: { announceSeconds: 1, deadlineSeconds: DEADLINE_SECONDS },
    });
    const { hostname: host, port } = new URL(federation.urlOf(instance));
    const stopped = instance.stop();
    const plan = { bodyMilliseconds: 0, pauseMilliseconds: 0, isFollowed: true } as const;
    const works = ([200, 20, 200] as const).map((workMilliseconds) => ({
      ...plan,
      workMilliseconds,
    }));
    const { text } = await useConnection(
      'pipelined',
      { host, port: Number(port) },
      works.map((work) => ({ ...work, kind: CallKind.AtMostOnce })),
    );
    await stopped;
    expect(countResponses(text)).toBe(works.length);
  });

  it('do not run behind a response that has begun and closes the connection', async () => {
    const instance = await federation.addInstance('entry-close', 'zone-a', {
      drain: { announceSeconds: 1, deadlineSeconds: DEADLINE_SECONDS },
    });
    const { hostname: host, port } = new URL(federation.urlOf(instance));
    const stopped = instance.stop();
    const plan = {
      workMilliseconds: 200,
      bodyMilliseconds: 0,
      pauseMilliseconds: 0,
      isFollowed: true,
    } as const;
    const socket = connect({ port: Number(port), host });
    socket.write(requestBytes('close-0', { ...plan, kind: CallKind.Stream }));
    const [head] = (await once(socket, 'data')) as [Buffer];
    expect(head.toString('latin1')).toMatch(/\r\nconnection: close\r\n/iu);
    socket.write(requestBytes('close-1', { ...plan, kind: CallKind.AtMostOnce }));
    socket.resume();
    await once(socket, 'close');
    expect(ran.has('close-1')).toBe(false);
    await stopped;
  });

  // Guards against requests that come late in the grace time, are passed on and then cut, and
  // against requests that are read and dropped.
  it.each(SEEDS)('get a response if they were read, seed %i', async (seed) => {
    let runs = 0;
    let requestsRead = 0;
    await assert(
      asyncProperty(drains, async ({ callers, announceSeconds, secondSignalMilliseconds }) => {
        runs += 1;
        const instance = await federation.addInstance(`entry-${seed}-${runs}`, 'zone-a', {
          drain: { announceSeconds, deadlineSeconds: DEADLINE_SECONDS },
        });
        const { hostname: host, port } = new URL(federation.urlOf(instance));
        const received = new Map<string, IncomingMessage>();
        const onRequest = (message: unknown) => {
          const { request } = message as { request: IncomingMessage };
          const identifier = request.headers[TEST_HEADER];
          if (typeof identifier === 'string') {
            received.set(identifier, request);
          }
        };
        subscribe(REQUEST_STARTED, onRequest);
        const stopped = stopAt(instance, secondSignalMilliseconds);
        const connections = await Promise.all(
          callers.map(async ({ startMilliseconds, requests }, index) => {
            await federation.clock.sleep(startMilliseconds);
            const name = `r${seed}.${runs}.${index}`;
            return useConnection(name, { host, port: Number(port) }, requests);
          }),
        );
        await stopped;
        unsubscribe(REQUEST_STARTED, onRequest);
        const read = [...received].filter(([, request]) => request.complete);
        requestsRead += read.length;
        const identifiers = new Set([...read.map(([identifier]) => identifier), ...ran]);
        expect(connections.flatMap((connection) => violations(connection, identifiers))).toEqual(
          [],
        );
      }),
      { seed, numRuns: RUNS_PER_SEED, endOnFailure: true },
    );
    expect(requestsRead).toBeGreaterThan(RUNS_PER_SEED);
  });
});
