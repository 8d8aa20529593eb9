import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { request } from 'undici';

import { EndpointSupply } from './EndpointSupply.js';
import { InstanceList } from './InstanceList.js';
import { UsageReportSink } from './UsageReportSink.js';

import type { ReleaseOrder, SuppliedEndpoint, SupplyOrder } from './EndpointSupply.js';
import type { ListedInstance } from './InstanceList.js';
import type { UsageReport } from './UsageReportSink.js';

const TIMEOUT_MILLISECONDS = 2000;

/** A small HTTP/JSON interface of the platform. */
class JsonInterface {
  private readonly service: string;

  private readonly baseUrl: string;

  constructor(service: string, baseUrl: string) {
    this.service = service;
    this.baseUrl = baseUrl;
  }

  /** Sends one request and returns status and decoded body. Never repeats a request. */
  async call<Answer>(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: object,
  ): Promise<{ status: number; body: Answer }> {
    const mayHaveTakenEffect = method !== 'GET';
    const { service } = this;
    try {
      const response = await request(`${this.baseUrl}${path}`, {
        method,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      const text = await response.body.text();
      if (response.statusCode >= 500) {
        throw new RelayError({
          kind: FailureKind.PlatformUnavailable,
          service,
          reason: `status ${response.statusCode}`,
          mayHaveTakenEffect,
        });
      }
      return {
        status: response.statusCode,
        body: (text === '' ? undefined : JSON.parse(text)) as Answer,
      };
    } catch (error) {
      if (error instanceof RelayError) {
        throw error;
      }
      const reason = error instanceof Error ? error.message : String(error);
      throw new RelayError(
        { kind: FailureKind.PlatformUnavailable, service, reason, mayHaveTakenEffect },
        error,
      );
    }
  }

  /** Sends an order. Throws `authority-lost` if the platform refuses its fencing number. */
  async order(path: string, zone: string, fencingNumber: number, body: object): Promise<void> {
    const { status } = await this.call('POST', path, body);
    if (status === 409) {
      throw new RelayError({ kind: FailureKind.AuthorityLost, zone, fencingNumber });
    }
    if (status >= 400) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: this.service,
        reason: `status ${status} for ${path}`,
      });
    }
  }
}

/** Endpoint supply by HTTP/JSON: `GET /endpoints`, `POST /orders`, `POST /releases`, `GET /orders`. */
export class HttpEndpointSupply extends EndpointSupply {
  private readonly json: JsonInterface;

  constructor(baseUrl: string) {
    super();
    this.json = new JsonInterface('endpoint supply', baseUrl);
  }

  override async list(zone?: string): Promise<readonly SuppliedEndpoint[]> {
    const query = zone === undefined ? '' : `?zone=${encodeURIComponent(zone)}`;
    const answer = await this.json.call<{ endpoints: SuppliedEndpoint[] }>(
      'GET',
      `/endpoints${query}`,
    );
    return answer.body.endpoints;
  }

  override async order(order: SupplyOrder): Promise<void> {
    await this.json.order('/orders', order.zone, order.fencingNumber, order);
  }

  override async release(order: ReleaseOrder): Promise<void> {
    await this.json.order('/releases', order.zone, order.fencingNumber, order);
  }

  override async effectiveOrders(zone: string): Promise<readonly string[]> {
    const answer = await this.json.call<{ idempotencyKeys: string[] }>(
      'GET',
      `/orders?zone=${encodeURIComponent(zone)}`,
    );
    return answer.body.idempotencyKeys;
  }
}

/** Instance list by HTTP/JSON: `GET /instances`, `PUT /instances/<name>`. */
export class HttpInstanceList extends InstanceList {
  private readonly json: JsonInterface;

  constructor(baseUrl: string) {
    super();
    this.json = new JsonInterface('instance list', baseUrl);
  }

  override async list(): Promise<readonly ListedInstance[]> {
    const answer = await this.json.call<{ instances: ListedInstance[] }>('GET', '/instances');
    return answer.body.instances;
  }

  override async announce(instance: ListedInstance): Promise<void> {
    await this.json.call('PUT', `/instances/${encodeURIComponent(instance.name)}`, instance);
  }
}

/** Usage reports by HTTP/JSON: `POST /reports`, `GET /reports/<zone>/<window>`. */
export class HttpUsageReportSink extends UsageReportSink {
  private readonly json: JsonInterface;

  constructor(baseUrl: string) {
    super();
    this.json = new JsonInterface('usage reports', baseUrl);
  }

  override async submit(report: UsageReport): Promise<void> {
    await this.json.order('/reports', report.zone, report.fencingNumber, report);
  }

  override async find(
    zone: string,
    windowStartMilliseconds: number,
  ): Promise<UsageReport | undefined> {
    const path = `/reports/${encodeURIComponent(zone)}/${windowStartMilliseconds}`;
    const answer = await this.json.call<UsageReport>('GET', path);
    return answer.status === 404 ? undefined : answer.body;
  }
}
