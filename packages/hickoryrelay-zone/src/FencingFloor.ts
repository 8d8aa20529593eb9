import { DEFAULT_AUTHORITY_TIMES } from './ZoneAuthority.js';

import type { AuthorityTerm } from './AuthorityTerm.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { StoreEra } from 'hickoryrelay-platform/StoreEra';

const LEASE_MILLISECONDS = DEFAULT_AUTHORITY_TIMES.leaseSeconds * 1000;

/**
 * The highest fencing number that is known to have been assigned for a zone: from terms of this
 * instance, from the counter in the store and from what endpoints state. The counter goes back if the
 * store is restored from an older copy; this number does not.
 */
export class FencingFloor {
  private readonly clock: Clock;

  private highestNumber = 0;

  private recordedMilliseconds = Number.NEGATIVE_INFINITY;

  private restoredMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  get highest(): number {
    return this.highestNumber;
  }

  /**
   * Whether an instance that cannot reach the store may still hold a term of before a restore. The store
   * has forgotten its lease, so the authority key is vacant.
   */
  get mayEarlierTermBeHeld(): boolean {
    return this.clock.monotonicMilliseconds() - this.restoredMilliseconds < LEASE_MILLISECONDS;
  }

  /** Records the time of each restore of the store. Returns the function that ends it. */
  observe(era: StoreEra): CleanUp {
    return era.onRestore(() => {
      this.restoredMilliseconds = this.clock.monotonicMilliseconds();
    });
  }

  /** Records an assigned number. Ignores what cannot be one, as a faulty endpoint may state. */
  record(fencingNumber: number): void {
    if (Number.isSafeInteger(fencingNumber + 1) && fencingNumber > this.highestNumber) {
      this.highestNumber = fencingNumber;
      this.recordedMilliseconds = this.clock.monotonicMilliseconds();
    }
  }

  /**
   * Returns whether the number of a new term has been assigned before. An equal number that was read
   * after the term had been requested is the term's own.
   */
  isAssignedBefore({ fencingNumber, startedMilliseconds }: AuthorityTerm): boolean {
    return (
      fencingNumber < this.highestNumber ||
      (fencingNumber === this.highestNumber && this.recordedMilliseconds < startedMilliseconds)
    );
  }
}
