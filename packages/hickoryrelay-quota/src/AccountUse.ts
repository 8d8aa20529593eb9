import { toleranceOf, windowQuantityOf } from './QuotaLimit.js';

import type { QuotaBounds, QuotaLimit } from './QuotaLimit.js';

/** What one or several instances admitted for an account. All figures are additive. */
export interface AccountUse {
  /** Hash of the account's name. */
  readonly account: number;
  /** Units admitted in the current sliding window. */
  readonly windowUse: number;
  /** Units that the bucket of the account holds of these instances: admitted and not yet leaked. */
  readonly level: number;
  /** Units requested per second, including refused requests. */
  readonly demandPerSecond: number;
  /** Units admitted in the window at the last time when almost all instances were heard. */
  readonly agreedUse: number;
}

/** The use of accounts as reported by one instance or summed by a relay. */
export interface AccountUseReport {
  /** Number of instances whose use is included. */
  readonly instances: number;
  /** Wall-clock time of the sender, by which receivers tell late reports from new ones. */
  readonly sentMilliseconds: number;
  /** False if accounts are left out of the report; their last figures remain valid. */
  readonly isComplete: boolean;
  readonly accounts: readonly AccountUse[];
}

/**
 * Demand above this multiple of what the rate and burst allow in a second is taken for an error of the
 * reporting instance. Callers request several times their quota.
 */
const MAXIMUM_DEMAND_MULTIPLE = 100;

/** Allows for limits that were higher a window ago. */
const PLAUSIBLE_USE_MULTIPLE = 2;

function isCount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

/** True if all figures are finite and at least 0. */
export function isValidUse({ windowUse, level, demandPerSecond, agreedUse }: AccountUse): boolean {
  return [windowUse, level, demandPerSecond, agreedUse].every(isCount);
}

/**
 * True if the figures are possible under the limit. An instance with a fault could otherwise block an
 * account at all others.
 */
export function isPlausibleUse(use: AccountUse, limit: QuotaLimit, bounds: QuotaBounds): boolean {
  const most =
    (windowQuantityOf(limit, bounds) + toleranceOf(limit, bounds)) * PLAUSIBLE_USE_MULTIPLE;
  return (
    isValidUse(use) &&
    use.windowUse <= most &&
    use.level <= most &&
    use.agreedUse <= most &&
    use.demandPerSecond <= (limit.ratePerSecond + limit.burst) * MAXIMUM_DEMAND_MULTIPLE
  );
}

/** The use of an account that is idle. */
export function noUseOf(account: number): AccountUse {
  return { account, windowUse: 0, level: 0, demandPerSecond: 0, agreedUse: 0 };
}

/** Adds the use of two groups of instances. */
export function addUses(left: AccountUse, right: AccountUse): AccountUse {
  return {
    account: left.account,
    windowUse: left.windowUse + right.windowUse,
    level: left.level + right.level,
    demandPerSecond: left.demandPerSecond + right.demandPerSecond,
    agreedUse: left.agreedUse + right.agreedUse,
  };
}

/** Subtracts the use of one instance from a sum that may include an earlier report of it. */
export function subtractUse(sum: AccountUse, part: AccountUse): AccountUse {
  return {
    account: sum.account,
    windowUse: Math.max(0, sum.windowUse - part.windowUse),
    level: Math.max(0, sum.level - part.level),
    demandPerSecond: Math.max(0, sum.demandPerSecond - part.demandPerSecond),
    agreedUse: Math.max(0, sum.agreedUse - part.agreedUse),
  };
}

/** Returns the smaller of each figure of two reports of one instance. */
export function smallerUse(left: AccountUse, right: AccountUse): AccountUse {
  return {
    account: left.account,
    windowUse: Math.min(left.windowUse, right.windowUse),
    level: Math.min(left.level, right.level),
    demandPerSecond: Math.min(left.demandPerSecond, right.demandPerSecond),
    agreedUse: Math.min(left.agreedUse, right.agreedUse),
  };
}
