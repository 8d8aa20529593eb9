import { JsonServer } from './JsonServer.js';

import type { JsonResponse, ReceivedRequest } from './JsonServer.js';

/** Stand-in for a plain service. Each response carries the number of requests received so far. */
export class ServiceStandIn extends JsonServer {
  /** Every request received, in order. */
  readonly received: ReceivedRequest[] = [];

  protected override answer(request: ReceivedRequest): JsonResponse {
    this.received.push(request);
    return {
      status: 200,
      body: { run: this.received.length, path: request.path, echo: request.text },
    };
  }
}
