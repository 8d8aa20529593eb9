import type { EngineRole } from './Engine.js';

/** What an order asks of an endpoint. */
export const OrderType = {
  LoadModel: 'load-model',
  LoadAdapter: 'load-adapter',
  ChangeRole: 'change-role',
  Drain: 'drain',
} as const;

export type OrderType = (typeof OrderType)[keyof typeof OrderType];

/** An order without its authority. */
export type EndpointOrder =
  | { readonly type: 'load-model'; readonly model: string; readonly version: string }
  | { readonly type: 'load-adapter'; readonly model: string; readonly adapter: string }
  | { readonly type: 'change-role'; readonly role: EngineRole }
  | { readonly type: 'drain' };

/** An order as it is sent: what is asked, by which authority, and until when it may be taken. */
export interface IssuedOrder {
  readonly identifier: string;
  readonly endpoint: string;
  readonly order: EndpointOrder;
  readonly fencingNumber: number;
  /** Wall time after which an endpoint that checks deadlines refuses the order. */
  readonly deadlineMilliseconds: number;
}

/** How far an endpoint is with the order that it took last. */
export const OrderProgress = { Running: 'running', Done: 'done', Failed: 'failed' } as const;

export type OrderProgress = (typeof OrderProgress)[keyof typeof OrderProgress];

/** An endpoint's own account of the orders it took. */
export interface EndpointOrderState {
  /** Identifier of the order taken last; absent before the first. */
  readonly lastOrder?: string;
  readonly progress: OrderProgress;
  /** Highest fencing number seen; 0 if the endpoint does not check it. */
  readonly fencingNumber: number;
}

/** An endpoint's answer to an order. */
export const OrderAnswer = {
  Taken: 'taken',
  /** A higher fencing number has been seen. */
  RefusedAsFenced: 'refused-as-fenced',
  /** Too late, or the endpoint is busy with another order. */
  Refused: 'refused',
} as const;

export type OrderAnswer = (typeof OrderAnswer)[keyof typeof OrderAnswer];
