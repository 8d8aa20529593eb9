import type { ConfirmedView } from './ConfirmedView.js';
import type { ForwardingLimits } from './ForwardingLimits.js';
import type { ShutdownSchedule } from './ShutdownSchedule.js';

/** Readiness of this instance for new connections, for the load balancer of the platform. */
export class Readiness {
  private readonly view: ConfirmedView;

  private readonly limits: ForwardingLimits;

  private readonly shutdown: ShutdownSchedule;

  constructor(view: ConfirmedView, limits: ForwardingLimits, shutdown: ShutdownSchedule) {
    this.view = view;
    this.limits = limits;
    this.shutdown = shutdown;
  }

  /**
   * True while the view has endpoints and a configuration that is recent enough to run requests with
   * keys. An instance that is stopping is not ready.
   */
  get isReady(): boolean {
    const { configuration, endpoints, configurationAgeMilliseconds } = this.view;
    return (
      !this.shutdown.isStopping &&
      configuration !== undefined &&
      endpoints.length > 0 &&
      configurationAgeMilliseconds < this.limits.maximumViewAgeMilliseconds
    );
  }
}
