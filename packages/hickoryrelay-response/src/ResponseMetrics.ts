import { ResponsePart } from './ResponseAccount.js';

import type { ResponseGuard } from './ResponseGuard.js';

/** Name of a metric and the function that reads its value. */
export type ResponseMetric = readonly [string, () => number];

/** What is held for responses of endpoints now, and the limit of it. */
export function responseGauges(guard: ResponseGuard): ResponseMetric[] {
  return [
    ['endpoint_responses', () => guard.openResponses],
    ['endpoint_response_received_bytes', () => guard.heldBytesIn(ResponsePart.Received)],
    ['endpoint_response_retained_bytes', () => guard.heldBytesIn(ResponsePart.Retained)],
    ['endpoint_response_bytes_limit', () => guard.limits.memoryBytes],
  ];
}

/** How often responses had to wait for memory, and were ended for lack of it. */
export function responseCounters(guard: ResponseGuard): ResponseMetric[] {
  return [
    ['endpoint_response_pauses_total', () => guard.pauses],
    ['endpoint_response_evictions_total', () => guard.evictions],
  ];
}
