import { ResponsePart } from './ResponseAccount.js';

import type { ResponseGuard } from './ResponseGuard.js';

/** Name of a metric and the function that reads its value. */
export type ResponseMetric = readonly [string, () => number];

/** What is held for responses of endpoints now. */
export function responseGauges(guard: ResponseGuard): ResponseMetric[] {
  return [
    ['endpoint_responses', () => guard.openResponses],
    ['endpoint_response_received_bytes', () => guard.heldBytesIn(ResponsePart.Received)],
    ['endpoint_response_retained_bytes', () => guard.heldBytesIn(ResponsePart.Retained)],
  ];
}
