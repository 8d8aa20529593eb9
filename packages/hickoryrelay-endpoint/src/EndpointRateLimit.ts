import { UndividedRateLimits } from './RateLimitShares.js';
import { RateLimitTokens } from './RateLimitTokens.js';

import type { RateLimitShares } from './RateLimitShares.js';
import type { RateLimitReport, RateLimitStatement } from './RateLimitStatement.js';

/** A limit of 0 is probed at this rate, as an endpoint ends a limit only in a response. */
const MINIMUM_REQUESTS_PER_SECOND = 0.1;

/**
 * A token is void if its request has not been written within this time, so that requests that wait
 * for a slow connection do not all arrive at once.
 */
const TOKEN_LIFETIME_MILLISECONDS = 500;

/**
 * Reports of others may have been in transit for this long. One that raises a limit or names none
 * counts as so much older.
 */
const REPORT_TRANSIT_MILLISECONDS = 1000;

/**
 * A report that confirms what is known counts only if it is so much newer. Otherwise the transit times
 * of reports that instances repeat to each other would make an old statement look recent.
 */
const CONFIRMATION_MILLISECONDS = 500;

/** A smaller relative change of a limit is not worth a log line. */
const NOTICEABLE_CHANGE = 0.1;

/** The effect of a statement on the rate limit of its endpoint. */
export const RateLimitChange = {
  None: 'none',
  /** The endpoint has named a limit, or one that differs noticeably. */
  Limited: 'limited',
  Ended: 'ended',
} as const;

export type RateLimitChange = (typeof RateLimitChange)[keyof typeof RateLimitChange];

const SENTENCES: Readonly<Record<RateLimitChange, string>> = {
  [RateLimitChange.None]: 'The rate limit of an endpoint is unchanged.',
  [RateLimitChange.Limited]: 'An endpoint named a rate limit.',
  [RateLimitChange.Ended]: 'An endpoint named no rate limit any more.',
};

/** Describes a change in one sentence, for the log. */
export function describeRateLimitChange(change: RateLimitChange): string {
  return SENTENCES[change];
}

/** A statement with its monotonic times. */
interface DatedStatement extends RateLimitStatement {
  /** Time from which it may be. A statement from a later time may lower the limit. */
  readonly earliestMilliseconds: number;
  /** Time until which it may be. Only a statement from a later time raises or ends the limit. */
  readonly latestMilliseconds: number;
  /** Wall-clock time of its arrival. */
  readonly receivedWallMilliseconds: number;
}

function isNoticeable(previous: number | undefined, current: number | undefined): boolean {
  return previous === undefined || current === undefined
    ? previous !== current
    : Math.abs(current - previous) > previous * NOTICEABLE_CHANGE;
}

/** The token of one request, taken when its endpoint is chosen or right before it is written. */
export class RequestToken {
  private readonly limit: EndpointRateLimit;

  private takenMilliseconds: number | undefined;

  constructor(limit: EndpointRateLimit, takenMilliseconds: number | undefined) {
    this.limit = limit;
    this.takenMilliseconds = takenMilliseconds;
  }

  /** Uses the token, or takes one if there was none yet or it is too old. */
  tryUse(now: number): boolean {
    const { takenMilliseconds } = this;
    this.takenMilliseconds = undefined;
    const isFresh =
      takenMilliseconds !== undefined && now - takenMilliseconds <= TOKEN_LIFETIME_MILLISECONDS;
    return isFresh || this.limit.tryTake(now);
  }

  /** Returns the token if it has not been used. */
  release(): void {
    if (this.takenMilliseconds !== undefined) {
      this.takenMilliseconds = undefined;
      this.limit.giveBack();
    }
  }
}

/**
 * The rate limit that one incarnation of an endpoint has stated, and the tokens of this instance's
 * share. Times are monotonic.
 *
 * The latest statement holds, and if the order is unknown the lower limit: responses on different
 * connections may overtake one another, and an instance may be paused before it reads one. A response
 * may be from any time between the start of its request and its arrival.
 */
export class EndpointRateLimit {
  /** Hash of the endpoint's incarnation. */
  readonly endpoint: number;

  private readonly shares: RateLimitShares;

  private statement: DatedStatement = {
    requestsPerSecond: undefined,
    earliestMilliseconds: Number.NEGATIVE_INFINITY,
    latestMilliseconds: Number.NEGATIVE_INFINITY,
    receivedWallMilliseconds: Number.NEGATIVE_INFINITY,
  };

  private tokens: RateLimitTokens;

  /** The limit as last announced by a change. */
  private announcedRequestsPerSecond: number | undefined;

  /** Time of the last change, or of the last report by another instance that missed it. */
  private changedMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    shares: RateLimitShares = new UndividedRateLimits(),
    endpoint = 0,
    tokens = new RateLimitTokens(endpoint),
  ) {
    this.shares = shares;
    this.endpoint = endpoint;
    this.tokens = tokens;
  }

  /** Undefined if there is no limit. */
  get requestsPerSecond(): number | undefined {
    return this.statement.requestsPerSecond;
  }

  /** Time since the limit changed or another instance was found to have missed the change. */
  changeAgeMilliseconds(now: number): number {
    return now - this.changedMilliseconds;
  }

  /** Requests per second that this instance may send. Infinite if there is no limit. */
  rateOfShare(now: number): number {
    const { requestsPerSecond } = this;
    return requestsPerSecond === undefined
      ? Number.POSITIVE_INFINITY
      : this.shares.rateOf(
          this.tokens.key,
          Math.max(requestsPerSecond, MINIMUM_REQUESTS_PER_SECOND),
          now,
        );
  }

  /** Time until this instance may send a request; infinite if only others may. */
  waitMilliseconds(now: number): number {
    return this.requestsPerSecond === undefined
      ? 0
      : this.tokens.waitMilliseconds(this.rateOfShare(now), now);
  }

  /** Takes the token of a request. Returns false if there is none. */
  tryTake(now: number): boolean {
    return this.requestsPerSecond === undefined || this.tokens.tryTake(this.rateOfShare(now), now);
  }

  giveBack(): void {
    this.tokens.giveBack();
  }

  /** Takes the token of a request that is yet to be written. */
  reserve(now: number): RequestToken {
    const isTaken = this.requestsPerSecond !== undefined && this.tryTake(now);
    return new RequestToken(this, isTaken ? now : undefined);
  }

  /** True if a statement names a higher limit than the known one, or none. */
  isRaisedBy({ requestsPerSecond }: RateLimitStatement): boolean {
    const limit = this.requestsPerSecond ?? Number.POSITIVE_INFINITY;
    return (requestsPerSecond ?? Number.POSITIVE_INFINITY) > limit;
  }

  /** Applies a statement in the response to a request that was started at a given time. */
  receive(
    { requestsPerSecond }: RateLimitStatement,
    requestedMilliseconds: number,
    now: number,
    receivedWallMilliseconds = Number.NEGATIVE_INFINITY,
  ): RateLimitChange {
    const isCautious = this.isCautiousAbout({ requestsPerSecond });
    if (isCautious && requestedMilliseconds <= this.statement.latestMilliseconds) {
      return RateLimitChange.None;
    }
    const statement = {
      requestsPerSecond,
      earliestMilliseconds: requestedMilliseconds,
      latestMilliseconds: isCautious ? requestedMilliseconds : now,
      receivedWallMilliseconds,
    };
    return this.apply(statement, now);
  }

  /** Applies a statement that another instance has received. */
  receiveReport(
    { requestsPerSecond, ageMilliseconds }: RateLimitReport,
    now: number,
    receivedWallMilliseconds = Number.NEGATIVE_INFINITY,
  ): RateLimitChange {
    const { earliestMilliseconds: earliest, latestMilliseconds: latest } = this.statement;
    const isCautious = this.isCautiousAbout({ requestsPerSecond });
    const atMilliseconds = now - ageMilliseconds - (isCautious ? REPORT_TRANSIT_MILLISECONDS : 0);
    const statement = {
      requestsPerSecond,
      earliestMilliseconds: atMilliseconds,
      latestMilliseconds: Math.max(latest, atMilliseconds),
      receivedWallMilliseconds,
    };
    if (requestsPerSecond === this.requestsPerSecond) {
      if (atMilliseconds > earliest + CONFIRMATION_MILLISECONDS) {
        this.statement = {
          ...statement,
          receivedWallMilliseconds: this.statement.receivedWallMilliseconds,
        };
      }
      return RateLimitChange.None;
    }
    if (atMilliseconds > (isCautious ? latest : earliest)) {
      return this.apply(statement, now);
    }
    if (
      now - ageMilliseconds < earliest &&
      isNoticeable(requestsPerSecond, this.requestsPerSecond)
    ) {
      this.changedMilliseconds = now;
    }
    return RateLimitChange.None;
  }

  /** The statement as it is reported to other instances. */
  report(now: number): RateLimitReport {
    const { requestsPerSecond, earliestMilliseconds } = this.statement;
    return {
      endpoint: this.endpoint,
      requestsPerSecond,
      ageMilliseconds: now - earliestMilliseconds,
    };
  }

  /** Takes over what was received for an earlier incarnation since the start of this one. */
  inherit(predecessor: EndpointRateLimit, startedWallMilliseconds: number): void {
    if (predecessor.statement.receivedWallMilliseconds >= startedWallMilliseconds) {
      this.statement = predecessor.statement;
      this.tokens = predecessor.tokens;
      this.announcedRequestsPerSecond = predecessor.announcedRequestsPerSecond;
      this.changedMilliseconds = predecessor.changedMilliseconds;
    }
  }

  /** True if a statement must not be taken for newer than it is, as it raises the limit or ends it. */
  private isCautiousAbout(statement: RateLimitStatement): boolean {
    return statement.requestsPerSecond === undefined || this.isRaisedBy(statement);
  }

  private apply(statement: DatedStatement, now: number): RateLimitChange {
    const previous = this.requestsPerSecond;
    const { requestsPerSecond } = statement;
    this.statement = statement;
    if (previous === undefined && requestsPerSecond !== undefined) {
      this.tokens.begin(this.rateOfShare(now), now);
    }
    return this.announce(requestsPerSecond, now);
  }

  private announce(requestsPerSecond: number | undefined, now: number): RateLimitChange {
    if (!isNoticeable(this.announcedRequestsPerSecond, requestsPerSecond)) {
      return RateLimitChange.None;
    }
    this.announcedRequestsPerSecond = requestsPerSecond;
    this.changedMilliseconds = now;
    return requestsPerSecond === undefined ? RateLimitChange.Ended : RateLimitChange.Limited;
  }
}
