import { afterEach, describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { ServiceLink } from 'hickoryrelay-link/ServiceLink';
import { EndlessEndpoint } from 'hickoryrelay-standin/EndlessEndpoint';
import { EndlessResponseKind } from 'hickoryrelay-standin/EndlessResponse';

import type { Failure } from 'hickoryrelay/Failure';
import type { ServiceCall } from 'hickoryrelay-link/Call';

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

/** Bytes that socket buffers take in beyond what the link reads. */
const SOCKET_BUFFER_BYTES = 16_777_216;

/** Time within which the response has to fail by itself. */
const CANCEL_MILLISECONDS = 5000;

/** Responses that go on without end besides their body. */
const KINDS = [
  EndlessResponseKind.Head,
  EndlessResponseKind.HeaderLines,
  EndlessResponseKind.InterimResponses,
  EndlessResponseKind.OtherBytes,
  EndlessResponseKind.OneByteChunks,
  EndlessResponseKind.ChunkExtensions,
  EndlessResponseKind.OtherChunkSize,
  EndlessResponseKind.Trailers,
] as const;

const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) {
    await cleanUp();
  }
});

async function start(
  kind: EndlessResponseKind,
  status: number,
): Promise<{ server: EndlessEndpoint; link: ServiceLink }> {
  const server = new EndlessEndpoint(kind, status);
  await server.listen();
  cleanUps.push(() => server.close());
  const link = new ServiceLink({ identifier: 'e-1', zone: 'z', url: `http://${server.address}` });
  cleanUps.push(() => link.close());
  return { server, link };
}

/** Reads a response to its end. Returns its failure, if any. */
async function readToEnd(link: ServiceLink, call: ServiceCall): Promise<Failure | undefined> {
  const response = link.send(call, AbortSignal.timeout(CANCEL_MILLISECONDS));
  try {
    await response.headReceived;
    for await (const chunk of response.chunks) {
      expect(chunk.length).toBeGreaterThan(0);
    }
    return undefined;
  } catch (error) {
    return failureOf(error);
  }
}

async function expectClosed(server: EndlessEndpoint): Promise<void> {
  await expect.poll(() => server.openConnections, { timeout: 30_000 }).toBe(0);
  expect(server.bytesWritten).toBeLessThan(SOCKET_BUFFER_BYTES);
}

const STATUSES = [200, 500];

const CONNECTIONS = [
  ['a connection of the pool', true],
  ['a connection of its own', false],
] as const;

const CASES = KINDS.flatMap((kind) =>
  STATUSES.flatMap((status) =>
    CONNECTIONS.map(([connection, isIdempotent]) => ({ kind, status, connection, isIdempotent })),
  ),
);

// Guards against an endpoint that takes the time of the event loop for as long as the call may last, with
// bytes of which the client library shows nothing.
describe('a response that goes on without end besides its body', () => {
  it.each(CASES)(
    'fails and closes its connection: $kind, status $status, $connection',
    async ({ kind, status, isIdempotent }) => {
      const { server, link } = await start(kind, status);
      const failure = await readToEnd(link, { ...CALL, isIdempotent });
      expect([FailureKind.EndpointFailed, FailureKind.ProtocolViolation]).toContain(failure?.kind);
      await expectClosed(server);
    },
  );

  it.each(CONNECTIONS)(
    'is not read once it is complete, on %s',
    async (_connection, isIdempotent) => {
      const { server, link } = await start(EndlessResponseKind.PastLength, 200);
      expect(await readToEnd(link, { ...CALL, isIdempotent })).toBeUndefined();
      await expectClosed(server);
    },
  );
});
