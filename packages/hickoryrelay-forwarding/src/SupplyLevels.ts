import type { SupplyLevel } from './DutyPlatform.js';
import type { ForwardingService } from './ForwardingConfiguration.js';

/**
 * Part of a zone's endpoints that is lasting. A reclaim takes all reclaimable endpoints of a zone at
 * once, and while no others are to be had, the lasting ones of that zone and the other zones' serve.
 */
const LASTING_PART = 0.25;

/** Above this price the loss of reclaimable endpoints is not worth what they save. */
const HIGHEST_RECLAIMABLE_PRICE = 0.6;

/**
 * Decides how many endpoints a service should have in each zone. Newly ordered endpoints come too
 * late for a swing of the load, so the reclaimable ones, which are cheap, are kept at the bound.
 */
export function* supplyLevels(
  service: ForwardingService,
  zones: readonly string[],
): Generator<SupplyLevel, void, void> {
  const { supply, name } = service;
  if (supply === undefined || supply.reclaimablePrice > HIGHEST_RECLAIMABLE_PRICE) {
    return;
  }
  const lasting = Math.max(supply.minimum, Math.ceil(supply.maximum * LASTING_PART));
  for (const zone of zones) {
    yield { service: name, zone, count: supply.maximum - lasting, isReclaimable: true };
    yield { service: name, zone, count: lasting, isReclaimable: false };
  }
}
