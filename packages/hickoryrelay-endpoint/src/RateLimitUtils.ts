import type { RateLimitStatement } from './RateLimitStatement.js';

/** A plain decimal number, as in `5` or `5.8`. */
const RATE_PATTERN = /^\d+(?:\.\d+)?$/u;

/**
 * Decodes a number of requests per second. Returns undefined for signs, exponents, lists and other text.
 */
export function decodeRate(value: string): number | undefined {
  const text = value.trim();
  return RATE_PATTERN.test(text) ? Math.min(Number(text), Number.MAX_SAFE_INTEGER) : undefined;
}

/**
 * Returns what the values of a rate limit header state: the lowest rate that can be decoded. Malformed
 * values state nothing. No values state that there is no limit, if `isFromEndpoint` is true: the
 * response is known to be that of the addressed endpoint to this request.
 */
export function rateLimitOf(
  values: readonly string[],
  decode: (value: string) => number | undefined,
  isFromEndpoint: boolean,
): RateLimitStatement | undefined {
  if (values.length === 0) {
    return isFromEndpoint ? { requestsPerSecond: undefined } : undefined;
  }
  const rates = values.map(decode).filter((rate) => rate !== undefined);
  return rates.length === 0 ? undefined : { requestsPerSecond: Math.min(...rates) };
}
