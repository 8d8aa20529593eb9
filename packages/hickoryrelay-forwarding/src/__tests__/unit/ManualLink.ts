import { EndpointLink } from 'hickoryrelay-forwarding/EndpointLink';

import { makeResponse } from './ForwardingFixture.js';

import type { Attempt, EndpointResponse } from 'hickoryrelay-forwarding/EndpointLink';

/** A link whose endpoints respond when the test says so, to the requests in their order. */
export class ManualLink extends EndpointLink {
  readonly sent: Attempt[] = [];

  /** True if endpoints reject all requests as not run. */
  isRejecting = false;

  private readonly pending: ((response: EndpointResponse) => void)[] = [];

  /** Number of requests that have no response yet. */
  get open(): number {
    return this.pending.length;
  }

  /** Responds to one of the requests without a response; usually the first. */
  respond(index = 0): void {
    const [resolve] = this.pending.splice(index, 1);
    resolve?.(makeResponse(['done']));
  }

  override send(attempt: Attempt): Promise<EndpointResponse> {
    this.sent.push(attempt);
    return this.isRejecting
      ? Promise.resolve(makeResponse([], { status: 503, isNotRun: true }))
      : new Promise((resolve) => {
          this.pending.push(resolve);
        });
  }

  override prefill(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  override release(): Promise<void> {
    return Promise.resolve();
  }

  override isRefused(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override tryConnection(): Promise<boolean> {
    return Promise.resolve(true);
  }

  override retain(): void {}
}
