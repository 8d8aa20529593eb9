import type { ForwardingLimits } from './ForwardingLimits.js';
import type { ShutdownTimes } from './ShutdownSchedule.js';
import type { QuotaBounds } from 'hickoryrelay-quota/QuotaLimit';
import type { AuthorityTimes } from 'hickoryrelay-zone/ZoneAuthority';

/** Time limits and budgets that a deployment declares. All times are in milliseconds. */
export interface DeploymentBounds {
  /** Time within which a new configuration is in effect on all instances. */
  readonly configurationMilliseconds: number;
  /** Time after which a leaving endpoint receives no new requests. */
  readonly leavingMilliseconds: number;
  /** Time after which no request with a withdrawn key runs. */
  readonly withdrawnKeyMilliseconds: number;
  /** Grace period: time between the stop signal and the end of the process. */
  readonly graceMilliseconds: number;
  /** Retries allowed to a service, as a fraction of its requests. */
  readonly retryRatio: number;
  /** Retries allowed to a service in addition, over all instances. */
  readonly retrySlack: number;
  readonly usageWindowMilliseconds: number;
  /** Time after the end of a window at which its usage report is due. */
  readonly usageDueMilliseconds: number;
  readonly leaseMilliseconds: number;
  /** Bound on the quotas of accounts; absent where none are in force. */
  readonly quota?: QuotaBounds;
}

/** Safety margin for clock differences and the transfer time of a request. */
const WITHDRAWN_KEY_MARGIN_MILLISECONDS = 500;

/**
 * Fraction of the deployment's retry budget that instances use. The token bucket of each instance
 * may be full at the start of a window, and requests that are counted late or at another service
 * reduce the budget.
 */
const RETRY_BUDGET_FRACTION = 0.6;

/** Fraction of the limits for changes at which the view is refreshed. */
const REFRESH_FRACTION = 0.4;

/**
 * Fraction of the limits for changes after which a call of a read without progress is given up. A read makes up to
 * two calls. With the fraction above and the delay of the first retry, a change is in effect in time even if
 * both fail.
 */
const READ_TIMEOUT_FRACTION = 0.25;

/** The store responds in up to about 400 ms when it is slow, and a connection may have to be opened. */
const MAXIMUM_READ_TIMEOUT_MILLISECONDS = 1000;

/** Delay of a repeated read after a single failure, which is more often that of one call than an outage. */
export const FIRST_RETRY_DELAY_MILLISECONDS = 100;

/**
 * Fraction of the grace period in which all requests are accepted. A load balancer that probes each
 * second and takes two failures as the end of an instance sends it callers for about as long.
 */
const ACCEPT_ALL_FRACTION = 0.3;

/**
 * Fraction of the grace period for which idle connections stay open, for callers to notice the
 * stop.
 */
const IDLE_CLOSE_FRACTION = 0.6;

/** Fraction of the grace period after which requests without a response are answered as failed. */
const ANSWER_DEADLINE_FRACTION = 0.9;

/** Fraction of the grace period after which all connections are closed. */
const CLOSE_FRACTION = 0.95;

/** Fraction of a lease after which it is renewed; allows three renewals within a lease. */
const LEASE_RENEWAL_FRACTION = 0.3;

/** Fraction of a lease by which a term ends early, for clocks that run at different rates. */
const LEASE_MARGIN_FRACTION = 0.15;

/** Mean time between two polls of the authority key by any of ten or more contending instances. */
const AUTHORITY_POLL_MILLISECONDS = 150;

/** Number of instances up to which each polls at the full rate; more share the total rate. */
const FULL_RATE_INSTANCES = 10;

const MILLISECONDS_PER_SECOND = 1000;

/** Derives the limits of forwarding from the bounds. */
export function forwardingLimitsOf(bounds: DeploymentBounds): ForwardingLimits {
  return {
    maximumViewAgeMilliseconds: bounds.withdrawnKeyMilliseconds - WITHDRAWN_KEY_MARGIN_MILLISECONDS,
    denialViewAgeMilliseconds: bounds.configurationMilliseconds,
    retryRatio: bounds.retryRatio * RETRY_BUDGET_FRACTION,
    retrySlack: bounds.retrySlack * RETRY_BUDGET_FRACTION,
  };
}

/** Time between two refreshes of the view, in milliseconds. */
export function viewRefreshPeriodOf(bounds: DeploymentBounds): number {
  return Math.min(bounds.configurationMilliseconds, bounds.leavingMilliseconds) * REFRESH_FRACTION;
}

/** Longest time without progress of a call that refreshes the view, in milliseconds. */
export function viewReadTimeoutOf(bounds: DeploymentBounds): number {
  return Math.min(
    MAXIMUM_READ_TIMEOUT_MILLISECONDS,
    Math.min(bounds.configurationMilliseconds, bounds.leavingMilliseconds) * READ_TIMEOUT_FRACTION,
  );
}

/** Longest time between two reads of the view that are current, with the time of a read, in milliseconds. */
export function viewObservationBoundOf(bounds: DeploymentBounds): number {
  return viewRefreshPeriodOf(bounds) + viewReadTimeoutOf(bounds);
}

/** Times of the shutdown of an instance. */
export function shutdownTimesOf({
  graceMilliseconds,
}: Pick<DeploymentBounds, 'graceMilliseconds'>): ShutdownTimes {
  return {
    acceptAllMilliseconds: graceMilliseconds * ACCEPT_ALL_FRACTION,
    idleCloseMilliseconds: graceMilliseconds * IDLE_CLOSE_FRACTION,
    answerDeadlineMilliseconds: graceMilliseconds * ANSWER_DEADLINE_FRACTION,
    closeMilliseconds: graceMilliseconds * CLOSE_FRACTION,
  };
}

/** Lease and polling times of the authority. */
export function authorityTimesOf({ leaseMilliseconds }: DeploymentBounds): AuthorityTimes {
  return {
    leaseSeconds: leaseMilliseconds / MILLISECONDS_PER_SECOND,
    marginMilliseconds: leaseMilliseconds * LEASE_MARGIN_FRACTION,
    renewalIntervalMilliseconds: leaseMilliseconds * LEASE_RENEWAL_FRACTION,
    pollIntervalMilliseconds: AUTHORITY_POLL_MILLISECONDS * FULL_RATE_INSTANCES,
  };
}
