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
}

/** An order for one endpoint of a kind in a zone. */
export interface SupplyOrder {
  /** A repeated order with the same key has no further effect. */
  readonly idempotencyKey: string;
  readonly kind: string;
  readonly zone: string;
  readonly fencingNumber: number;
}

/** An order to release an endpoint. */
export interface ReleaseOrder {
  readonly idempotencyKey: string;
  readonly endpoint: string;
  readonly zone: string;
  readonly fencingNumber: number;
}

/**
 * The platform's interface that lists, orders and releases endpoints. An override throws
 * `platform-unavailable` when no answer arrives and never repeats an order by itself.
 */
export abstract class EndpointSupply {
  /** Lists endpoints, of one zone if given. The list lags. */
  abstract list(zone?: string): Promise<readonly SuppliedEndpoint[]>;

  abstract order(order: SupplyOrder): Promise<void>;

  abstract release(order: ReleaseOrder): Promise<void>;

  /** Returns the idempotency keys of orders that took effect in the zone. */
  abstract effectiveOrders(zone: string): Promise<readonly string[]>;
}
