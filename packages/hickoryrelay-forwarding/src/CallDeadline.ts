import { EVENT_TIMEOUT, RESPONSE_MARGIN_MILLISECONDS } from './ForwardingLimits.js';

import type { ForwardedRequest } from './ForwardedRequest.js';
import type { ForwardingRoute } from './ForwardingConfiguration.js';
import type { ResponseSink } from './ResponseSink.js';
import type { ShutdownSchedule } from './ShutdownSchedule.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Why the attempts of a request were aborted. */
export const EndReason = {
  Expired: 'the time is over',
  CallerGone: 'the connection to the caller has closed',
  Stopping: 'the instance is stopping',
} as const;

export type EndReason = (typeof EndReason)[keyof typeof EndReason];

/** Tracks the time limits of a request and aborts its attempts when they expire. */
export class CallDeadline {
  private readonly clock: Clock;

  private readonly request: ForwardedRequest;

  private readonly route: ForwardingRoute;

  /** Time of the monotonic clock at which the caller or the route stops waiting. */
  readonly endMilliseconds: number;

  /** Aborts at the deadline, when the caller disconnects or when the instance has to answer. */
  private readonly abortController = new AbortController();

  private abortReason: EndReason | undefined;

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

  /** True if the signal has aborted because the deadline has passed. */
  get hasExpired(): boolean {
    return this.abortReason === EndReason.Expired;
  }

  /** Why the signal has aborted. `Expired` while it has not, since too little time is left then. */
  get endReason(): EndReason {
    return this.abortReason ?? EndReason.Expired;
  }

  /** Time left for an endpoint, in milliseconds. */
  remaining(): number {
    return this.endMilliseconds - RESPONSE_MARGIN_MILLISECONDS - this.clock.monotonicMilliseconds();
  }

  /**
   * Aborts the signal at the deadline, or a margin before it if the response has not started, when the
   * caller disconnects, or when a stopping instance has to answer a request whose response has not
   * started. Returns a stop function.
   */
  watch(sink: ResponseSink, shutdown: ShutdownSchedule): () => void {
    const { gone } = sink;
    const onGone = () => this.abort(EndReason.CallerGone);
    gone.addEventListener('abort', onGone, { once: true });
    const removeObserver = shutdown.onAnswerDeadline(() => {
      if (!sink.hasSent) {
        this.abort(EndReason.Stopping);
      }
    });
    const expire = () => this.abort(EndReason.Expired);
    let cancelTimer = this.clock.schedule(Math.max(0, this.remaining()), () => {
      if (sink.hasSent) {
        // No time is needed for a response of this instance, and the endpoint may still finish.
        cancelTimer = this.clock.schedule(RESPONSE_MARGIN_MILLISECONDS, expire);
      } else {
        expire();
      }
    });
    return () => {
      cancelTimer();
      gone.removeEventListener('abort', onGone);
      removeObserver();
    };
  }

  private abort(reason: EndReason): void {
    this.abortReason ??= reason;
    this.abortController.abort();
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
