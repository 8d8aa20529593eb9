/** Divides the rate limits of endpoints among the instances that send them requests. */
export abstract class RateLimitShares {
  /**
   * Requests per second that this instance may send to an endpoint; 0 if only others may. The sum over
   * all instances must stay close to the limit, also while their knowledge of each other differs.
   */
  abstract rateOf(endpoint: number, requestsPerSecond: number, now: number): number;
}

/** Gives the whole limit to this instance, for endpoints that no other instance uses. */
export class UndividedRateLimits extends RateLimitShares {
  override rateOf(_endpoint: number, requestsPerSecond: number): number {
    return requestsPerSecond;
  }
}
