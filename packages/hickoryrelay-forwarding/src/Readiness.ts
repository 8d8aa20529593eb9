import type { ConfirmedView } from './ConfirmedView.js';
import type { ForwardingLimits } from './ForwardingLimits.js';

/** Tells the platform's load balancer whether this instance should get new connections. */
export class Readiness {
  private readonly view: ConfirmedView;

  private readonly limits: ForwardingLimits;

  private isStopping = false;

  constructor(view: ConfirmedView, limits: ForwardingLimits) {
    this.view = view;
    this.limits = limits;
  }

  /** From now on the instance is not ready. */
  beginStop(): void {
    this.isStopping = true;
  }

  /** True while a configuration and endpoints are known, recent enough to run requests with keys. */
  get isReady(): boolean {
    const { configuration, endpoints, ageMilliseconds } = this.view;
    return (
      !this.isStopping &&
      configuration !== undefined &&
      endpoints.length > 0 &&
      ageMilliseconds < this.limits.maximumViewAgeMilliseconds
    );
  }
}
