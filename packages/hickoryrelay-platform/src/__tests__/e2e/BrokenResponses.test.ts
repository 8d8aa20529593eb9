import { once } from 'node:events';
import { createServer } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';
import { failureOf } from 'hickoryrelay/RelayError';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import {
  HttpEndpointSupply,
  HttpInstanceList,
  HttpUsageReportSink,
} from 'hickoryrelay-platform/HttpPlatform';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import type { Failure } from 'hickoryrelay/Failure';
import type { AddressInfo, Socket } from 'node:net';

const cleanUps: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) {
    await cleanUp();
  }
});

/** Calls for each case, since the order of a reset and of the last bytes varies. */
const ROUNDS = 3;

/** Larger than what a loopback connection takes whose receiver does not read. */
const LARGE_VALUE = 'x'.repeat(16_777_216);

/** Starts a service that handles each request when its head has arrived, and reads no more of it. */
async function startService(behaviour: (socket: Socket) => void): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.pause();
      behaviour(socket);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  cleanUps.push(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function makeStore(url: string): EtcdKeyValueStore {
  const store = new EtcdKeyValueStore({ urls: [url], timeoutMilliseconds: 5000 });
  cleanUps.push(() => store.close());
  return store;
}

const failureOfCall = (call: Promise<unknown>): Promise<Failure | undefined> =>
  call.then(() => undefined, failureOf);

const write = (store: EtcdKeyValueStore, value: string) =>
  store.commit({ compare: [], success: [{ type: 'put', key: 'a', value }], failure: [] });

const order = (url: string, kind: string) =>
  new HttpEndpointSupply(url).order(
    { idempotencyKey: 'o-1', kind, zone: 'a', fencingNumber: 1, deadlineMilliseconds: 1 },
    () => {},
  );

const report = (url: string) =>
  new HttpUsageReportSink(url).submit({
    zone: 'a',
    windowStartMilliseconds: 0,
    fencingNumber: 1,
    lines: [],
  });

const register = (url: string) =>
  new HttpInstanceList(url).register({
    name: 'i-1',
    zone: 'a',
    state: 'live',
    callersUrl: 'http://10.0.0.1:8080',
    peersUrl: 'ws://10.0.0.1:7400',
  });

/** Ways in which a service gives up a connection whose request it has not read. */
const BREAKS = {
  'resets at once': (socket: Socket, bytes: string) =>
    socket.write(bytes, () => socket.resetAndDestroy()),
  'resets later': (socket: Socket, bytes: string) =>
    socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), 20)),
  'resets with later bytes': (socket: Socket, bytes: string) => {
    socket.write(bytes.slice(0, -4));
    setTimeout(() => socket.write(bytes.slice(-4), () => socket.resetAndDestroy()), 10);
  },
  closes: (socket: Socket, bytes: string) => socket.end(bytes, () => socket.destroy()),
  // The receiving side of the connection stays open, so that no reset follows.
  'ends its side': (socket: Socket, bytes: string) => socket.end(bytes),
} as const;

const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';

const CASES = (Object.keys(BREAKS) as (keyof typeof BREAKS)[]).flatMap((how) =>
  ['', INTERIM].map((interim) => [how, interim === '' ? 'no' : 'an', interim] as const),
);

/** A whole response to a transaction, followed by spaces that are sent last. */
const COMMITTED =
  '{"header":{"cluster_id":"1","member_id":"1","revision":"5","raft_term":"1"},"succeeded":true}    ';

const UNKNOWN = { kind: 'platform-unavailable', mayHaveTakenEffect: true };

// Guards against a write or an order that is taken for done although its effect is unknown.
describe('a service that answers before it has read the request', () => {
  it.each(CASES)(
    'leaves the outcome unknown if it %s (%s interim response)',
    async (how, _interimName, interim) => {
      const bytes = `${interim}HTTP/1.1 200 OK\r\n\r\n${COMMITTED}`;
      const url = await startService((socket) => BREAKS[how](socket, bytes));
      for (let round = 0; round < ROUNDS; round += 1) {
        expect(await failureOfCall(write(makeStore(url), LARGE_VALUE))).toMatchObject(UNKNOWN);
        expect(await failureOfCall(order(url, LARGE_VALUE))).toMatchObject(UNKNOWN);
      }
    },
  );
});

/** Texts in the place of a final status. Those from 100 to 199 stand for no final response. */
const INVALID_STATUSES = [
  ...['000', '001', '099', '100', '101', '103', '199', '600', '601', '700', '999'],
  ...['0', '20', '1000', '2x0', ''],
] as const;

const statusResponse = (status: string, body: string) =>
  `HTTP/1.1 ${status} Odd\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

// Guards against a response with a status that no response may have (RFC 9110, section 15).
describe('a service that sends an invalid status', () => {
  it.each(INVALID_STATUSES)(
    'leaves the outcome of writes unknown if it is "%s"',
    async (status) => {
      const url = await startService((socket) => socket.end(statusResponse(status, COMMITTED)));
      const calls = [
        () => write(makeStore(url), 'b'),
        () => makeStore(url).grantLease(5),
        () => makeStore(url).keepLeaseAlive('1'),
        () => makeStore(url).revokeLease('1'),
        () => order(url, 'engine'),
        () => report(url),
        () => register(url),
      ];
      for (const call of calls) {
        expect(await failureOfCall(call())).toMatchObject(UNKNOWN);
      }
    },
  );

  it.each(['201', '302', '500', '502', '504'])(
    'leaves the outcome of a write unknown after status %s',
    async (status) => {
      const url = await startService((socket) => socket.end(statusResponse(status, COMMITTED)));
      expect(await failureOfCall(write(makeStore(url), 'b'))).toMatchObject(UNKNOWN);
    },
  );

  // A redirect is neither an acceptance nor a refusal.
  it('does not take an order for accepted after status 302', async () => {
    const url = await startService((socket) => socket.end(statusResponse('302', '{}')));
    expect(await failureOfCall(order(url, 'engine'))).toMatchObject({ kind: 'protocol-violation' });
  });

  it.each(INVALID_STATUSES)('reads nothing if it is "%s"', async (status) => {
    const url = await startService((socket) => socket.end(statusResponse(status, COMMITTED)));
    const calls = [
      () => makeStore(url).get('a'),
      () => makeStore(url).watch('a', StoreRevision.None, new AbortController().signal).next(),
      () => new HttpEndpointSupply(url).list(),
      () => new HttpInstanceList(url).list(),
      () => new HttpUsageReportSink(url).find('a', 0),
    ];
    for (const call of calls) {
      expect(await failureOfCall(call())).toMatchObject({
        kind: 'platform-unavailable',
        mayHaveTakenEffect: false,
      });
    }
  });
});

// Guards against an error that is not one of the platform, so that its reader would not retry.
describe('a key-value service whose response breaks off', () => {
  it.each(['', '{"header":', 'null', '5', '['.repeat(100_000)])(
    'leaves the outcome of a write unknown after the body "%s"',
    async (body) => {
      const url = await startService((socket) =>
        socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`),
      );
      expect(await failureOfCall(write(makeStore(url), 'b'))).toMatchObject(UNKNOWN);
    },
  );
});
