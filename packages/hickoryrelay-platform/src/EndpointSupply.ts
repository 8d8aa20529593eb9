import { HTTP_PROTOCOLS, isName, isUrl } from './ListEntryUtils.js';

/** Lifecycle state of an endpoint. Only a live endpoint accepts new work. */
export const SupplyState = { Starting: 'starting', Live: 'live', Leaving: 'leaving' } as const;

export type SupplyState = (typeof SupplyState)[keyof typeof SupplyState];

/** An endpoint in the list of the platform. */
export interface SuppliedEndpoint {
  readonly identifier: string;
  /** Name of the declared endpoint kind. */
  readonly kind: string;
  readonly zone: string;
  /** Base URL. */
  readonly url: string;
  readonly state: SupplyState;
  /** Idempotency key of the order that created the endpoint; absent if it was not ordered. */
  readonly orderKey?: string;
}

const STATES: ReadonlySet<unknown> = new Set(Object.values(SupplyState));

/** True if an entry of the platform's list can be used. Other writers may leave odd entries. */
export function isSuppliedEndpoint(value: unknown): value is SuppliedEndpoint {
  const entry = (value ?? {}) as Partial<Record<keyof SuppliedEndpoint, unknown>>;
  return (
    isName(entry.identifier) &&
    isName(entry.kind) &&
    isName(entry.zone) &&
    isUrl(entry.url, HTTP_PROTOCOLS) &&
    STATES.has(entry.state) &&
    (entry.orderKey === undefined || typeof entry.orderKey === 'string')
  );
}

/** An order to provision one endpoint of a kind in a zone. */
export interface SupplyOrder {
  /** Repeating an order with the same key has no further effect. */
  readonly idempotencyKey: string;
  readonly kind: string;
  readonly zone: string;
  readonly fencingNumber: number;
  /** Wall-clock time after which the platform rejects the order. */
  readonly deadlineMilliseconds: number;
}

/** An order to release an endpoint. */
export interface ReleaseOrder {
  readonly idempotencyKey: string;
  readonly endpoint: string;
  readonly zone: string;
  readonly fencingNumber: number;
  /** Wall-clock time after which the platform rejects the order. */
  readonly deadlineMilliseconds: number;
}

/** Throws `authority-lost` unless orders may be sent now. */
export type AuthorityCheck = () => void;

/**
 * The platform's interface that lists, orders and releases endpoints. Implementations throw
 * `platform-unavailable` when no response arrives, never retry an order, and run the check in the
 * same turn of the event loop in which they write an order to the socket.
 */
export abstract class EndpointSupply {
  /** Lists the endpoints of all zones or of the given one. The list may be out of date. */
  abstract list(zone?: string): Promise<readonly SuppliedEndpoint[]>;

  abstract order(order: SupplyOrder, check: AuthorityCheck): Promise<void>;

  abstract release(order: ReleaseOrder, check: AuthorityCheck): Promise<void>;

  /** Returns the idempotency keys of orders and releases that took effect in the zone. */
  abstract listEffectiveOrders(zone: string): Promise<readonly string[]>;
}
