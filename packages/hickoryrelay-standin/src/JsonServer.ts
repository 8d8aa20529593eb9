import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { Fault, FaultPlan } from './FaultPlan.js';
import { FaultKind, FaultTally } from './FaultTally.js';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request as a stand-in sees it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly rawHeaders: readonly string[];
  readonly text: string;
}

/** An answer of a stand-in: a status and a JSON body. */
export interface JsonAnswer {
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

/** A small HTTP/JSON server with faults. An override decides the answers. */
export abstract class JsonServer {
  readonly faults = new FaultPlan();

  /** Takes the faults that took effect. */
  tally = new FaultTally();

  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => {
      void this.serve(request, response).catch(() => response.destroy());
    });
  }

  protected abstract answer(request: ReceivedRequest): JsonAnswer | Promise<JsonAnswer>;

  /** Takes over a request that does not get one JSON answer. Returns whether it did. */
  protected handleStream?(request: ReceivedRequest, response: ServerResponse): Promise<boolean>;

  /** Base URL, once listening. */
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

  /** Closes the server and cuts all connections. */
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
    const fault = this.faults.take();
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
    if (fault === Fault.LoseAnswer) {
      this.tally.count(FaultKind.LostAnswer);
      request.socket.destroy();
    } else if (fault === Fault.None) {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body));
    } else {
      this.tally.count(FaultKind.SilentConnection);
    }
  }
}
