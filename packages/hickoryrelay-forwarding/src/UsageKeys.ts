const USAGE_PREFIX = '/hickoryrelay/forwarded/';

/** Prefix of the keys of the usage counts of all instances for a window. */
export function usageCountsPrefix(window: number): string {
  return `${USAGE_PREFIX}parts/${window}/`;
}

/** Key of the usage counts of one incarnation of an instance for a window. */
export function usageCountsKey(window: number, incarnation: string): string {
  return `${usageCountsPrefix(window)}${incarnation}`;
}

/** Key of the sealed counts of a window, which are reported and never change. */
export function sealedWindowKey(window: number): string {
  return `${USAGE_PREFIX}seals/${window}`;
}

/** Key of the first window that no holder can have sealed before the current era of the store. */
export const SEALABLE_WINDOWS_KEY = `${USAGE_PREFIX}sealable-windows`;
