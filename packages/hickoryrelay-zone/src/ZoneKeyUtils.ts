const ZONES_PREFIX = '/hickoryrelay/zones/';

/** Amounts of the shared budget that the zones have reserved. */
export const SPEND_KEY = '/hickoryrelay/spend';

/** The holder of the zone's authority; attached to its lease. */
export function authorityKey(zone: string): string {
  return `${ZONES_PREFIX}${zone}/authority`;
}

/** The fencing counter of the zone. Never deleted, so that no number is used twice. */
export function fencingKey(zone: string): string {
  return `${ZONES_PREFIX}${zone}/fencing`;
}

export function intentsPrefix(zone: string): string {
  return `${ZONES_PREFIX}${zone}/intents/`;
}

/** The open order to an endpoint. One key for each endpoint allows one open order. */
export function intentKey(zone: string, endpoint: string): string {
  return `${intentsPrefix(zone)}${endpoint}`;
}

export function supplyIntentsPrefix(zone: string): string {
  return `${ZONES_PREFIX}${zone}/supply-intents/`;
}

export function supplyIntentKey(zone: string, idempotencyKey: string): string {
  return `${supplyIntentsPrefix(zone)}${idempotencyKey}`;
}

/** Supply orders that took effect and still cost money. */
export function suppliedPrefix(zone: string): string {
  return `${ZONES_PREFIX}${zone}/supplied/`;
}

export function suppliedKey(zone: string, idempotencyKey: string): string {
  return `${suppliedPrefix(zone)}${idempotencyKey}`;
}
