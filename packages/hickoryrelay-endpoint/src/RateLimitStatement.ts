/** What a response states about the rate at which its endpoint takes requests. */
export interface RateLimitStatement {
  /**
   * Requests per second that the endpoint takes from all instances together. Undefined if the response
   * names no limit, which ends an earlier one.
   */
  readonly requestsPerSecond: number | undefined;
}

/** A statement that one instance has received, as it passes it on to others. */
export interface RateLimitReport extends RateLimitStatement {
  /** Hash of the endpoint's incarnation. */
  readonly endpoint: number;
  /** Time since the statement was made, in milliseconds. */
  readonly ageMilliseconds: number;
}
