import { createServer, request } from 'node:http';
import { connect } from 'node:net';

import { describe, expect, it } from 'vitest';
import { SystemClock } from 'hickoryrelay/Clock';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { dropCollected, MAXIMUM_COLLECTED_BYTES } from 'hickoryrelay/ResponseFraming';
import { CallSeries } from 'hickoryrelay-instance/CallMetrics';
import { CallTimer } from 'hickoryrelay-instance/CallTimer';
import { HttpResponseWriter } from 'hickoryrelay-instance/HttpResponseWriter';

import type { Call } from 'hickoryrelay-link/Call';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const clock = new SystemClock();
const LARGE_CHUNK = Buffer.alloc(1_048_576);

function createWriter(
  response: ServerResponse,
  stallTimeoutMilliseconds = 60_000,
): HttpResponseWriter {
  return new HttpResponseWriter({
    response,
    requestIdentifier: 'request-1',
    timer: new CallTimer({ arrivalMilliseconds: 0 } as Call, new CallSeries('a', 'c'), clock),
    clock,
    stallTimeoutMilliseconds,
  });
}

describe('the HTTP response writer', () => {
  // Guards against a failed event stream that a caller cannot tell from a complete one.
  it('ends an event stream that fails with an error event', async () => {
    const responseBody = await new Promise<string>((resolve) => {
      const server = createServer(async (incoming, response) => {
        const writer = createWriter(response);
        writer.begin(200, 'text/event-stream');
        await writer.write(Buffer.from('data: {}\n\n'), new AbortController().signal);
        const failure = { kind: FailureKind.DeadlineExceeded, limitMilliseconds: 1 };
        await writer.fail({ failure, requestIdentifier: 'request-1', notRun: false });
        server.close();
      });
      server.listen(0, '127.0.0.1', () => {
        const { port } = server.address() as AddressInfo;
        const call = request({ port, host: '127.0.0.1' }, async (incomingResponse) => {
          resolve(String(Buffer.concat(await incomingResponse.toArray())));
        });
        call.end();
      });
    });
    expect(responseBody).toMatch(/^data: \{\}\n\ndata: \{"error":.*"deadline-exceeded"/u);
  });

  // Guards against a response that looks complete to a caller without chunks when it is cut off.
  it('sends a caller that speaks HTTP/1.0 nothing before the response is complete', async () => {
    const received = await new Promise<string>((resolve) => {
      const server = createServer(async (_incoming, response) => {
        const writer = createWriter(response);
        writer.begin(200, 'application/json');
        await writer.write(Buffer.from('{"half":'), new AbortController().signal);
        response.destroy();
        server.close();
      });
      server.listen(0, '127.0.0.1', () => {
        const { port } = server.address() as AddressInfo;
        const socket = connect(port, '127.0.0.1', () => socket.write('GET / HTTP/1.0\r\n\r\n'));
        let text = '';
        socket.on('data', (chunk) => {
          text += String(chunk);
        });
        socket.on('close', () => resolve(text));
      });
    });
    expect(received).toBe('');
  });

  // Guards against a connection that closes without an answer although nothing has been sent.
  it.each([
    ['fails', 8, false],
    ['is too long', MAXIMUM_COLLECTED_BYTES + 1, false],
    ['is dropped', 8, true],
  ])(
    'sends a caller that speaks HTTP/1.0 the failure of a response that %s',
    async (_how, bytes, isDropped) => {
      const received = await new Promise<string>((resolve) => {
        const server = createServer((_incoming, response) => {
          const writer = createWriter(response);
          const respond = async () => {
            writer.begin(200, 'text/event-stream');
            await writer.write(Buffer.alloc(bytes), new AbortController().signal);
            if (isDropped) {
              dropCollected(response);
              await writer.end();
            }
            throw new RelayError({ kind: FailureKind.DeadlineExceeded, limitMilliseconds: 1 });
          };
          respond().catch((error: unknown) =>
            writer.fail({
              failure: failureOf(error),
              requestIdentifier: 'request-1',
              notRun: false,
            }),
          );
          server.close();
        });
        server.listen(0, '127.0.0.1', () => {
          const { port } = server.address() as AddressInfo;
          const socket = connect(port, '127.0.0.1', () => socket.write('GET / HTTP/1.0\r\n\r\n'));
          let text = '';
          socket.on('error', () => {});
          socket.on('data', (chunk) => {
            text += String(chunk);
          });
          socket.on('close', () => resolve(text));
        });
      });
      expect(received).toMatch(/^HTTP\/1\.1 50[24] [^]*\r\n\r\n\{"error":.*\}$/u);
    },
  );

  // Guards against a cancelled call that is held open by the write buffer of a caller that never reads.
  it('stops waiting for a caller that does not read when the call is cancelled', async () => {
    const cancel = new AbortController();
    const outcome = new Promise<unknown>((resolve) => {
      const server = createServer((incoming, response) => {
        const writer = createWriter(response);
        const writeUntilCancelled = async () => {
          writer.begin(200, 'text/event-stream');
          for (;;) {
            setTimeout(() => cancel.abort(), 50);
            await writer.write(LARGE_CHUNK, cancel.signal);
          }
        };
        writeUntilCancelled().catch(async (error: unknown) => {
          const failure = { kind: FailureKind.DeadlineExceeded, limitMilliseconds: 1 };
          await writer.fail({ failure, requestIdentifier: 'request-1', notRun: false });
          resolve({ error, isDestroyed: response.destroyed });
          server.close();
        });
      });
      server.listen(0, '127.0.0.1', () => {
        const { port } = server.address() as AddressInfo;
        const call = request({ port, host: '127.0.0.1' }, (incomingResponse) =>
          incomingResponse.pause(),
        );
        call.on('error', () => {});
        call.end();
      });
    });
    expect(await outcome).toMatchObject({
      error: { failure: { kind: 'cancelled' } },
      isDestroyed: true,
    });
  });

  // Guards against taking a response that waits behind another one for one that is not read.
  it('does not close the connection while the response waits for an earlier one', async () => {
    const text = await new Promise<string>((resolve) => {
      const first: ServerResponse[] = [];
      const server = createServer(async (incoming, response) => {
        if (first.length === 0) {
          first.push(response);
          return;
        }
        const writer = createWriter(response, 50);
        writer.begin(200, 'text/event-stream');
        setTimeout(() => first[0]?.end('first'), 300);
        await writer.write(LARGE_CHUNK, new AbortController().signal);
        await writer.end();
      });
      server.listen(0, '127.0.0.1', () => {
        const { port } = server.address() as AddressInfo;
        const caller = connect(port, '127.0.0.1', () => {
          caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(2));
        });
        let received = '';
        caller.on('data', (chunk) => {
          received += chunk.toString('latin1');
          if (received.endsWith('\r\n0\r\n\r\n') && received.includes('event-stream')) {
            caller.end();
          }
        });
        caller.on('close', () => {
          server.close();
          resolve(received);
        });
      });
    });
    expect(text).toContain('first');
    expect(text.split('\0')).toHaveLength(LARGE_CHUNK.length + 1);
  });
});
