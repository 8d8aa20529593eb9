import type { EngineRole } from './Engine.js';

/** Types of order that an endpoint can carry out. */
export const OrderType = {
  LoadModel: 'load-model',
  LoadAdapter: 'load-adapter',
  ChangeRole: 'change-role',
  Drain: 'drain',
} as const;

export type OrderType = (typeof OrderType)[keyof typeof OrderType];

/** The content of an order, without the fencing number and the deadline that it is issued with. */
export type EndpointOrder =
  | { readonly type: 'load-model'; readonly model: string; readonly version: string }
  | { readonly type: 'load-adapter'; readonly model: string; readonly adapter: string }
  | { readonly type: 'change-role'; readonly role: EngineRole }
  | { readonly type: 'drain' };

/** An order as it is sent, with the fencing number of its issuer and its deadline. */
export interface IssuedOrder {
  readonly identifier: string;
  readonly endpoint: string;
  readonly order: EndpointOrder;
  readonly fencingNumber: number;
  /** Wall-clock time after which an endpoint that checks deadlines refuses the order. */
  readonly deadlineMilliseconds: number;
}

/** Progress of the last order that an endpoint accepted. */
export const OrderProgress = { Running: 'running', Done: 'done', Failed: 'failed' } as const;

export type OrderProgress = (typeof OrderProgress)[keyof typeof OrderProgress];

/** State of the orders as reported by an endpoint. */
export interface EndpointOrderState {
  /** Identifier of the last accepted order; absent before the first one. */
  readonly lastOrder?: string;
  readonly progress: OrderProgress;
  /** Highest fencing number that the endpoint has seen; 0 if it does not check fencing numbers. */
  readonly fencingNumber: number;
}

/** Response of an endpoint to an order. */
export const OrderResponse = {
  Taken: 'taken',
  /** The endpoint has already seen a higher fencing number. */
  RefusedAsFenced: 'refused-as-fenced',
  /** The deadline has passed, or the endpoint is carrying out another order. */
  Refused: 'refused',
} as const;

export type OrderResponse = (typeof OrderResponse)[keyof typeof OrderResponse];
