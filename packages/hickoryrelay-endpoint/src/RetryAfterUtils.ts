const SERVICE_UNAVAILABLE = 503;
const MILLISECONDS_PER_SECOND = 1000;

/** A number of seconds, as in `5`, `2.5` or `1e3`. */
const SECONDS_PATTERN = /^\+?(?:\d+\.?\d*|\.\d+)(?:e\+?\d+)?$/iu;

/**
 * Returns the time for which an endpoint asks for no requests, in milliseconds: the longest that is
 * given by the values of `Retry-After` in a 503 response. Undefined for other responses, and if no
 * value is a positive number of seconds. Dates are not read, since clocks may differ by seconds.
 */
export function backoffOf(status: number, retryAfter: readonly string[]): number | undefined {
  if (status !== SERVICE_UNAVAILABLE) {
    return undefined;
  }
  const seconds = retryAfter
    .flatMap((value) => value.split(','))
    .map((value) => value.trim())
    .filter((value) => SECONDS_PATTERN.test(value))
    .map(Number);
  const longest = Math.max(0, ...seconds);
  return longest === 0
    ? undefined
    : Math.min(longest * MILLISECONDS_PER_SECOND, Number.MAX_SAFE_INTEGER);
}
