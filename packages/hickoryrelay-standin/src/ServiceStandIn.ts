import { JsonServer } from './JsonServer.js';

import type { JsonAnswer, ReceivedRequest } from './JsonServer.js';

/** A stand-in for a plain service. It counts each run of a call. */
export class ServiceStandIn extends JsonServer {
  /** Every request received, in order. */
  readonly received: ReceivedRequest[] = [];

  protected override answer(request: ReceivedRequest): JsonAnswer {
    this.received.push(request);
    return {
      status: 200,
      body: { run: this.received.length, path: request.path, echo: request.text },
    };
  }
}
