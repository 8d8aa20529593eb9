import type { ConfirmedView } from './ConfirmedView.js';
import type { ForwardingLimits } from './ForwardingLimits.js';

/** Readiness of this instance for new connections, for the load balancer of the platform. */
export class Readiness {
  private readonly view: ConfirmedView;

  private readonly limits: ForwardingLimits;

  private isShuttingDown = false;

  constructor(view: ConfirmedView, limits: ForwardingLimits) {
    this.view = view;
    this.limits = limits;
  }

  /** Makes the instance permanently not ready. */
  beginShutdown(): void {
    this.isShuttingDown = true;
  }

  get isStopping(): boolean {
    return this.isShuttingDown;
  }

  /**
   * True while the view has a configuration and endpoints and is recent enough to run requests with
   * keys.
   */
  get isReady(): boolean {
    const { configuration, endpoints, ageMilliseconds } = this.view;
    return (
      !this.isShuttingDown &&
      configuration !== undefined &&
      endpoints.length > 0 &&
      ageMilliseconds < this.limits.maximumViewAgeMilliseconds
    );
  }
}
