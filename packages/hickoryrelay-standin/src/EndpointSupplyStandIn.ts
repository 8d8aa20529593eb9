import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { EndpointSupply, SupplyState } from 'hickoryrelay-platform/EndpointSupply';

import type { OrderExchanges } from './InProcessExchange.js';
import type { Clock } from 'hickoryrelay/Clock';
import type {
  AuthorityCheck,
  ReleaseOrder,
  SuppliedEndpoint,
  SupplyOrder,
} from 'hickoryrelay-platform/EndpointSupply';

/** An order or a release as received by the platform stand-in. */
export interface ReceivedOrder {
  readonly idempotencyKey: string;
  readonly zone: string;
  readonly fencingNumber: number;
  readonly deadlineMilliseconds?: number;
  /** Kind of the ordered endpoint. Absent from a release. */
  readonly kind?: string;
  /** Identifier of the released endpoint. Absent from an order. */
  readonly endpoint?: string;
  readonly atMilliseconds: number;
}

/** How the platform stand-in handled an order. */
export const SupplyOrderOutcome = {
  Accepted: 'accepted',
  Fenced: 'fenced',
  Expired: 'expired',
} as const;

export type SupplyOrderOutcome = (typeof SupplyOrderOutcome)[keyof typeof SupplyOrderOutcome];

/** Endpoint supply of the platform stand-in, with fencing, deadlines and idempotency keys. */
export class EndpointSupplyStandIn {
  readonly endpoints = new Map<string, SuppliedEndpoint>();

  /** All orders and releases in order of arrival, including duplicate and refused ones. */
  readonly received: ReceivedOrder[] = [];

  private readonly clock: Clock;

  private readonly effective = new Map<string, ReceivedOrder>();

  private readonly highestFencing = new Map<string, number>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Handles an order or release. A repeated idempotency key has no further effect. */
  receive(order: Omit<ReceivedOrder, 'atMilliseconds'>): SupplyOrderOutcome {
    const received = { ...order, atMilliseconds: this.clock.monotonicMilliseconds() };
    this.received.push(received);
    if (order.fencingNumber < (this.highestFencing.get(order.zone) ?? 0)) {
      return SupplyOrderOutcome.Fenced;
    }
    if (this.clock.wallMilliseconds() >= (order.deadlineMilliseconds ?? Infinity)) {
      return SupplyOrderOutcome.Expired;
    }
    this.highestFencing.set(order.zone, order.fencingNumber);
    if (!this.effective.has(order.idempotencyKey)) {
      this.effective.set(order.idempotencyKey, received);
      this.apply(received);
    }
    return SupplyOrderOutcome.Accepted;
  }

  list(zone?: string): SuppliedEndpoint[] {
    return [...this.endpoints.values()].filter(
      (endpoint) => zone === undefined || endpoint.zone === zone,
    );
  }

  effectiveOrders(zone: string): string[] {
    return [...this.effective.values()]
      .filter((order) => order.zone === zone)
      .map((order) => order.idempotencyKey);
  }

  private apply(order: ReceivedOrder): void {
    const { kind, zone, endpoint, idempotencyKey } = order;
    if (endpoint !== undefined) {
      this.endpoints.delete(endpoint);
    } else if (kind !== undefined) {
      const identifier = `supplied-${idempotencyKey}`;
      this.endpoints.set(identifier, {
        identifier,
        kind,
        zone,
        url: 'http://127.0.0.1:9',
        state: SupplyState.Starting,
        orderKey: idempotencyKey,
      });
    }
  }
}

/** In-process endpoint supply client of one simulated process. */
export class InProcessEndpointSupply extends EndpointSupply {
  private readonly exchanges: OrderExchanges;

  private readonly standIn: EndpointSupplyStandIn;

  /** Called synchronously with the fencing number of each order that is sent. */
  private readonly observeSend: (fencingNumber: number) => void;

  constructor(
    standIn: EndpointSupplyStandIn,
    exchanges: OrderExchanges,
    observeSend: (fencingNumber: number) => void = () => {},
  ) {
    super();
    this.standIn = standIn;
    this.exchanges = exchanges;
    this.observeSend = observeSend;
  }

  override list(zone?: string): Promise<readonly SuppliedEndpoint[]> {
    return this.read(() => this.standIn.list(zone));
  }

  override order(order: SupplyOrder, check: AuthorityCheck): Promise<void> {
    return this.write(order, check);
  }

  override release(order: ReleaseOrder, check: AuthorityCheck): Promise<void> {
    return this.write(order, check);
  }

  override listEffectiveOrders(zone: string): Promise<readonly string[]> {
    return this.read(() => this.standIn.effectiveOrders(zone));
  }

  private async write(order: SupplyOrder | ReleaseOrder, check: AuthorityCheck): Promise<void> {
    check();
    this.observeSend(order.fencingNumber);
    const answer = await this.exchanges.orders.send(
      () => this.standIn.receive(order),
      ({ reason, mayHaveTakenEffect }) => this.createUnavailableError(reason, mayHaveTakenEffect),
    );
    if (answer === SupplyOrderOutcome.Fenced) {
      const { zone, fencingNumber } = order;
      throw new RelayError({ kind: FailureKind.AuthorityLost, zone, fencingNumber });
    }
    if (answer === SupplyOrderOutcome.Expired) {
      throw this.createUnavailableError('the deadline of the order has passed', false);
    }
  }

  private read<Answer>(effect: () => Answer): Promise<Answer> {
    return this.exchanges.reads.send(effect, ({ reason }) =>
      this.createUnavailableError(reason, false),
    );
  }

  private createUnavailableError(reason: string, mayHaveTakenEffect: boolean): RelayError {
    return new RelayError({
      kind: FailureKind.PlatformUnavailable,
      service: 'endpoint supply',
      reason,
      mayHaveTakenEffect,
    });
  }
}
