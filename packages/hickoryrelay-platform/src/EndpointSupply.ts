/** Whether an endpoint takes new work. */
export const SupplyState = { Starting: 'starting', Live: 'live', Leaving: 'leaving' } as const;

export type SupplyState = (typeof SupplyState)[keyof typeof SupplyState];

/** An endpoint as the platform lists it. */
export interface SuppliedEndpoint {
  readonly identifier: string;
  /** Name of the declared endpoint kind. */
  readonly kind: string;
  readonly zone: string;
  /** Base URL. */
  readonly url: string;
  readonly state: SupplyState;
  /** Idempotency key of the order that brought the endpoint; absent if nobody ordered it. */
  readonly orderKey?: string;
}

/** An order for one endpoint of a kind in a zone. */
export interface SupplyOrder {
  /** A repeated order with the same key has no further effect. */
  readonly idempotencyKey: string;
  readonly kind: string;
  readonly zone: string;
  readonly fencingNumber: number;
  /** Wall time after which the platform refuses the order. */
  readonly deadlineMilliseconds: number;
}

/** An order to release an endpoint. */
export interface ReleaseOrder {
  readonly idempotencyKey: string;
  readonly endpoint: string;
  readonly zone: string;
  readonly fencingNumber: number;
  /** Wall time after which the platform refuses the order. */
  readonly deadlineMilliseconds: number;
}

/** Throws `authority-lost` unless orders may be sent now. */
export type AuthorityCheck = () => void;

/**
 * The platform's interface that lists, orders and releases endpoints. An override throws
 * `platform-unavailable` when no answer arrives, never repeats an order by itself, and runs the
 * check in the tick in which it writes an order to the socket.
 */
export abstract class EndpointSupply {
  /** Lists endpoints, of one zone if given. The list lags. */
  abstract list(zone?: string): Promise<readonly SuppliedEndpoint[]>;

  abstract order(order: SupplyOrder, check: AuthorityCheck): Promise<void>;

  abstract release(order: ReleaseOrder, check: AuthorityCheck): Promise<void>;

  /** Returns the idempotency keys of orders and releases that took effect in the zone. */
  abstract effectiveOrders(zone: string): Promise<readonly string[]>;
}
