import { SystemClock } from 'hickoryrelay/Clock';

import { SupplyOrderOutcome, EndpointSupplyStandIn } from './EndpointSupplyStandIn.js';
import { JsonServer } from './JsonServer.js';
import { ReportOutcome, UsageReportTable } from './UsageReportTable.js';

import type { ReceivedOrder } from './EndpointSupplyStandIn.js';
import type { JsonResponse, ReceivedRequest } from './JsonServer.js';
import type { SuppliedEndpoint } from 'hickoryrelay-platform/EndpointSupply';
import type { ListedInstance } from 'hickoryrelay-platform/InstanceList';
import type { UsageReport } from 'hickoryrelay-platform/UsageReportSink';

const OK: JsonResponse = { status: 200, body: {} };
const NOT_FOUND: JsonResponse = { status: 404, body: {} };
const CONFLICT: JsonResponse = { status: 409, body: {} };
const GONE: JsonResponse = { status: 410, body: {} };
const UNAVAILABLE: JsonResponse = { status: 503, body: {} };

/** HTTP stand-in for the endpoint supply, the instance list and the usage reports. */
export class PlatformStandIn extends JsonServer {
  readonly supply = new EndpointSupplyStandIn(new SystemClock());

  readonly endpoints = this.supply.endpoints;

  readonly instances = new Map<string, ListedInstance>();

  /** If true, the instance list responds 503 to all requests. */
  isInstanceListUnavailable = false;

  readonly reports = new UsageReportTable();

  protected override answer(request: ReceivedRequest): JsonResponse {
    const [, collection, first, second] = request.path.split('/');
    if (collection === 'instances' && this.isInstanceListUnavailable) {
      return UNAVAILABLE;
    }
    switch (`${request.method} ${collection}`) {
      case 'GET endpoints':
        return this.listEndpoints(request.query.get('zone'));
      case 'PUT endpoints':
        this.endpoints.set(String(first), JSON.parse(request.text) as SuppliedEndpoint);
        return OK;
      case 'GET instances':
        return { status: 200, body: { instances: [...this.instances.values()] } };
      case 'PUT instances':
        this.instances.set(String(first), JSON.parse(request.text) as ListedInstance);
        return OK;
      case 'POST reports':
        return this.acceptReport(JSON.parse(request.text) as UsageReport);
      case 'GET reports':
        return this.findReport(String(first), Number(second));
      case 'POST orders':
      case 'POST releases':
        return this.acceptOrder(JSON.parse(request.text) as ReceivedOrder);
      case 'GET orders':
        return this.listOrders(request.query.get('zone'));
      default:
        return NOT_FOUND;
    }
  }

  private listEndpoints(zone: string | null): JsonResponse {
    return { status: 200, body: { endpoints: this.supply.list(zone ?? undefined) } };
  }

  private acceptReport(report: UsageReport): JsonResponse {
    return this.reports.submit(report) === ReportOutcome.Rejected ? CONFLICT : OK;
  }

  private findReport(zone: string, windowStartMilliseconds: number): JsonResponse {
    const report = this.reports.find(zone, windowStartMilliseconds);
    return report === undefined ? NOT_FOUND : { status: 200, body: report };
  }

  private acceptOrder(order: Omit<ReceivedOrder, 'atMilliseconds'>): JsonResponse {
    switch (this.supply.receive(order)) {
      case SupplyOrderOutcome.Fenced:
        return CONFLICT;
      case SupplyOrderOutcome.Expired:
        return GONE;
      default:
        return OK;
    }
  }

  private listOrders(zone: string | null): JsonResponse {
    return { status: 200, body: { idempotencyKeys: this.supply.effectiveOrders(zone ?? '') } };
  }
}
