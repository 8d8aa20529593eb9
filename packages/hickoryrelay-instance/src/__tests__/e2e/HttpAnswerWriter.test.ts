import { createServer, request } from 'node:http';

import { CallSeries } from 'hickoryrelay-instance/CallMetrics';
import { CallTimer } from 'hickoryrelay-instance/CallTimer';
import { HttpAnswerWriter } from 'hickoryrelay-instance/HttpAnswerWriter';
import { SystemClock } from 'hickoryrelay/Clock';
import { FailureKind } from 'hickoryrelay/Failure';
import { describe, expect, it } from 'vitest';

import type { AddressInfo } from 'node:net';
import type { Call } from 'hickoryrelay-link/Call';

const clock = new SystemClock();
const BLOCK = Buffer.alloc(1_048_576);

describe('the writer of HTTP answers', () => {
  it('does not wait for a caller that never reads once the call is cancelled', async () => {
    const cancel = new AbortController();
    const outcome = new Promise<unknown>((resolve) => {
      const server = createServer((incoming, response) => {
        const writer = new HttpAnswerWriter({
          response,
          requestIdentifier: 'request-1',
          timer: new CallTimer({ arrivalMilliseconds: 0 } as Call, new CallSeries('a', 'c'), clock),
          clock,
          stallMilliseconds: 60_000,
        });
        const writeUntilCancelled = async () => {
          writer.begin(200, 'text/event-stream');
          for (;;) {
            setTimeout(() => cancel.abort(), 50);
            await writer.write(BLOCK, cancel.signal);
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
        const call = request({ port, host: '127.0.0.1' }, (answer) => answer.pause());
        call.on('error', () => {});
        call.end();
      });
    });
    expect(await outcome).toMatchObject({
      error: { failure: { kind: 'cancelled' } },
      isDestroyed: true,
    });
  });
});
