import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { CallerConnections } from 'hickoryrelay/CallerConnections';
import { SystemClock } from 'hickoryrelay/Clock';
import { ConnectionCloseReason } from 'hickoryrelay/ConnectionClosing';
import { FailureKind } from 'hickoryrelay/Failure';
import { sendWhole } from 'hickoryrelay/ResponseFraming';
import { CallSeries } from 'hickoryrelay-instance/CallMetrics';
import { CallTimer } from 'hickoryrelay-instance/CallTimer';
import { HttpResponseWriter } from 'hickoryrelay-instance/HttpResponseWriter';

import type { Call } from 'hickoryrelay-link/Call';
import type { AddressInfo } from 'node:net';

const WHOLE_BODY = 'x'.repeat(300_000);

// Guards against a reset that discards a whole response before a call that is cut.
it('A call that is cut leaves the responses before it to a caller that sends more', async () => {
  const clock = new SystemClock();
  let cuts = 0;
  const server = createServer();
  const connections = new CallerConnections(server);
  server.on('request', async (request, response) => {
    connections.beginRequest(request.socket, response);
    if (request.url === '/whole') {
      sendWhole(response, 200, {}, WHOLE_BODY);
      return;
    }
    const writer = new HttpResponseWriter({
      response,
      requestIdentifier: 'cut',
      timer: new CallTimer({ arrivalMilliseconds: 0 } as Call, new CallSeries('a', 'c'), clock),
      clock,
      stallTimeoutMilliseconds: 60_000,
      onCut: () => connections.cut(response, ConnectionCloseReason.IncompleteResponse),
    });
    writer.begin(200, 'application/json');
    await writer.write(Buffer.from('{"half":'), new AbortController().signal);
    await sleep(300);
    const failure = { kind: FailureKind.DeadlineExceeded, limitMilliseconds: 1 };
    await writer.fail({ failure, requestIdentifier: 'cut', notRun: false });
    cuts += 1;
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1');
  let text = '';
  const closed = new Promise((resolve) => {
    caller.on('close', resolve);
  });
  caller.on('error', () => {});
  caller.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  const requestOf = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
  caller.pause();
  caller.write(requestOf('/whole') + requestOf('/cut'));
  while (cuts === 0) {
    await sleep(10);
  }
  await sleep(100);
  caller.write(requestOf('/next'));
  await sleep(100);
  caller.resume();
  await closed;
  server.close();
  expect(text).toContain(WHOLE_BODY);
});
