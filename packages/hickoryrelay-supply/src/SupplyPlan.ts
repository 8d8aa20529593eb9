import type { RequiredEngines } from './EngineDemand.js';

/** Limits on the number of engines in each zone. */
export interface ZoneLimits {
  readonly minimum: number;
  readonly maximum: number;
}

/** Without another zone to fall back on, a reserve of half the required engines is kept. */
const SINGLE_ZONE_RESERVE = 1.5;

/** A plan is kept while the engines for the current work differ by less than this fraction. */
const TOLERANCE_FRACTION = 0.15;

/**
 * Engines to have in each of a number of zones, so that those of the others are enough when one zone
 * loses all of its engines. An equal division loses the least with any zone, and keeps requests within
 * their zone.
 */
export function enginesPerZone(
  { prefill, decode }: RequiredEngines,
  { minimum, maximum }: ZoneLimits,
  zoneCount: number,
): number {
  const required = prefill + decode;
  const perZone = zoneCount > 1 ? required / (zoneCount - 1) : required * SINGLE_ZONE_RESERVE;
  return Math.min(maximum, Math.max(minimum, 1, Math.ceil(perZone)));
}

/** The planned engines in each zone of one service, which follow the work with hysteresis. */
export class SupplyPlan {
  private current: number | undefined;

  /** @param planned the plan to continue; undefined for a service without one. */
  constructor(planned?: number) {
    this.current = planned;
  }

  /** Engines in each zone; undefined before the first update of a plan that continues none. */
  get planned(): number | undefined {
    return this.current;
  }

  /** Returns the planned engines in each zone; unchanged while the required ones are not known. */
  update(
    required: RequiredEngines | undefined,
    limits: ZoneLimits,
    zoneCount: number,
  ): number | undefined {
    if (required === undefined) {
      return this.current;
    }
    const target = enginesPerZone(required, limits, zoneCount);
    const planned = Math.min(this.current ?? target, limits.maximum);
    const isClose =
      target < limits.maximum && Math.abs(target - planned) <= planned * TOLERANCE_FRACTION;
    this.current = isClose ? planned : target;
    return this.current;
  }
}
