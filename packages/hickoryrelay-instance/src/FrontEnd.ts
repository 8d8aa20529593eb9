import type { Call } from 'hickoryrelay-link/Call';

/** What every front end learns from the transport. */
export interface ArrivedRequest<Request> {
  readonly request: Request;
  readonly requestIdentifier: string;
  readonly arrivalMilliseconds: number;
}

/**
 * Turns requests of one callers' protocol into calls. An override checks the request, finds the
 * client account by its key, and takes parameters by allow-list. It throws typed failures and
 * decides nothing about where or when a call runs.
 */
export abstract class FrontEnd<Request> {
  abstract decode(arrived: ArrivedRequest<Request>): Promise<Call>;
}
