/** Times and shares that the forwarding of requests keeps to. */
export interface ForwardingLimits {
  /**
   * Age of the view beyond which no request with an access key runs, in milliseconds. The
   * deployment's bound for withdrawn keys less a margin for clocks and for the way of the request.
   */
  readonly longestViewAgeMilliseconds: number;
  /**
   * Age of the view beyond which an unknown route or key is not a reason to deny, in milliseconds:
   * the time within which a configuration is in force.
   */
  readonly denialViewAgeMilliseconds: number;
  /** Repeated sends to a service for each request to it, as a share. */
  readonly retryShare: number;
  /** Repeated sends to a service that all instances together may save up. */
  readonly retrySlack: number;
}

/** Kept back from the time that an endpoint is given, for the way back to the caller, in ms. */
export const ANSWER_MARGIN_MILLISECONDS = 15;

/** A request with less time left than this is not sent any more, in milliseconds. */
export const SHORTEST_ATTEMPT_MILLISECONDS = 25;

/**
 * Time after which a caller gives up on a stream without an event: the longest of this many
 * milliseconds and these multiples of the latency target and of the pause target.
 */
export const EVENT_PATIENCE = { Shortest: 2000, TargetMultiple: 4, PauseMultiple: 8 } as const;

/** Part of that time in which a first event must be expected, or the request is refused at once. */
export const EXPECTED_PATIENCE_PART = 0.9;

/** Rank of requests that will be late, behind all that can still be on time. */
export const LATE_URGENCY = 8;

/** Bytes of a plain answer that are held until it is complete, so that a broken one can be retried. */
export const HELD_ANSWER_BYTES = 65_536;

/**
 * Silence of an endpoint after which a request that may run again is sent elsewhere, as a multiple
 * of the latency target, and at least this many milliseconds.
 */
export const SILENCE_TARGET_MULTIPLE = 2.5;
export const SHORTEST_SILENCE_MILLISECONDS = 700;

/** When a caller that was refused should come back, in milliseconds. */
export const RETRY_AFTER_MILLISECONDS = {
  /** The instance has no usable view; another instance may have one. */
  NoView: 150,
  /** All endpoints of the service are full or away. */
  NoRoom: 300,
} as const;

/** Spread of the time to come back, as a share, so that refused callers do not return together. */
export const RETRY_AFTER_SPREAD = 0.5;
