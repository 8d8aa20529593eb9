const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * True if a response may have the status (RFC 9110, section 15). The HTTP client library also passes on
 * those from 600 to 999. A response with such a status says nothing about what its request has done.
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}

/** Statuses that tell the caller that a request has not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
