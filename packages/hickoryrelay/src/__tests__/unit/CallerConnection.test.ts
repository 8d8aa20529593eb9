import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { expect, it } from 'vitest';
import { CallerConnection } from 'hickoryrelay/CallerConnection';
import { ConnectionReads } from 'hickoryrelay/ConnectionReads';

class BufferedReads extends ConnectionReads {
  override bufferedBytes = 0;

  override discard(): void {}

  override detach(): void {}
}

// Guards against a request that has arrived and is closed as idle before it is parsed.
it('A connection is not idle while bytes that were received ahead wait to be parsed', () => {
  const socket = new Socket();
  Object.defineProperty(socket, 'bytesRead', { value: 100 });
  const connection = new CallerConnection(socket);
  const reads = new BufferedReads();
  connection.reads = reads;
  for (const bufferedBytes of [40, 0]) {
    reads.bufferedBytes = bufferedBytes;
    const response = new ServerResponse(new IncomingMessage(socket));
    connection.beginRequest(response);
    response.emit('close');
    expect(connection.isIdle).toBe(bufferedBytes === 0);
  }
});
