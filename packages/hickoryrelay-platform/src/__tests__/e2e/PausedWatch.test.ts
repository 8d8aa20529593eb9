import { once } from 'node:events';
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import type { Failure } from 'hickoryrelay/Failure';
import type { AddressInfo, Socket } from 'node:net';

const WATCHES = 281;
const SMALLEST_BYTES = 20_000;
const STEP_BYTES = 1000;
const START_INTERVAL_MILLISECONDS = 5;
const RESET_MILLISECONDS = 50;

/** Longer than all watches take on a busy machine. */
const WATCHES_TIMEOUT_MILLISECONDS = 20_000;

/** Changes that a reader processes before it waits, as for a fetch of what has changed. */
const CHANGES_BETWEEN_WAITS = 200;
const WAIT_MILLISECONDS = 20;

const HEADER = '{"cluster_id":"1","member_id":"1","revision":"5","raft_term":"1"}';
const EVENT = '{"kv":{"key":"YQ==","mod_revision":"5","value":"YQ=="}}';
const CHANGE = `{"result":{"header":${HEADER},"events":[${EVENT}]}}\n`;
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

/** What is known of a watch that has ended. */
interface WatchEnd {
  readonly changes: number;
  readonly failure: Failure | undefined;
}

const indexes = Array.from({ length: WATCHES }, (_value, index) => index);
const changesOf = (index: number) =>
  Math.ceil((SMALLEST_BYTES + index * STEP_BYTES) / CHANGE.length);
const bodyOf = (index: number) => CHANGE.repeat(changesOf(index));
const SMALLEST_BODY = bodyOf(0);

const UNAVAILABLE = expect.objectContaining({
  kind: FailureKind.PlatformUnavailable,
  mayHaveTakenEffect: false,
}) as Failure;

const cleanUps: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) {
    await cleanUp();
  }
});

function writeWithoutEnd(socket: Socket): void {
  socket.write(SMALLEST_BODY, (error) => {
    if (error == null) {
      writeWithoutEnd(socket);
    }
  });
}

/** Starts a service that sends the head of each watch and then a body. Returns its client. */
async function startService(
  sendBody: (socket: Socket, index: number) => void,
): Promise<EtcdKeyValueStore> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    let request = '';
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', (bytes: Buffer) => {
      request += bytes.toString('latin1');
      const [, key] = /"key":"([^"]+)"/.exec(request) ?? [];
      if (key !== undefined) {
        socket.removeAllListeners('data').resume();
        socket.write(HEAD);
        sendBody(socket, Number(Buffer.from(key, 'base64').toString()));
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  cleanUps.push(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const store = new EtcdKeyValueStore({ urls: [`http://127.0.0.1:${port}`] });
  cleanUps.push(() => store.close());
  return store;
}

/** Records the errors that nothing catches. */
function recordUncaught(): Error[] {
  const uncaught: Error[] = [];
  const onUncaught = (error: Error) => uncaught.push(error);
  process.on('uncaughtException', onUncaught);
  cleanUps.push(() => process.off('uncaughtException', onUncaught));
  return uncaught;
}

/** Reads a watch more slowly than its changes arrive. */
async function readSlowly(store: EtcdKeyValueStore, index: number): Promise<WatchEnd> {
  const signal = AbortSignal.timeout(WATCHES_TIMEOUT_MILLISECONDS);
  let changes = 0;
  try {
    for await (const { events } of store.watch(String(index), new StoreRevision(0, 1), signal)) {
      changes += events.length;
      if (changes % CHANGES_BETWEEN_WAITS === 1) {
        await sleep(WAIT_MILLISECONDS);
      }
    }
  } catch (error) {
    return { changes, failure: failureOf(error) };
  }
  return { changes, failure: undefined };
}

function readAll(store: EtcdKeyValueStore): Promise<WatchEnd[]> {
  return Promise.all(
    indexes.map(async (index) => {
      await sleep(index * START_INTERVAL_MILLISECONDS);
      return readSlowly(store, index);
    }),
  );
}

const RESETS = [
  ['after all changes', (socket: Socket, index: number) => socket.write(bodyOf(index))],
  ['while changes arrive without end', writeWithoutEnd],
] as const;

// Guards against a process that ends because the connection of a watch ends while it is not read.
describe('A watch without a length that is read slowly', () => {
  it('yields all changes when its connection is closed', async () => {
    const uncaught = recordUncaught();
    const store = await startService((socket, index) => socket.end(bodyOf(index)));
    const ends = await readAll(store);
    expect(uncaught).toEqual([]);
    expect(ends).toEqual(
      indexes.map((index) => ({ changes: changesOf(index), failure: UNAVAILABLE })),
    );
  });

  it.each(RESETS)('fails when its connection is reset %s', async (_name, sendBody) => {
    const uncaught = recordUncaught();
    const store = await startService((socket, index) => {
      sendBody(socket, index);
      setTimeout(() => socket.resetAndDestroy(), RESET_MILLISECONDS);
    });
    const ends = await readAll(store);
    expect(uncaught).toEqual([]);
    expect(ends.map(({ failure }) => failure)).toEqual(Array(WATCHES).fill(UNAVAILABLE));
  });
});
