import type { EndpointRecord, EngineStage } from './EndpointRecord.js';
import type { AccountCounts } from './UsageTally.js';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

/** Result of a call that is fenced by the term of the authority. */
export const FencedCallResult = {
  Accepted: 'accepted',
  /** Another holder has used a higher fencing token, or the platform cannot fulfil the call now. */
  Refused: 'refused',
  /** No response, or the platform asks to retry later. The call may still take effect. */
  Unknown: 'unknown',
} as const;

export type FencedCallResult = (typeof FencedCallResult)[keyof typeof FencedCallResult];

/** Number of endpoints of one kind that a service should have in a zone. */
export interface SupplyLevel {
  readonly service: string;
  readonly zone: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/**
 * Platform calls that only the holder of the authority makes. Each carries the fencing token of its
 * term and is not sent once the term has ended. Implementations never retry a call.
 */
export abstract class FencedPlatform {
  /** Reports the number of requests of each client account that started in a window. */
  abstract reportUsage(
    term: AuthorityTerm,
    window: number,
    counts: AccountCounts,
  ): Promise<FencedCallResult>;

  /** Orders the platform to bring the supply of a service in a zone to a level. */
  abstract orderSupply(term: AuthorityTerm, level: SupplyLevel): Promise<FencedCallResult>;

  /** Orders an engine to change its stage. */
  abstract orderStage(
    term: AuthorityTerm,
    engine: EndpointRecord,
    stage: EngineStage,
  ): Promise<FencedCallResult>;
}
