import { toThousandths } from './Spend.js';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';

/** The endpoints of one kind in the zone. */
export interface KindSupply {
  readonly kind: EndpointKind;
  /** Live endpoints, and endpoints that were ordered and have not started yet. */
  readonly count: number;
  /** Identifiers of live endpoints without calls, which can be released. */
  readonly idle: readonly string[];
}

/** Demand of one class of work, as the number of endpoints that it would fully utilize. */
export interface ClassDemand {
  readonly className: string;
  /** Current demand. */
  readonly units: number;
  /** Demand expected at the time when an endpoint that is ordered now is ready. */
  readonly unitsAfterLeadTime: number;
  /** True if calls can be repeated on another endpoint when their endpoint is lost. */
  readonly toleratesLoss: boolean;
  /** Fraction of calls that may be lost by the targets of the class. */
  readonly lossTarget: number;
}

/** Input of a supply policy. All kinds serve the same classes of work. */
export interface SupplyObservation {
  readonly nowMilliseconds: number;
  readonly kinds: readonly KindSupply[];
  readonly demands: readonly ClassDemand[];
  /** Largest number of reclaimable endpoints in use in one zone; the other zones absorb their loss. */
  readonly largestReclaim: number;
  readonly zoneCount: number;
  /** Budget limit of all zones together, in thousandths per hour. */
  readonly spendLimit: number;
  /** Amount reserved by all zones together, in thousandths per hour. */
  readonly spent: number;
}

/** Demand of a class that has no capacity because of the budget limit. */
export interface Shortfall {
  readonly className: string;
  readonly units: number;
}

/** Decision of a supply policy, with the reason to log. */
export interface SupplyDecision {
  readonly order?: EndpointKind;
  readonly release?: string;
  readonly shortfalls: readonly Shortfall[];
  readonly reason: string;
}

/**
 * Decides which endpoints to order or release. An override returns at most one order or release and
 * does no I/O.
 */
export abstract class SupplyPolicy {
  abstract decide(observation: SupplyObservation): SupplyDecision;
}

/** Baseline policy that never orders or releases an endpoint. */
export class StaticSupplyPolicy extends SupplyPolicy {
  override decide(): SupplyDecision {
    return { shortfalls: [], reason: 'supply is static' };
  }
}

/** Limits of a demand-driven supply policy. */
export interface SupplyLimits {
  /**
   * Time that a surplus must last before an endpoint is released. Lead times are long, so a released
   * endpoint cannot be replaced quickly.
   */
  readonly surplusMilliseconds: number;
  /** Number of endpoints kept in addition to the required ones. */
  readonly spareEndpoints: number;
}

export const DEFAULT_SUPPLY_LIMITS: SupplyLimits = {
  surplusMilliseconds: 900_000,
  spareEndpoints: 1,
};

/** Required and present numbers of endpoints. On-demand means not reclaimable. */
interface SupplyCounts {
  readonly requiredOnDemand: number;
  readonly requiredTotal: number;
  readonly onDemand: number;
  readonly total: number;
}

function totalCount(kinds: readonly KindSupply[]): number {
  return kinds.reduce((sum, { count }) => sum + count, 0);
}

/**
 * Allocates missing capacity to the classes, starting with the highest loss target, where lost work
 * violates the targets least.
 */
export function allocateShortfall(demands: readonly ClassDemand[], missing: number): Shortfall[] {
  let remaining = missing;
  const shortfalls: Shortfall[] = [];
  for (const demand of demands.toSorted((left, right) => right.lossTarget - left.lossTarget)) {
    const units = Math.min(remaining, demand.unitsAfterLeadTime);
    if (units > 0) {
      shortfalls.push({ className: demand.className, units });
      remaining -= units;
    }
  }
  return shortfalls;
}

/**
 * Orders reclaimable endpoints for work that tolerates their loss, and on-demand endpoints for other
 * work and for this zone's share of the load when all reclaimable endpoints of a zone are
 * reclaimed. Lead times are long, so it orders for the demand expected after the lead time and
 * releases only after a long surplus. At the budget limit, the shortfall is allocated to the classes
 * with the highest loss targets.
 */
export class DemandSupplyPolicy extends SupplyPolicy {
  private readonly limits: SupplyLimits;

  private surplusSinceMilliseconds: number | undefined;

  constructor(limits: SupplyLimits = DEFAULT_SUPPLY_LIMITS) {
    super();
    this.limits = limits;
  }

  override decide(observation: SupplyObservation): SupplyDecision {
    const counts = this.countSupply(observation);
    if (counts.onDemand < counts.requiredOnDemand) {
      this.surplusSinceMilliseconds = undefined;
      return this.order(observation, counts, false);
    }
    if (counts.total < counts.requiredTotal) {
      this.surplusSinceMilliseconds = undefined;
      return this.order(observation, counts, true);
    }
    return this.release(observation, counts);
  }

  private countSupply({
    kinds,
    demands,
    largestReclaim,
    zoneCount,
  }: SupplyObservation): SupplyCounts {
    const unitsOf = (list: readonly ClassDemand[]) =>
      list.reduce((total, each) => total + Math.max(each.units, each.unitsAfterLeadTime), 0);
    const lossSensitive = unitsOf(demands.filter((each) => !each.toleratesLoss));
    const reclaimReserve = largestReclaim / Math.max(1, zoneCount - 1);
    return {
      requiredOnDemand: Math.ceil(lossSensitive + reclaimReserve),
      requiredTotal: Math.max(
        Math.ceil(unitsOf(demands)),
        Math.ceil(lossSensitive + reclaimReserve),
      ),
      onDemand: totalCount(kinds.filter(({ kind }) => !kind.reclaimable)),
      total: totalCount(kinds),
    };
  }

  /** Orders the cheapest kind within the budget; reclaimable kinds only if they are allowed. */
  private order(
    observation: SupplyObservation,
    counts: SupplyCounts,
    allowsReclaimable: boolean,
  ): SupplyDecision {
    const { kinds, demands, spendLimit, spent } = observation;
    const eligible = kinds
      .map(({ kind }) => kind)
      .filter((kind) => allowsReclaimable || !kind.reclaimable)
      .toSorted((left, right) => left.costPerHour - right.costPerHour);
    const affordable = eligible.find(
      (kind) => spent + toThousandths(kind.costPerHour) <= spendLimit,
    );
    const countsText = `on-demand ${counts.onDemand}/${counts.requiredOnDemand}, total ${counts.total}/${counts.requiredTotal}`;
    if (affordable !== undefined) {
      return {
        order: affordable,
        shortfalls: [],
        reason: `order ${affordable.name}: ${countsText}`,
      };
    }
    if (!allowsReclaimable && counts.total < counts.requiredTotal) {
      // A reclaimable endpoint within the budget is better than a shortfall.
      const fallback = this.order(observation, counts, true);
      return { ...fallback, reason: `no on-demand endpoint fits the budget; ${fallback.reason}` };
    }
    const shortfalls = allocateShortfall(demands, Math.max(0, counts.requiredTotal - counts.total));
    const unserved = shortfalls.map((each) => `${each.units.toFixed(1)} of ${each.className}`);
    const shortfallText = unserved.length === 0 ? 'no reserve for a reclaim' : unserved.join(', ');
    return {
      shortfalls,
      reason: `budget limit ${spendLimit} reached: ${countsText}; shortfall: ${shortfallText}`,
    };
  }

  private release(
    { kinds, nowMilliseconds }: SupplyObservation,
    counts: SupplyCounts,
  ): SupplyDecision {
    const surplus = counts.total - counts.requiredTotal - this.limits.spareEndpoints;
    const onDemandSurplus = counts.onDemand - counts.requiredOnDemand;
    const releasable = kinds
      .filter(({ kind, idle }) => idle.length > 0 && (kind.reclaimable || onDemandSurplus > 0))
      .toSorted((left, right) => right.kind.costPerHour - left.kind.costPerHour);
    const release = releasable[0]?.idle[0];
    if (surplus <= 0 || release === undefined) {
      this.surplusSinceMilliseconds = undefined;
      return { shortfalls: [], reason: 'supply fits the demand' };
    }
    this.surplusSinceMilliseconds ??= nowMilliseconds;
    const surplusAgeMilliseconds = nowMilliseconds - this.surplusSinceMilliseconds;
    if (surplusAgeMilliseconds < this.limits.surplusMilliseconds) {
      return { shortfalls: [], reason: `surplus of ${surplus} for ${surplusAgeMilliseconds} ms` };
    }
    this.surplusSinceMilliseconds = undefined;
    return { release, shortfalls: [], reason: `release ${release}: surplus of ${surplus}` };
  }
}
