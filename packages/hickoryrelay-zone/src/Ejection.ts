import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';

/**
 * The endpoints whose circuit breakers let calls through. At most half of them are left out: if
 * most seem to fail, the fault is more likely on this side, and the others cannot carry the load.
 */
export function withoutEjected(
  endpoints: readonly Endpoint[],
  nowMilliseconds: number,
): Endpoint[] {
  const ejected = new Set(endpoints.filter(({ breaker }) => !breaker.allowsCall(nowMilliseconds)));
  const cap = Math.floor(endpoints.length / 2);
  if (ejected.size > cap) {
    const kept = [...ejected].slice(cap);
    kept.forEach((endpoint) => ejected.delete(endpoint));
  }
  return endpoints.filter((endpoint) => !ejected.has(endpoint));
}
