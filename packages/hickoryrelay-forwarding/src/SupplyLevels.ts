import type { SupplyLevel } from './DutyPlatform.js';
import type { ForwardingService } from './ForwardingConfiguration.js';

/** Part of a zone's endpoints that is lasting while reclaimable ones are to be had. */
const LASTING_PART = 0.1;

/** Part of a zone's endpoints that is lasting while no reclaimable ones are to be had. */
const COVER_PART = 0.6;

/** Above this price the loss of reclaimable endpoints is not worth what they save. */
const HIGHEST_RECLAIMABLE_PRICE = 0.6;

/** The endpoints of a service in one zone. */
export interface ZoneSupply {
  readonly zone: string;
  readonly lasting: number;
  readonly reclaimable: number;
  /** True while reclaimable endpoints are taken away or are not to be had. */
  readonly isScarce: boolean;
}

/**
 * Decides how many endpoints a service should have in a zone. Endpoints that are ordered late come
 * too late for a swing of the load, so the cheap reclaimable ones are kept at the bound. When a zone
 * loses them, lasting ones cover for them until the first reclaimable ones are back.
 */
export function supplyLevels(
  { supply, name: service }: ForwardingService,
  { zone, lasting, reclaimable, isScarce }: ZoneSupply,
): readonly SupplyLevel[] {
  if (supply === undefined || supply.reclaimablePrice > HIGHEST_RECLAIMABLE_PRICE) {
    return [];
  }
  const { minimum, maximum } = supply;
  const base = Math.max(minimum, Math.ceil(maximum * LASTING_PART));
  const cover = Math.max(base, Math.ceil(maximum * COVER_PART));
  const lastingLevel = (count: number) => ({ service, zone, count, isReclaimable: false });
  const reclaimableLevel = (count: number) => ({ service, zone, count, isReclaimable: true });
  if (isScarce) {
    return [lastingLevel(cover), reclaimableLevel(maximum - cover)];
  }
  const isRecovering = lasting > base && reclaimable < maximum - cover;
  return isRecovering
    ? [reclaimableLevel(maximum - cover)]
    : [lastingLevel(base), reclaimableLevel(maximum - base)];
}
