import { ANSWER_MARGIN_MILLISECONDS, EVENT_PATIENCE } from './ForwardingLimits.js';

import type { ForwardedRequest } from './ForwardedRequest.js';
import type { ForwardingRoute } from './ForwardingConfiguration.js';
import type { Clock } from 'hickoryrelay/Clock';

/** How long a request may take, and the signal that ends its sends. */
export class CallDeadline {
  private readonly clock: Clock;

  private readonly request: ForwardedRequest;

  private readonly route: ForwardingRoute;

  private readonly endMilliseconds: number;

  /** Aborts at the deadline or when the caller has gone. */
  private readonly ending = new AbortController();

  private hasPassed = false;

  constructor(clock: Clock, request: ForwardedRequest, route: ForwardingRoute) {
    this.clock = clock;
    this.request = request;
    this.route = route;
    const patience = request.patienceMilliseconds ?? Number.POSITIVE_INFINITY;
    this.endMilliseconds =
      request.arrivedMilliseconds + Math.min(patience, route.timeoutMilliseconds);
  }

  get signal(): AbortSignal {
    return this.ending.signal;
  }

  /** True if the time has passed, in distinction to a caller that has gone. */
  get isOverdue(): boolean {
    return this.hasPassed;
  }

  /** Time that an endpoint may take from now on, in milliseconds. */
  remaining(): number {
    return this.endMilliseconds - ANSWER_MARGIN_MILLISECONDS - this.clock.monotonicMilliseconds();
  }

  /** Ends the sends when the time has passed or the caller goes. Returns the function that stops it. */
  watch(gone: AbortSignal): () => void {
    const onGone = () => this.ending.abort();
    gone.addEventListener('abort', onGone, { once: true });
    const cancelAlarm = this.clock.schedule(Math.max(0, this.remaining()), () => {
      this.hasPassed = true;
      this.ending.abort();
    });
    return () => {
      cancelAlarm();
      gone.removeEventListener('abort', onGone);
    };
  }

  /** Time from now in which a caller waits for the first event, in milliseconds. */
  firstEventPatience(): number {
    const { latencyTargetMilliseconds, pauseTargetMilliseconds } = this.route;
    const elapsed = this.clock.monotonicMilliseconds() - this.request.arrivedMilliseconds;
    const patience = Math.max(
      EVENT_PATIENCE.Shortest,
      EVENT_PATIENCE.TargetMultiple * latencyTargetMilliseconds,
      EVENT_PATIENCE.PauseMultiple * pauseTargetMilliseconds,
    );
    return Math.min(this.remaining(), patience - elapsed);
  }

  /** True if a first event after the given time from now would be late. */
  wouldBeLate(milliseconds: number): boolean {
    const elapsed = this.clock.monotonicMilliseconds() - this.request.arrivedMilliseconds;
    return elapsed + milliseconds > this.route.latencyTargetMilliseconds;
  }
}
