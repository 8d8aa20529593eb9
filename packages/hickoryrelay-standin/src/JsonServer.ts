import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { Fault, FaultPlan } from './FaultPlan.js';
import { FaultKind, FaultTally } from './FaultTally.js';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** An HTTP request as received by a stand-in. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly rawHeaders: readonly string[];
  readonly text: string;
}

/** Status and JSON body of a response. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** HTTP/JSON server with fault injection. Subclasses provide the responses. */
export abstract class JsonServer {
  readonly faults = new FaultPlan();

  /** Headers of all responses, also of refusals. */
  protected readonly responseHeaders = new Map<string, string>();

  /** Counts the injected faults that took effect. */
  tally = new FaultTally();

  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => {
      void this.serve(request, response).catch(() => response.destroy());
    });
  }

  protected abstract answer(request: ReceivedRequest): JsonResponse | Promise<JsonResponse>;

  /** Handles a request whose response is not a single JSON body. Returns whether it did. */
  protected handleStream?(request: ReceivedRequest, response: ServerResponse): Promise<boolean>;

  /** Base URL. Available once the server listens. */
  get url(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `http://${address}:${port}`;
  }

  async listen(port = 0, address = '127.0.0.1'): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Closes the server and all open connections. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const received: ReceivedRequest = {
      method: request.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      rawHeaders: request.rawHeaders,
      text: await readText(request),
    };
    const identifier = request.headers['x-request-id'];
    if (identifier !== undefined) {
      response.setHeader('x-request-id', identifier);
    }
    this.responseHeaders.forEach((value, name) => response.setHeader(name, value));
    const fault = this.faults.takeNext();
    if (this.faults.delayMilliseconds > 0) {
      await sleep(this.faults.delayMilliseconds);
    }
    if (fault === Fault.Refuse) {
      this.tally.count(FaultKind.Refusal);
      response.writeHead(503).end();
      return;
    }
    const isStream = fault === Fault.None && (await this.handleStream?.(received, response));
    if (isStream === true) {
      return;
    }
    const { status, body } = await this.answer(received);
    if (fault === Fault.LoseResponse) {
      this.tally.count(FaultKind.LostResponse);
      request.socket.destroy();
    } else if (fault === Fault.None) {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body));
    } else {
      this.tally.count(FaultKind.SilentConnection);
    }
  }
}
