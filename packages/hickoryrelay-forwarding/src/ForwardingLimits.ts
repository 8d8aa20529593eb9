/** Limits on the age of the view and on retries, derived from the bounds of the deployment. */
export interface ForwardingLimits {
  /**
   * Requests with an access key are refused when the view is older: the deployment's bound for
   * withdrawn keys, less a margin for clocks and for the transit of the request.
   */
  readonly maximumViewAgeMilliseconds: number;
  /**
   * An unknown route or key is not a reason to deny a request when the view is older: a
   * configuration takes effect within this time, so the view may lack it.
   */
  readonly denialViewAgeMilliseconds: number;
  /** Retries allowed per request to a service. */
  readonly retryRatio: number;
  /** Retries to a service that all instances together may accumulate beyond the ratio. */
  readonly retrySlack: number;
}

/** Taken off the time that an endpoint gets, for the transit of the response to the caller. */
export const RESPONSE_MARGIN_MILLISECONDS = 15;

/** No further attempt is made with less time left. */
export const MINIMUM_ATTEMPT_MILLISECONDS = 25;

/**
 * Time after which callers abandon a stream without an event: the longest of the minimum and these
 * multiples of the route's latency target and event gap target.
 */
export const EVENT_TIMEOUT = {
  MinimumMilliseconds: 2000,
  LatencyTargetMultiple: 4,
  GapTargetMultiple: 8,
} as const;

/**
 * A request is refused at once if its first event is expected after this fraction of the timeout.
 */
export const FIRST_EVENT_TIMEOUT_FRACTION = 0.9;

/**
 * A stream that can be resumed is hedged at another endpoint when it has had no event for this
 * fraction of the time after which its caller abandons it. The rest is left for the other endpoint
 * to prefill the prompt.
 */
export const STALLED_STREAM_FRACTION = 0.6;

/** Priority of requests that will be late, behind all that can still be on time. */
export const LATE_PRIORITY = 8;

/**
 * Other responses than streams are buffered up to this size, so that truncated ones are retried.
 */
export const BUFFERED_RESPONSE_BYTES = 65_536;

/**
 * A retryable request is hedged at another endpoint if no response begins within this multiple of the
 * latency target, and not before the minimum.
 */
export const RESPONSE_TIMEOUT_TARGET_MULTIPLE = 2.5;
export const MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS = 700;

/** Base values of the `Retry-After` header of refused requests. */
export const RETRY_AFTER_MILLISECONDS = {
  /** The instance has no usable view; another instance may have one. */
  NoView: 150,
  /** The instance is stopping; a new connection leads to another instance. */
  Stopping: 20,
  /** It is not known which software version began a stream; another instance may know it. */
  UnknownOrigin: 150,
  /** All endpoints of the service are full or unavailable. */
  NoCapacity: 300,
  /** Longest time for which callers of a service are put off one after another. */
  Sequence: 10_000,
  /** A prompt segment is quarantined, which does not end while requests with it come. */
  Quarantined: 60_000,
  /** All endpoints of the service have asked for no requests. Others may register sooner. */
  Maximum: 60_000,
} as const;

/** Callers follow a `Retry-After` of up to this fraction of the time that they have left. */
export const HONOURED_RETRY_FRACTION = 1 / 3;

/**
 * Maximum random fraction added to a retry delay, so that refused callers do not return together.
 */
export const RETRY_AFTER_JITTER = 0.5;
