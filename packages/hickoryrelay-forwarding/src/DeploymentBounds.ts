import type { ForwardingLimits } from './ForwardingLimits.js';
import type { AuthorityTimes } from 'hickoryrelay-zone/ZoneAuthority';

/** What a deployment promises or allows. All times are in milliseconds. */
export interface DeploymentBounds {
  /** Time in which a configuration is in force everywhere. */
  readonly configurationMilliseconds: number;
  /** Time after which a leaving endpoint gets no more requests. */
  readonly leavingMilliseconds: number;
  /** Time after which a withdrawn key runs nothing. */
  readonly withdrawnKeyMilliseconds: number;
  /** Time between the signal to stop and the end of the process. */
  readonly graceMilliseconds: number;
  /** Repeated sends that are allowed for each request to a service, as a share. */
  readonly retryRatio: number;
  /** Repeated sends to a service that are allowed beyond the share, over all instances. */
  readonly retrySlack: number;
  readonly usageWindowMilliseconds: number;
  /** When the usage of a window is due, after its end. */
  readonly usageDueMilliseconds: number;
  readonly leaseMilliseconds: number;
}

/** Taken off the bound for withdrawn keys, for clocks and the way of a request, in milliseconds. */
const KEY_MARGIN_MILLISECONDS = 500;

/**
 * Part of the deployment's retry budget that instances use. The bucket of each may be full at the
 * start of a window, and requests that are counted late or at another service shrink the budget.
 */
const RETRY_BUDGET_PART = 0.6;

/**
 * Part of the bounds for changes after which the view is read again, so that a change is in force in
 * time also when one reading fails and a connection takes its longest time to open.
 */
const READING_PART = 0.4;

/** Part of the grace time for which connections stay open to callers that have not noticed the stop. */
const IDLE_GRACE_PART = 0.6;

/** Part of the grace time after which requests that still run are broken off. */
const WORK_GRACE_PART = 0.95;

/** Share of a lease after which it is renewed, so that three renewals fit into it. */
const RENEWAL_PART = 0.3;

/** Share of a lease that is taken off for clocks that run at different rates. */
const LEASE_MARGIN_PART = 0.15;

/** Mean time between two looks at the authority, by any of ten contending instances or more. */
const CONTEND_MILLISECONDS = 150;

/** Number of instances up to which each looks at the full rate; more share the looks. */
const FULL_RATE_INSTANCES = 10;

const MILLISECONDS_PER_SECOND = 1000;

/** The limits of forwarding that keep to the bounds. */
export function forwardingLimitsOf(bounds: DeploymentBounds): ForwardingLimits {
  return {
    maximumViewAgeMilliseconds: bounds.withdrawnKeyMilliseconds - KEY_MARGIN_MILLISECONDS,
    denialViewAgeMilliseconds: bounds.configurationMilliseconds,
    retryRatio: bounds.retryRatio * RETRY_BUDGET_PART,
    retrySlack: bounds.retrySlack * RETRY_BUDGET_PART,
  };
}

/** Time between two readings of the view, in milliseconds. */
export function readingPeriodOf(bounds: DeploymentBounds): number {
  return Math.min(bounds.configurationMilliseconds, bounds.leavingMilliseconds) * READING_PART;
}

/** When a stopping instance closes its idle connections, and when it breaks off what still runs. */
export function stopTimesOf({ graceMilliseconds }: DeploymentBounds): {
  readonly idleMilliseconds: number;
  readonly workMilliseconds: number;
} {
  return {
    idleMilliseconds: graceMilliseconds * IDLE_GRACE_PART,
    workMilliseconds: graceMilliseconds * WORK_GRACE_PART,
  };
}

/** The times of the authority over the duties. */
export function authorityTimesOf({ leaseMilliseconds }: DeploymentBounds): AuthorityTimes {
  return {
    leaseSeconds: leaseMilliseconds / MILLISECONDS_PER_SECOND,
    marginMilliseconds: leaseMilliseconds * LEASE_MARGIN_PART,
    renewalMilliseconds: leaseMilliseconds * RENEWAL_PART,
    contendMilliseconds: CONTEND_MILLISECONDS * FULL_RATE_INSTANCES,
  };
}
