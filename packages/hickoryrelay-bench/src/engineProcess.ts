import { createServer } from 'node:http';

import { epochMilliseconds } from './BenchMessages.js';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

// An engine that streams one token per event and write at a fixed interval, or returns the complete
// response at once if the request does not stream.

const gapMilliseconds = Number(process.argv[2]);

async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>;
}

function sendCompleteResponse(response: ServerResponse, id: unknown, model: unknown): void {
  const message = { role: 'assistant', content: 'measured' };
  const usage = { prompt_tokens: 1, completion_tokens: 1, total_tokens: 2 };
  const choices = [{ index: 0, message, finish_reason: 'stop' }];
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(
    JSON.stringify({ id, object: 'chat.completion', created: 0, model, choices, usage }),
  );
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { request_id: id, model, stream } = await readJson(request);
  if (stream !== true) {
    sendCompleteResponse(response, id, model);
    return;
  }
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  const startMilliseconds = performance.now();
  let index = 0;
  let timer: NodeJS.Timeout;
  const send = () => {
    // The token text is its send time, from which the caller computes the transit time.
    const content = epochMilliseconds().toFixed(3);
    const event = {
      id,
      token_index: index,
      object: 'chat.completion.chunk',
      created: 0,
      model,
      choices: [{ index: 0, delta: { content }, finish_reason: null }],
    };
    index += 1;
    response.write(`data: ${JSON.stringify(event)}\n\n`);
    // Scheduled by due time: interval timers of many streams drift together and fire in bursts,
    // whose delay hides that of the relay.
    const dueMilliseconds = startMilliseconds + index * gapMilliseconds;
    timer = setTimeout(send, Math.max(0, dueMilliseconds - performance.now()));
  };
  send();
  response.once('close', () => clearTimeout(timer));
}

const server = createServer((request, response) => {
  if (request.method !== 'POST') {
    response.writeHead(404).end('{}');
    return;
  }
  void serve(request, response);
});
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.send?.({ type: 'ready', url: `http://127.0.0.1:${port}` });
});
process.once('disconnect', () => process.exit(0));
