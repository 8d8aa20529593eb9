const USAGE_PREFIX = '/hickoryrelay/forwarded/';

/** Prefix of the counts that instances hand over for a window. */
export function partsPrefix(window: number): string {
  return `${USAGE_PREFIX}parts/${window}/`;
}

/** The counts of one incarnation of an instance for a window. */
export function partKey(window: number, incarnation: string): string {
  return `${partsPrefix(window)}${incarnation}`;
}

/** The counts of a window as they are reported; written once. */
export function sealKey(window: number): string {
  return `${USAGE_PREFIX}seals/${window}`;
}
