const ZONES_PREFIX = '/hickoryrelay/zones/';

/** Amounts of the shared budget that are reserved by each zone. */
export const SPEND_KEY = '/hickoryrelay/spend';

/** Key of the holder of the zone's authority; attached to the holder's lease. */
export function authorityKey(zone: string): string {
  return `${ZONES_PREFIX}${zone}/authority`;
}

/** Key of the zone's fencing counter. Never deleted, so that no fencing number is reused. */
export function fencingKey(zone: string): string {
  return `${ZONES_PREFIX}${zone}/fencing`;
}

export function intentsPrefix(zone: string): string {
  return `${ZONES_PREFIX}${zone}/intents/`;
}

/** Key of the open order to an endpoint. One key per endpoint limits it to one open order. */
export function intentKey(zone: string, endpoint: string): string {
  return `${intentsPrefix(zone)}${endpoint}`;
}

export function supplyIntentsPrefix(zone: string): string {
  return `${ZONES_PREFIX}${zone}/supply-intents/`;
}

export function supplyIntentKey(zone: string, idempotencyKey: string): string {
  return `${supplyIntentsPrefix(zone)}${idempotencyKey}`;
}

/** Prefix of the records of supply orders that took effect and whose endpoints are still paid for. */
export function suppliedPrefix(zone: string): string {
  return `${ZONES_PREFIX}${zone}/supplied/`;
}

export function suppliedKey(zone: string, idempotencyKey: string): string {
  return `${suppliedPrefix(zone)}${idempotencyKey}`;
}
