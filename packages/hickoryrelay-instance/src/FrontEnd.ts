import type { Call } from 'hickoryrelay-link/Call';

/** A request as the transport passes it to a front end. */
export interface ReceivedRequest<Request> {
  readonly request: Request;
  readonly requestIdentifier: string;
  readonly arrivalMilliseconds: number;
}

/**
 * Decodes the requests of one caller protocol into calls. An implementation validates the request,
 * authenticates the client account and copies parameters by an allow-list. It throws typed failures
 * and makes no decision about where or when a call runs.
 */
export abstract class FrontEnd<Request> {
  abstract decode(received: ReceivedRequest<Request>): Promise<Call>;
}
