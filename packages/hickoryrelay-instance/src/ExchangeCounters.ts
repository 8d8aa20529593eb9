/** Running totals of the faults that the exchanges of an instance recovered from. */
export class ExchangeCounters {
  /** Events and responses that carried another request's identifier and were dropped. */
  mismatchedEvents = 0;

  /** Events that had already been forwarded and were dropped. */
  duplicateEvents = 0;

  /** Attempts after the first one of each call. */
  retries = 0;

  /** Attempts that resumed a broken stream. */
  resumes = 0;

  /** Endpoints that announced in a response that they are leaving. */
  endpointsLeaving = 0;

  /** Times at which an endpoint asked for no calls. */
  endpointBackoffs = 0;

  /** Attempts whose connection stalled. */
  stalls = 0;
}
