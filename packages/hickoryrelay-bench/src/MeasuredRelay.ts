import { createServer } from 'node:http';

import { Pool } from 'undici';
import { SystemClock } from 'hickoryrelay/Clock';
import { createProcessLogger } from 'hickoryrelay/Logger';
import { SystemRandomSource } from 'hickoryrelay/RandomSource';
import { ConcurrencyLimitAdmission } from 'hickoryrelay-admission/AdmissionPolicy';
import { settingsSchema } from 'hickoryrelay-contract/Settings';
import { Instance } from 'hickoryrelay-instance/Instance';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import {
  HttpEndpointSupply,
  HttpInstanceList,
  HttpUsageReportSink,
} from 'hickoryrelay-platform/HttpPlatform';

import { RelayKind } from './BenchMessages.js';
import type { RelayOptions } from './BenchMessages.js';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Readable } from 'node:stream';

const MAX_STREAMS = 10_000;
const READY_POLL_INTERVAL_MILLISECONDS = 25;
const EVENT_END = '\n\n';
const DATA_PREFIX = 'data: ';

/** A relay whose cost is measured. Subclasses define how a response is processed. */
export abstract class MeasuredRelay {
  /** Starts listening and returns the base URL. */
  abstract start(): Promise<string>;
}

/** The minimal relay, a baseline: `node:http` server and `undici` client without parsing. */
export class BytePipe extends MeasuredRelay {
  private readonly pool: Pool;

  private readonly server: Server;

  constructor(engineUrl: string) {
    super();
    this.pool = new Pool(engineUrl, { pipelining: 1, connections: null });
    this.server = createServer((request, response) => {
      void this.serve(request, response).catch(() => response.destroy());
    });
  }

  override async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Forwards the response body to the caller. */
  protected forwardBody(body: Readable, response: ServerResponse): void {
    body.pipe(response);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const abort = new AbortController();
    response.once('close', () => abort.abort());
    const answer = await this.pool.request({
      method: 'POST',
      path: request.url ?? '/',
      headers: { 'content-type': 'application/json' },
      body: request,
      signal: abort.signal,
    });
    answer.body.once('error', () => response.destroy());
    response.writeHead(answer.statusCode, { 'content-type': 'text/event-stream' });
    this.forwardBody(answer.body, response);
  }
}

/** A byte pipe that parses and re-encodes each event. */
export class ParsedPipe extends BytePipe {
  protected override forwardBody(body: Readable, response: ServerResponse): void {
    let remainder = '';
    body.on('data', (chunk: Buffer) => {
      const events = (remainder + chunk.toString('utf8')).split(EVENT_END);
      remainder = events.pop() ?? '';
      for (const event of events) {
        const decoded: unknown = JSON.parse(event.slice(DATA_PREFIX.length));
        response.write(`${DATA_PREFIX}${JSON.stringify(decoded)}${EVENT_END}`);
      }
    });
    body.once('end', () => response.end());
  }
}

/** An entry instance with its HTTP route, metering and background tasks. */
export class InstanceRelay extends MeasuredRelay {
  private readonly instance: Instance;

  private readonly clock = new SystemClock();

  constructor({ platformUrl, keyValueUrl }: RelayOptions) {
    super();
    this.instance = new Instance({
      settings: settingsSchema.parse({
        instance: { name: 'measured', zone: 'zone-a' },
        callers: { address: '127.0.0.1', port: 0 },
        peers: { address: '127.0.0.1', port: 0 },
        platform: {
          keyValue: [keyValueUrl],
          supply: platformUrl,
          instances: platformUrl,
          usage: platformUrl,
        },
      }),
      clock: this.clock,
      random: new SystemRandomSource(),
      logger: createProcessLogger('error', 'measured'),
      // Learned concurrency limits start too low for streams that all open at the start.
      admission: new ConcurrencyLimitAdmission(MAX_STREAMS),
      platform: {
        keyValue: new EtcdKeyValueStore({ urls: [keyValueUrl] }),
        supply: new HttpEndpointSupply(platformUrl),
        instances: new HttpInstanceList(platformUrl),
        usage: new HttpUsageReportSink(platformUrl),
      },
    });
  }

  override async start(): Promise<string> {
    await this.instance.start();
    while (!this.instance.isReady || [...this.instance.fleet.endpoints()].length === 0) {
      await this.clock.sleep(READY_POLL_INTERVAL_MILLISECONDS);
    }
    const { port } = this.instance.callersAddress;
    return `http://127.0.0.1:${port}`;
  }
}

export function createMeasuredRelay(options: RelayOptions): MeasuredRelay {
  switch (options.kind) {
    case RelayKind.BytePipe:
      return new BytePipe(options.engineUrl);
    case RelayKind.ParsedPipe:
      return new ParsedPipe(options.engineUrl);
    default:
      return new InstanceRelay(options);
  }
}
