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

/** An order or a release as the platform received it. */
export interface ReceivedOrder {
  readonly idempotencyKey: string;
  readonly zone: string;
  readonly fencingNumber: number;
  readonly deadlineMilliseconds?: number;
  /** Kind of an ordered endpoint. */
  readonly kind?: string;
  /** Identifier of a released endpoint. */
  readonly endpoint?: string;
  readonly atMilliseconds: number;
}

/** Whether the platform stand-in took an order. */
export const SupplyAnswer = { Taken: 'taken', Fenced: 'fenced', Late: 'late' } as const;

export type SupplyAnswer = (typeof SupplyAnswer)[keyof typeof SupplyAnswer];

/** The endpoint supply of the platform stand-in. */
export class SupplySide {
  readonly endpoints = new Map<string, SuppliedEndpoint>();

  /** Every order and release received, in order, repeats and refused ones included. */
  readonly received: ReceivedOrder[] = [];

  private readonly clock: Clock;

  private readonly effective = new Map<string, ReceivedOrder>();

  private readonly highestFencing = new Map<string, number>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Takes an order or release. A repeated idempotency key has no further effect. */
  take(order: Omit<ReceivedOrder, 'atMilliseconds'>): SupplyAnswer {
    const received = { ...order, atMilliseconds: this.clock.monotonicMilliseconds() };
    this.received.push(received);
    if (order.fencingNumber < (this.highestFencing.get(order.zone) ?? 0)) {
      return SupplyAnswer.Fenced;
    }
    if (this.clock.wallMilliseconds() >= (order.deadlineMilliseconds ?? Infinity)) {
      return SupplyAnswer.Late;
    }
    this.highestFencing.set(order.zone, order.fencingNumber);
    if (!this.effective.has(order.idempotencyKey)) {
      this.effective.set(order.idempotencyKey, received);
      this.apply(received);
    }
    return SupplyAnswer.Taken;
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

/** The way of one simulated process to the supply side, without sockets. */
export class InProcessEndpointSupply extends EndpointSupply {
  private readonly exchanges: OrderExchanges;

  private readonly side: SupplySide;

  /** Told of each order in the tick in which it is written. */
  private readonly observeSend: (fencingNumber: number) => void;

  constructor(
    side: SupplySide,
    exchanges: OrderExchanges,
    observeSend: (fencingNumber: number) => void = () => {},
  ) {
    super();
    this.side = side;
    this.exchanges = exchanges;
    this.observeSend = observeSend;
  }

  override list(zone?: string): Promise<readonly SuppliedEndpoint[]> {
    return this.read(() => this.side.list(zone));
  }

  override order(order: SupplyOrder, check: AuthorityCheck): Promise<void> {
    return this.write(order, check);
  }

  override release(order: ReleaseOrder, check: AuthorityCheck): Promise<void> {
    return this.write(order, check);
  }

  override listEffectiveOrders(zone: string): Promise<readonly string[]> {
    return this.read(() => this.side.effectiveOrders(zone));
  }

  private async write(order: SupplyOrder | ReleaseOrder, check: AuthorityCheck): Promise<void> {
    check();
    this.observeSend(order.fencingNumber);
    const answer = await this.exchanges.orders.send(
      () => this.side.take(order),
      ({ reason, mayHaveTakenEffect }) => this.unavailable(reason, mayHaveTakenEffect),
    );
    if (answer === SupplyAnswer.Fenced) {
      const { zone, fencingNumber } = order;
      throw new RelayError({ kind: FailureKind.AuthorityLost, zone, fencingNumber });
    }
    if (answer === SupplyAnswer.Late) {
      throw this.unavailable('the deadline has passed', false);
    }
  }

  private read<Answer>(effect: () => Answer): Promise<Answer> {
    return this.exchanges.reads.send(effect, ({ reason }) => this.unavailable(reason, false));
  }

  private unavailable(reason: string, mayHaveTakenEffect: boolean): RelayError {
    return new RelayError({
      kind: FailureKind.PlatformUnavailable,
      service: 'endpoint supply',
      reason,
      mayHaveTakenEffect,
    });
  }
}
