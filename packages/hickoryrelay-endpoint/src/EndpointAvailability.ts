import { EndpointRateLimit } from './EndpointRateLimit.js';

import type { RequestToken } from './EndpointRateLimit.js';
import type { RateLimitStatement } from './RateLimitStatement.js';
import type { Clock } from 'hickoryrelay/Clock';

/** What an endpoint states about itself in the head of a response. */
export interface EndpointNotice {
  /** The endpoint is shutting down and takes no new requests. */
  readonly isLeaving: boolean;
  /** Time for which the endpoint asks for no requests; undefined if it does not. */
  readonly backoffMilliseconds: number | undefined;
  /** True if the endpoint took the request that it responds to. */
  readonly isAccepted: boolean;
  /** Absent if the response shows neither that the endpoint has a limit nor that it has none. */
  readonly rateLimit?: RateLimitStatement;
}

/** The effect of a notice on the availability of its endpoint. */
export const AvailabilityChange = {
  None: 'none',
  /** The endpoint takes no requests any more. */
  Leaving: 'leaving',
  /** The endpoint takes no requests for a time. */
  BackingOff: 'backing-off',
  /** The endpoint takes requests again. */
  Available: 'available',
} as const;

export type AvailabilityChange = (typeof AvailabilityChange)[keyof typeof AvailabilityChange];

const SENTENCES: Readonly<Record<AvailabilityChange, string>> = {
  [AvailabilityChange.None]: 'The availability of an endpoint is unchanged.',
  [AvailabilityChange.Leaving]: 'An endpoint announced that it is leaving.',
  [AvailabilityChange.BackingOff]: 'An endpoint asked for no requests for a time.',
  [AvailabilityChange.Available]: 'An endpoint takes requests again.',
};

/** Describes a change in one sentence, for the log. */
export function describeAvailabilityChange(change: AvailabilityChange): string {
  return SENTENCES[change];
}

/**
 * A longer backoff is probed before its end, and ends when the endpoint accepts a probe, so that a
 * faulty endpoint that asks for hours is not lost until it restarts.
 */
const LONG_BACKOFF_MILLISECONDS = 300_000;

/** Times of a long backoff at which one request is sent as a probe. */
const PROBE_TIMES_MILLISECONDS = [60_000, 600_000] as const;

/**
 * Wall clocks of the system may differ by as much. An announcement of leaving that was received within
 * this time after the start of an incarnation may be from the one before.
 */
const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 5000;

/** A time for which an endpoint asked for no requests. Times are monotonic. */
interface Backoff {
  readonly startMilliseconds: number;
  readonly endMilliseconds: number;
  /** Probes sent before the end. */
  readonly probes: number;
  /** Wall-clock time of the last notice. */
  readonly receivedWallMilliseconds: number;
}

/** What a permit asks the availability that has granted it. */
interface SendPermitParts {
  /** Time at which the permit was granted. */
  readonly startedMilliseconds: number;
  readonly token: RequestToken;
  readonly readTime: () => number;
  readonly allowsSend: (permit: SendPermit) => boolean;
  readonly onEnd: (permit: SendPermit) => void;
}

/** The permission to send one request, granted when its endpoint was chosen. */
export class SendPermit {
  private readonly parts: SendPermitParts;

  private isRateLimited = false;

  constructor(parts: SendPermitParts) {
    this.parts = parts;
  }

  /** Time at which the request was started. */
  get startedMilliseconds(): number {
    return this.parts.startedMilliseconds;
  }

  /** False once the endpoint takes no requests, or did not take this one for its rate limit. */
  get isValid(): boolean {
    return !this.isRateLimited && this.parts.allowsSend(this);
  }

  /**
   * Uses the permit for the one request that is about to be written. Returns false if it must not be
   * written: the endpoint takes no requests any more, or has named a rate limit since.
   */
  tryUse(): boolean {
    const { token, readTime } = this.parts;
    if (!this.isValid) {
      return false;
    }
    this.isRateLimited = !token.tryUse(readTime());
    return !this.isRateLimited;
  }

  /** Ends the attempt. A probe that has had no response is then followed by another one. */
  end(): void {
    this.parts.token.release();
    this.parts.onEnd(this);
  }
}

/**
 * Whether one incarnation of an endpoint takes requests from this instance, by what the endpoint
 * itself has stated. What the store or other instances report does not undo it.
 *
 * After a backoff, and at the probe times of a long one, one request at a time is sent as a probe
 * until the endpoint accepts one, so that the waiting requests do not all arrive at once. While the
 * endpoint states a rate limit, each request takes a token of this instance's share.
 */
export class EndpointAvailability {
  readonly rateLimit: EndpointRateLimit;

  private hasAnnouncedLeaving = false;

  /** Wall-clock time of the last announcement. */
  private leavingWallMilliseconds = Number.NEGATIVE_INFINITY;

  private backoff: Backoff | undefined;

  /** The request in flight that tries whether the endpoint takes requests again. */
  private probe: SendPermit | undefined;

  constructor(rateLimit = new EndpointRateLimit()) {
    this.rateLimit = rateLimit;
  }

  /** True once the endpoint has announced that it is leaving. */
  get isLeaving(): boolean {
    return this.hasAnnouncedLeaving;
  }

  /** True while the endpoint takes no requests, or only probes. */
  get isUnavailable(): boolean {
    return this.hasAnnouncedLeaving || this.backoff !== undefined;
  }

  /** True if a new request may be sent. */
  allowsRequest(now: number): boolean {
    return this.waitMilliseconds(now) === 0 && this.probe === undefined;
  }

  /** Time until a request may be sent, apart from a probe in flight; infinite for a leaving one. */
  waitMilliseconds(now: number): number {
    return Math.max(this.backoffWaitMilliseconds(now), this.rateLimit.waitMilliseconds(now));
  }

  /** Time until a request may be sent, apart from the rate limit and a probe in flight. */
  backoffWaitMilliseconds(now: number): number {
    if (this.hasAnnouncedLeaving) {
      return Number.POSITIVE_INFINITY;
    }
    if (this.backoff === undefined) {
      return 0;
    }
    const { startMilliseconds, endMilliseconds, probes } = this.backoff;
    const isLong = endMilliseconds - startMilliseconds > LONG_BACKOFF_MILLISECONDS;
    const probeTime = isLong ? PROBE_TIMES_MILLISECONDS[probes] : undefined;
    const openMilliseconds =
      probeTime === undefined
        ? endMilliseconds
        : Math.min(endMilliseconds, startMilliseconds + probeTime);
    return Math.max(0, openMilliseconds - now);
  }

  /**
   * Grants the permission to send a request. It is not valid if the endpoint has stopped allowing
   * requests since it was chosen. The clock is read when the permit is used; without one, `now` counts.
   */
  startRequest(now: number, clock?: Clock): SendPermit {
    const isProbe = this.backoff !== undefined && this.allowsRequest(now);
    const permit = new SendPermit({
      startedMilliseconds: now,
      token: this.rateLimit.reserve(now),
      readTime: () => clock?.monotonicMilliseconds() ?? now,
      allowsSend: (each) =>
        !this.hasAnnouncedLeaving && (this.backoff === undefined || this.probe === each),
      onEnd: (each) => {
        this.probe = this.probe === each ? undefined : this.probe;
      },
    });
    if (this.backoff !== undefined && isProbe) {
      this.probe = permit;
      const { endMilliseconds, probes } = this.backoff;
      this.backoff = { ...this.backoff, probes: probes + (now < endMilliseconds ? 1 : 0) };
    }
    return permit;
  }

  /**
   * Returns the availability of the next endpoint or incarnation at the address. Until it is known,
   * requests for this one reach it, so it keeps what has been received since its start.
   */
  succeed(
    startedWallMilliseconds: number,
    rateLimit = new EndpointRateLimit(),
  ): EndpointAvailability {
    const successor = new EndpointAvailability(rateLimit);
    rateLimit.inherit(this.rateLimit, startedWallMilliseconds);
    const { backoff, leavingWallMilliseconds } = this;
    if (leavingWallMilliseconds >= startedWallMilliseconds + MAXIMUM_CLOCK_SKEW_MILLISECONDS) {
      successor.hasAnnouncedLeaving = this.hasAnnouncedLeaving;
      successor.leavingWallMilliseconds = leavingWallMilliseconds;
    }
    if (backoff !== undefined && backoff.receivedWallMilliseconds >= startedWallMilliseconds) {
      successor.backoff = backoff;
    }
    return successor;
  }

  /** Applies the notice in the response to a request, at a monotonic and a wall-clock time. */
  receive(
    notice: EndpointNotice,
    permit: SendPermit,
    now: number,
    wallMilliseconds = Number.NEGATIVE_INFINITY,
  ): AvailabilityChange {
    if (notice.isLeaving) {
      this.leavingWallMilliseconds = wallMilliseconds;
    }
    if (notice.isLeaving && !this.hasAnnouncedLeaving) {
      this.hasAnnouncedLeaving = true;
      return AvailabilityChange.Leaving;
    }
    if (notice.backoffMilliseconds !== undefined) {
      return this.backOff(notice.backoffMilliseconds, now, wallMilliseconds);
    }
    if (notice.isAccepted && this.backoff !== undefined && this.probe === permit) {
      this.backoff = undefined;
      this.probe = undefined;
      return AvailabilityChange.Available;
    }
    return AvailabilityChange.None;
  }

  private backOff(milliseconds: number, now: number, wallMilliseconds: number): AvailabilityChange {
    const { backoff } = this;
    const endMilliseconds = now + milliseconds;
    // An earlier backoff that has not ended stays in force, with the probes that it has had.
    this.backoff =
      backoff === undefined || now >= backoff.endMilliseconds
        ? {
            startMilliseconds: now,
            endMilliseconds,
            probes: 0,
            receivedWallMilliseconds: wallMilliseconds,
          }
        : {
            ...backoff,
            endMilliseconds: Math.max(backoff.endMilliseconds, endMilliseconds),
            receivedWallMilliseconds: wallMilliseconds,
          };
    return backoff === undefined ? AvailabilityChange.BackingOff : AvailabilityChange.None;
  }
}
