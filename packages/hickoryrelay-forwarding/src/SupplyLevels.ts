import type { SupplyLevel } from './FencedPlatform.js';
import type { ForwardingService, SupplyBounds } from './ForwardingConfiguration.js';

/**
 * Number of zones from which on no on-demand endpoints are kept while reclaimable ones are available:
 * when two zones are reclaimed at once, half of the supply is left until on-demand endpoints start.
 */
const ZONES_WITHOUT_BASE = 4;

/** On-demand endpoints in each zone of a deployment with fewer zones. */
const MINIMUM_BASE = 1;

/** Fraction of a zone's maximum supply that is on-demand while reclaimable endpoints are scarce. */
const FALLBACK_FRACTION = 0.6;

/**
 * Highest price, as a fraction of the on-demand price, at which the savings of reclaimable
 * endpoints outweigh the loss of endpoints that are reclaimed.
 */
const MAXIMUM_RECLAIMABLE_PRICE = 0.6;

/** Current supply of a service in one zone. */
export interface ZoneSupply {
  readonly zone: string;
  readonly onDemand: number;
  readonly reclaimable: number;
  /** True while reclaimable endpoints are being reclaimed or are unavailable. */
  readonly isScarce: boolean;
  /** Number of zones in which the service runs. */
  readonly zoneCount: number;
  /** Endpoints that the zone should have for the observed work; undefined while that is not known. */
  readonly planned?: number | undefined;
  /** Endpoints that the work needs beyond those that other zones have. */
  readonly uncovered?: number | undefined;
}

/**
 * On-demand endpoints of a zone while reclaimable ones are available. Bounds apply to both kinds. When a
 * zone loses its reclaimable endpoints, those of the other zones carry the load until on-demand ones
 * start, so that more than the minimum would be paid for without being needed.
 */
function baseOf({ minimum }: SupplyBounds, zoneCount: number): number {
  return zoneCount >= ZONES_WITHOUT_BASE ? 0 : Math.max(minimum, MINIMUM_BASE);
}

/**
 * Decides how many endpoints a service should have in a zone. Endpoints ordered on a rise of the
 * load start too late for it, so the supply of the cheap reclaimable ones is kept at the maximum
 * while the work is not known, and at the plan for its recent peak afterwards. When a zone loses them,
 * on-demand endpoints replace them until the first reclaimable ones are back, as far as those of the
 * other zones are not enough.
 */
export function supplyLevels(
  { supply, name: service }: ForwardingService,
  { zone, onDemand, reclaimable, isScarce, zoneCount, planned, uncovered }: ZoneSupply,
): readonly SupplyLevel[] {
  if (supply === undefined || supply.reclaimablePrice > MAXIMUM_RECLAIMABLE_PRICE) {
    return [];
  }
  const { minimum } = supply;
  const maximum = planned ?? supply.maximum;
  const base = baseOf(supply, zoneCount);
  const wanted = Math.ceil(maximum * FALLBACK_FRACTION);
  const fallback = Math.max(minimum, base, Math.min(wanted, uncovered ?? wanted));
  const onDemandLevel = (count: number) => ({ service, zone, count, isReclaimable: false });
  const reclaimableLevel = (count: number) => ({ service, zone, count, isReclaimable: true });
  if (isScarce) {
    return [onDemandLevel(fallback), reclaimableLevel(maximum - fallback)];
  }
  const isRecovering = onDemand > base && reclaimable < maximum - fallback;
  return isRecovering
    ? [reclaimableLevel(maximum - fallback)]
    : [onDemandLevel(base), reclaimableLevel(maximum - base)];
}
