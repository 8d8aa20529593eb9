const MILLISECONDS_PER_SECOND = 1000;

/** The quota of a client account, for all instances together. */
export interface QuotaLimit {
  /** Units (tokens or requests) per second; greater than 0. */
  readonly ratePerSecond: number;
  /** Units that the account may use at once after a pause. */
  readonly burst: number;
}

/** The deployment's bound on what may run for an account in any sliding window. */
export interface QuotaBounds {
  readonly windowMilliseconds: number;
  /** Fraction by which a window may exceed its rate and burst. */
  readonly overshoot: number;
  /** Units by which a window may exceed its rate and burst in addition. */
  readonly slack: number;
}

/** The bounds if the settings declare none: those of the first deployments, without slack. */
export const DEFAULT_QUOTA_BOUNDS: QuotaBounds = {
  windowMilliseconds: 8000,
  overshoot: 0.1,
  slack: 0,
};

/** Returns the units that rate and burst allow in a window. */
export function windowQuantityOf(limit: QuotaLimit, bounds: QuotaBounds): number {
  const seconds = bounds.windowMilliseconds / MILLISECONDS_PER_SECOND;
  return limit.ratePerSecond * seconds + limit.burst;
}

/** Returns the units that the bound allows in a window beyond rate and burst. */
export function toleranceOf(limit: QuotaLimit, bounds: QuotaBounds): number {
  return windowQuantityOf(limit, bounds) * bounds.overshoot + bounds.slack;
}
