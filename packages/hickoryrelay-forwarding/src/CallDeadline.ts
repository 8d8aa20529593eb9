import { EVENT_TIMEOUT, RESPONSE_MARGIN_MILLISECONDS } from './ForwardingLimits.js';

import type { ForwardedRequest } from './ForwardedRequest.js';
import type { ForwardingRoute } from './ForwardingConfiguration.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Tracks the time limits of a request and aborts its attempts when they expire. */
export class CallDeadline {
  private readonly clock: Clock;

  private readonly request: ForwardedRequest;

  private readonly route: ForwardingRoute;

  private readonly endMilliseconds: number;

  /** Aborts at the deadline or when the caller disconnects. */
  private readonly abortController = new AbortController();

  private isExpired = false;

  constructor(clock: Clock, request: ForwardedRequest, route: ForwardingRoute) {
    this.clock = clock;
    this.request = request;
    this.route = route;
    const callerTimeout = request.callerTimeoutMilliseconds ?? Number.POSITIVE_INFINITY;
    this.endMilliseconds =
      request.arrivedMilliseconds + Math.min(callerTimeout, route.timeoutMilliseconds);
  }

  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** True once the deadline has passed, which tells it apart from a caller that disconnected. */
  get hasExpired(): boolean {
    return this.isExpired;
  }

  /** Describes why the signal has aborted, or is about to. */
  get endReason(): string {
    return this.abortController.signal.aborted && !this.isExpired
      ? 'the connection to the caller has closed'
      : 'the time is over';
  }

  /** Time left for an endpoint, in milliseconds. */
  remaining(): number {
    return this.endMilliseconds - RESPONSE_MARGIN_MILLISECONDS - this.clock.monotonicMilliseconds();
  }

  /** Aborts the signal at the deadline or when the caller disconnects. Returns a stop function. */
  watch(gone: AbortSignal): () => void {
    const onGone = () => this.abortController.abort();
    gone.addEventListener('abort', onGone, { once: true });
    const cancelTimer = this.clock.schedule(Math.max(0, this.remaining()), () => {
      this.isExpired = true;
      this.abortController.abort();
    });
    return () => {
      cancelTimer();
      gone.removeEventListener('abort', onGone);
    };
  }

  /** Time left until the caller stops waiting for the first event, in milliseconds. */
  firstEventTimeout(): number {
    const elapsed = this.clock.monotonicMilliseconds() - this.request.arrivedMilliseconds;
    return Math.min(this.remaining(), this.eventTimeoutMilliseconds - elapsed);
  }

  /** Time without an event after which callers abandon a stream. */
  get eventTimeoutMilliseconds(): number {
    const { latencyTargetMilliseconds, eventGapTargetMilliseconds } = this.route;
    return Math.max(
      EVENT_TIMEOUT.MinimumMilliseconds,
      EVENT_TIMEOUT.LatencyTargetMultiple * latencyTargetMilliseconds,
      EVENT_TIMEOUT.GapTargetMultiple * eventGapTargetMilliseconds,
    );
  }

  /** True if a first event after the given delay would miss the latency target. */
  wouldBeLate(milliseconds: number): boolean {
    const elapsed = this.clock.monotonicMilliseconds() - this.request.arrivedMilliseconds;
    return elapsed + milliseconds > this.route.latencyTargetMilliseconds;
  }
}
