import type { EndpointRecord, EngineStage } from './EndpointRecord.js';
import type { AccountCounts } from './UsageTally.js';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

/** How the platform took a call that only the holder of the authority makes. */
export const DutyResult = {
  Accepted: 'accepted',
  /** Another holder has used a higher fencing token, or there is nothing to be had now. */
  Refused: 'refused',
  /** No answer, or the platform asks to come back later; the call may take effect all the same. */
  Unknown: 'unknown',
} as const;

export type DutyResult = (typeof DutyResult)[keyof typeof DutyResult];

/** The number of endpoints of one kind that a service should have in a zone. */
export interface SupplyLevel {
  readonly service: string;
  readonly zone: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/**
 * Calls that one instance makes at a time. Each bears the term's fencing token and is not written
 * once the term has ended. An override never repeats a call by itself.
 */
export abstract class DutyPlatform {
  /** Reports the requests of each client account that began in a window. */
  abstract reportUsage(
    term: AuthorityTerm,
    window: number,
    counts: AccountCounts,
  ): Promise<DutyResult>;

  /** Orders endpoints of a service. */
  abstract orderSupply(term: AuthorityTerm, level: SupplyLevel): Promise<DutyResult>;

  /** Orders an engine to another stage. */
  abstract orderStage(
    term: AuthorityTerm,
    engine: EndpointRecord,
    stage: EngineStage,
  ): Promise<DutyResult>;
}
