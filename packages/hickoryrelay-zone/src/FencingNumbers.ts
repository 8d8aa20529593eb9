/**
 * Fencing numbers between the floors of two eras of the store. An era must not use up more: the next
 * one would then assign some of them again.
 */
const FENCING_NUMBERS_PER_ERA = 1_000_000;

/**
 * The number above which all fencing numbers of an era of the store lie. A store that is restored
 * from an older copy has forgotten the last numbers, so the stored counter alone would go back.
 */
export function fencingFloorOf(era: number): number {
  return era * FENCING_NUMBERS_PER_ERA;
}

/**
 * True if the stored value of an authority key is from a term of an era before that of the floor. The
 * store may execute the acquisition of such a term late, attached to a lease that it has granted again
 * to another instance, which renews it for as long as it runs.
 */
export function isAcquiredInEarlierEra(storedValue: string, fencingFloor: number): boolean {
  try {
    const { fencingNumber } = JSON.parse(storedValue) as { fencingNumber?: unknown };
    return typeof fencingNumber === 'number' && fencingNumber <= fencingFloor;
  } catch {
    return false;
  }
}
