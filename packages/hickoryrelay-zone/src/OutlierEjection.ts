import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';

/**
 * Returns the endpoints whose circuit breakers allow calls. At most half of the endpoints are
 * ejected: if most seem to fail, the fault is more likely local, and the remaining endpoints could
 * not carry the load.
 */
export function excludeEjected(
  endpoints: readonly Endpoint[],
  nowMilliseconds: number,
): Endpoint[] {
  const ejected = new Set(endpoints.filter(({ breaker }) => !breaker.allowsCall(nowMilliseconds)));
  const maximumEjected = Math.floor(endpoints.length / 2);
  if (ejected.size > maximumEjected) {
    const retained = [...ejected].slice(maximumEjected);
    retained.forEach((endpoint) => ejected.delete(endpoint));
  }
  return endpoints.filter((endpoint) => !ejected.has(endpoint));
}
