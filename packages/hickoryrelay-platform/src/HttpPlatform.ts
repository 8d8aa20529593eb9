import { buildConnector, Client, getGlobalDispatcher, request } from 'undici';
import { ConnectionBreak } from 'hickoryrelay/ConnectionBreak';
import { FailureKind } from 'hickoryrelay/Failure';
import { silentLogger } from 'hickoryrelay/Logger';
import { paceReads } from 'hickoryrelay/PacedReads';
import { ReadPriority } from 'hickoryrelay/ReadTurns';
import { RelayError } from 'hickoryrelay/RelayError';
import { readBodyText } from 'hickoryrelay/ResponseBodyUtils';
import { guardWrites } from 'hickoryrelay/SocketGuardUtils';

import { EndpointSupply, isSuppliedEndpoint } from './EndpointSupply.js';
import { InstanceList, isListedInstance } from './InstanceList.js';
import { UsageReportSink } from './UsageReportSink.js';

import type {
  AuthorityCheck,
  ReleaseOrder,
  SuppliedEndpoint,
  SupplyOrder,
} from './EndpointSupply.js';
import type { ListedInstance } from './InstanceList.js';
import type { UsageReport } from './UsageReportSink.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Dispatcher } from 'undici';

const REQUEST_TIMEOUT_MILLISECONDS = 2000;
const FIRST_REDIRECT = 300;
const GONE = 410;

/** A list of 640 instances, or of 7,200 endpoints, takes about 2 MB. */
const MAXIMUM_RESPONSE_BYTES = 8_388_608;

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

/** A client for an HTTP/JSON interface of the platform. */
class JsonClient {
  private readonly service: string;

  private readonly baseUrl: string;

  constructor(service: string, baseUrl: string) {
    this.service = service;
    this.baseUrl = baseUrl;
  }

  /** Sends a request, without retries, and returns the status and the decoded body. */
  async call<ResponseBody>(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: object,
    dispatcher: Dispatcher = getGlobalDispatcher(),
  ): Promise<{ status: number; body: ResponseBody }> {
    const mayHaveTakenEffect = method !== 'GET';
    const { service } = this;
    try {
      const response = await request(`${this.baseUrl}${path}`, {
        method,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
        dispatcher,
      });
      const text = await readBodyText(response.body, MAXIMUM_RESPONSE_BYTES, service);
      if (response.statusCode >= 500) {
        throw this.unavailable(`status ${response.statusCode}`, mayHaveTakenEffect);
      }
      return {
        status: response.statusCode,
        body: (text === '' ? undefined : JSON.parse(text)) as ResponseBody,
      };
    } catch (error) {
      if (error instanceof RelayError) {
        throw error;
      }
      const reason = error instanceof Error ? error.message : String(error);
      throw this.unavailable(reason, mayHaveTakenEffect && !isConnectionRefused(error), error);
    }
  }

  /**
   * Sends an order or a report with a fencing number. Uses a dedicated connection, which runs the
   * authority check before each write. Throws `authority-lost` if the check fails or the platform
   * rejects the fencing number.
   */
  async order(
    path: string,
    zone: string,
    fencingNumber: number,
    body: object,
    check: AuthorityCheck = () => {},
  ): Promise<void> {
    check();
    let connectionBreak: ConnectionBreak | undefined;
    const connector = buildConnector({ timeout: REQUEST_TIMEOUT_MILLISECONDS });
    const client = new Client(this.baseUrl, {
      connect: (options, callback) => {
        connector(options, (...result) => {
          if (result[0] === null) {
            connectionBreak = new ConnectionBreak(result[1]);
            guardWrites(result[1], check);
            paceReads(result[1], { priority: ReadPriority.Control });
          }
          callback(...result);
        });
      },
    });
    try {
      const { status } = await this.call('POST', path, body, client);
      const error = connectionBreak?.error;
      if (error !== undefined) {
        // The platform may have given up a request that it had not read.
        throw this.unavailable(error.message, true, error);
      }
      this.assertAccepted(status, path, zone, fencingNumber);
    } finally {
      await client.destroy();
    }
  }

  private assertAccepted(status: number, path: string, zone: string, fencingNumber: number): void {
    if (status === 409) {
      throw new RelayError({ kind: FailureKind.AuthorityLost, zone, fencingNumber });
    }
    if (status === GONE) {
      throw this.unavailable('the deadline of the order has passed', false);
    }
    if (status >= FIRST_REDIRECT) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: this.service,
        reason: `unexpected status ${status} for ${path}`,
      });
    }
  }

  private unavailable(reason: string, mayHaveTakenEffect: boolean, cause?: unknown): RelayError {
    const { service } = this;
    return new RelayError(
      { kind: FailureKind.PlatformUnavailable, service, reason, mayHaveTakenEffect },
      cause,
    );
  }
}

/** Selects the usable entries of a list, and logs when there are more others than before. */
class ListDecoder<Entry> {
  private readonly service: string;

  private readonly isUsable: (entry: unknown) => entry is Entry;

  private readonly log: ComponentLogger;

  private highestSkipped = 0;

  constructor(service: string, isUsable: (entry: unknown) => entry is Entry, log: ComponentLogger) {
    this.service = service;
    this.isUsable = isUsable;
    this.log = log;
  }

  /** Throws `protocol-violation` if the value is not a list. */
  decode(value: unknown): readonly Entry[] {
    if (!Array.isArray(value)) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: this.service,
        reason: 'the response has no list',
      });
    }
    const entries = value.filter(this.isUsable);
    const skipped = value.length - entries.length;
    if (skipped > this.highestSkipped) {
      this.highestSkipped = skipped;
      this.log.warn('Skipping invalid entries of a list.', { list: this.service, skipped });
    }
    return entries;
  }
}

/** Endpoint supply over HTTP/JSON: `GET /endpoints`, `GET` and `POST /orders`, `POST /releases`. */
export class HttpEndpointSupply extends EndpointSupply {
  private readonly json: JsonClient;

  private readonly decoder: ListDecoder<SuppliedEndpoint>;

  constructor(baseUrl: string, log: ComponentLogger = silentLogger) {
    super();
    this.json = new JsonClient('endpoint supply', baseUrl);
    this.decoder = new ListDecoder('endpoint supply', isSuppliedEndpoint, log);
  }

  override async list(zone?: string): Promise<readonly SuppliedEndpoint[]> {
    const query = zone === undefined ? '' : `?zone=${encodeURIComponent(zone)}`;
    const response = await this.json.call<{ endpoints: unknown } | null | undefined>(
      'GET',
      `/endpoints${query}`,
    );
    return this.decoder.decode(response.body?.endpoints);
  }

  override async order(order: SupplyOrder, check: AuthorityCheck): Promise<void> {
    await this.json.order('/orders', order.zone, order.fencingNumber, order, check);
  }

  override async release(order: ReleaseOrder, check: AuthorityCheck): Promise<void> {
    await this.json.order('/releases', order.zone, order.fencingNumber, order, check);
  }

  override async listEffectiveOrders(zone: string): Promise<readonly string[]> {
    const response = await this.json.call<{ idempotencyKeys: string[] }>(
      'GET',
      `/orders?zone=${encodeURIComponent(zone)}`,
    );
    return response.body.idempotencyKeys;
  }
}

/** Instance list over HTTP/JSON: `GET /instances`, `PUT /instances/<name>`. */
export class HttpInstanceList extends InstanceList {
  private readonly json: JsonClient;

  private readonly decoder: ListDecoder<ListedInstance>;

  constructor(baseUrl: string, log: ComponentLogger = silentLogger) {
    super();
    this.json = new JsonClient('instance list', baseUrl);
    this.decoder = new ListDecoder('instance list', isListedInstance, log);
  }

  override async list(): Promise<readonly ListedInstance[]> {
    const response = await this.json.call<{ instances: unknown } | null | undefined>(
      'GET',
      '/instances',
    );
    return this.decoder.decode(response.body?.instances);
  }

  override async register(instance: ListedInstance): Promise<void> {
    await this.json.call('PUT', `/instances/${encodeURIComponent(instance.name)}`, instance);
  }
}

/** Usage reports over HTTP/JSON: `POST /reports`, `GET /reports/<zone>/<window>`. */
export class HttpUsageReportSink extends UsageReportSink {
  private readonly json: JsonClient;

  constructor(baseUrl: string) {
    super();
    this.json = new JsonClient('usage reports', baseUrl);
  }

  override async submit(report: UsageReport): Promise<void> {
    await this.json.order('/reports', report.zone, report.fencingNumber, report);
  }

  override async find(
    zone: string,
    windowStartMilliseconds: number,
  ): Promise<UsageReport | undefined> {
    const path = `/reports/${encodeURIComponent(zone)}/${windowStartMilliseconds}`;
    const response = await this.json.call<UsageReport>('GET', path);
    return response.status === 404 ? undefined : response.body;
  }
}
