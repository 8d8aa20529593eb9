import { thousandthsOf } from './Spend.js';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';

/** The endpoints of one kind in the zone. */
export interface SuppliedKind {
  readonly kind: EndpointKind;
  /** Live ones, and ones that were ordered and have not started. */
  readonly count: number;
  /** Identifiers of live endpoints without calls, which may be released. */
  readonly idle: readonly string[];
}

/** The demand of one class of work, counted in endpoints that it would keep fully occupied. */
export interface ClassDemand {
  readonly className: string;
  /** Now, and as expected when an endpoint ordered now would be ready. */
  readonly units: number;
  readonly unitsAfterLead: number;
  /** True if work goes on elsewhere when its endpoint is lost. */
  readonly survivesLoss: boolean;
  /** Share of calls that may be lost, by the class's targets. */
  readonly lossTarget: number;
}

/** What a supply policy decides from. All kinds serve the same work. */
export interface SupplyObservation {
  readonly nowMilliseconds: number;
  readonly kinds: readonly SuppliedKind[];
  readonly demands: readonly ClassDemand[];
  /** Most reclaimable endpoints in use in one zone, whose loss the others must absorb. */
  readonly largestReclaim: number;
  readonly zoneCount: number;
  /** Spend that all zones may reach and have reached, in thousandths for an hour. */
  readonly spendLimit: number;
  readonly spent: number;
}

/** Work of a class that the budget leaves without capacity. */
export interface Shortfall {
  readonly className: string;
  readonly units: number;
}

/** What a supply policy decided, with the reason for the log. */
export interface SupplyDecision {
  readonly order?: EndpointKind;
  readonly release?: string;
  readonly shortfalls: readonly Shortfall[];
  readonly reason: string;
}

/** Decides what endpoints to order or release. An override returns at most one and does no I/O. */
export abstract class SupplyPolicy {
  abstract decide(observation: SupplyObservation): SupplyDecision;
}

/** The baseline: the endpoints stay as they are. */
export class StaticSupply extends SupplyPolicy {
  override decide(): SupplyDecision {
    return { shortfalls: [], reason: 'supply is static' };
  }
}

/** Limits of the supply plan. */
export interface SupplyLimits {
  /** How long a surplus must last before an endpoint is released, because lead times are long. */
  readonly surplusMilliseconds: number;
  /** Endpoints kept beyond the need before one is released. */
  readonly spareEndpoints: number;
}

export const DEFAULT_SUPPLY_LIMITS: SupplyLimits = {
  surplusMilliseconds: 900_000,
  spareEndpoints: 1,
};

/** What is needed and present of lasting and of reclaimable endpoints. */
interface SupplyNeed {
  readonly lastingNeeded: number;
  readonly totalNeeded: number;
  readonly lasting: number;
  readonly total: number;
}

function countOf(kinds: readonly SuppliedKind[]): number {
  return kinds.reduce((sum, { count }) => sum + count, 0);
}

/**
 * Spreads missing capacity over the classes, those that allow the most loss first: a unit of work
 * lost there does the least harm by the targets.
 */
export function leastHarm(demands: readonly ClassDemand[], missing: number): Shortfall[] {
  let rest = missing;
  const shortfalls: Shortfall[] = [];
  for (const demand of demands.toSorted((left, right) => right.lossTarget - left.lossTarget)) {
    const units = Math.min(rest, demand.unitsAfterLead);
    if (units > 0) {
      shortfalls.push({ className: demand.className, units });
      rest -= units;
    }
  }
  return shortfalls;
}

/**
 * Buys reclaimable endpoints for work that survives their loss, and lasting ones for the rest and
 * for this zone's part in absorbing the reclaim of a whole zone. Lead times are long, so it orders
 * for the demand expected after them and releases only after a long surplus. At the budget's limit
 * the shortfall goes to the classes whose targets allow the most loss.
 */
export class DemandSupply extends SupplyPolicy {
  private readonly limits: SupplyLimits;

  private surplusSinceMilliseconds: number | undefined;

  constructor(limits: SupplyLimits = DEFAULT_SUPPLY_LIMITS) {
    super();
    this.limits = limits;
  }

  override decide(observation: SupplyObservation): SupplyDecision {
    const need = this.need(observation);
    if (need.lasting < need.lastingNeeded) {
      this.surplusSinceMilliseconds = undefined;
      return this.order(observation, need, false);
    }
    if (need.total < need.totalNeeded) {
      this.surplusSinceMilliseconds = undefined;
      return this.order(observation, need, true);
    }
    return this.release(observation, need);
  }

  private need({ kinds, demands, largestReclaim, zoneCount }: SupplyObservation): SupplyNeed {
    const sum = (list: readonly ClassDemand[]) =>
      list.reduce((total, each) => total + Math.max(each.units, each.unitsAfterLead), 0);
    const fragile = sum(demands.filter((each) => !each.survivesLoss));
    const absorbed = largestReclaim / Math.max(1, zoneCount - 1);
    return {
      lastingNeeded: Math.ceil(fragile + absorbed),
      totalNeeded: Math.max(Math.ceil(sum(demands)), Math.ceil(fragile + absorbed)),
      lasting: countOf(kinds.filter(({ kind }) => !kind.reclaimable)),
      total: countOf(kinds),
    };
  }

  /** Orders the cheapest kind that fits, a lasting one unless work survives the loss. */
  private order(
    observation: SupplyObservation,
    need: SupplyNeed,
    allowsReclaimable: boolean,
  ): SupplyDecision {
    const { kinds, demands, spendLimit, spent } = observation;
    const suited = kinds
      .map(({ kind }) => kind)
      .filter((kind) => allowsReclaimable || !kind.reclaimable)
      .toSorted((left, right) => left.costPerHour - right.costPerHour);
    const affordable = suited.find((kind) => spent + thousandthsOf(kind.costPerHour) <= spendLimit);
    const counts = `lasting ${need.lasting}/${need.lastingNeeded}, all ${need.total}/${need.totalNeeded}`;
    if (affordable !== undefined) {
      return { order: affordable, shortfalls: [], reason: `order ${affordable.name}: ${counts}` };
    }
    if (!allowsReclaimable && need.total < need.totalNeeded) {
      // A reclaimable endpoint that fits the budget does less harm than none.
      const second = this.order(observation, need, true);
      return { ...second, reason: `no lasting endpoint fits the budget; ${second.reason}` };
    }
    const shortfalls = leastHarm(demands, Math.max(0, need.totalNeeded - need.total));
    const harmed = shortfalls.map((each) => `${each.units.toFixed(1)} of ${each.className}`);
    const harm = harmed.length === 0 ? 'no reserve for a reclaim' : harmed.join(', ');
    return { shortfalls, reason: `budget limit ${spendLimit} reached: ${counts}; harm: ${harm}` };
  }

  private release({ kinds, nowMilliseconds }: SupplyObservation, need: SupplyNeed): SupplyDecision {
    const surplus = need.total - need.totalNeeded - this.limits.spareEndpoints;
    const lastingSurplus = need.lasting - need.lastingNeeded;
    const releasable = kinds
      .filter(({ kind, idle }) => idle.length > 0 && (kind.reclaimable || lastingSurplus > 0))
      .toSorted((left, right) => right.kind.costPerHour - left.kind.costPerHour);
    const release = releasable[0]?.idle[0];
    if (surplus <= 0 || release === undefined) {
      this.surplusSinceMilliseconds = undefined;
      return { shortfalls: [], reason: 'supply fits the demand' };
    }
    this.surplusSinceMilliseconds ??= nowMilliseconds;
    const lasted = nowMilliseconds - this.surplusSinceMilliseconds;
    if (lasted < this.limits.surplusMilliseconds) {
      return { shortfalls: [], reason: `surplus of ${surplus} for ${lasted} ms` };
    }
    this.surplusSinceMilliseconds = undefined;
    return { release, shortfalls: [], reason: `release ${release}: surplus of ${surplus}` };
  }
}
