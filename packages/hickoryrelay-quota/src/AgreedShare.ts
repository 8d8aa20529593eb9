/** Part of the instances that an instance hears, itself included. */
export interface Coverage {
  readonly heardInstances: number;
  /** Number of instances in the list, at least those that are heard. */
  readonly listedInstances: number;
}

/**
 * Fraction of the listed instances that may be silent without effect on shares. Instances that start
 * and stop would reduce them all the time at hundreds of instances. The silent ones keep their own
 * shares, so the sum exceeds the quota by at most about this fraction.
 */
const TOLERATED_SILENT_FRACTION = 0.05;

/**
 * Weight of the number of instances against the use of the last window, as a fraction of what the
 * quota allows in a window. An account that was idle when instances lost contact is divided by their
 * number.
 */
const INSTANCE_WEIGHT = 0.1;

interface GroupShare {
  readonly coverage: number;
  readonly share: number;
}

/** True if almost all listed instances are heard. */
export function isAgreement({ heardInstances, listedInstances }: Coverage): boolean {
  return listedInstances - heardInstances <= listedInstances * TOLERATED_SILENT_FRACTION;
}

/**
 * The share of an account's quota that belongs to the instances that an instance hears. It is 1 while
 * all are heard. When some fall silent, it becomes the part of the window's use that was theirs at the
 * last agreement, and grows only when silent instances are heard again. The shares of the parts of a
 * partition add up to 1, because each part derives its own from the same figures.
 */
export class AgreedShare {
  private agreedUse = 0;

  /** Shares by coverage, which decreases, since the last agreement. */
  private readonly groups: GroupShare[] = [];

  get current(): number {
    return this.groups.at(-1)?.share ?? 1;
  }

  /** Applies the coverage of the last report, with the window's use of the heard instances. */
  update(coverage: Coverage, heardUse: number, windowQuantity: number): void {
    if (isAgreement(coverage)) {
      this.agreedUse = heardUse;
      this.groups.length = 0;
      return;
    }
    const fraction = coverage.heardInstances / coverage.listedInstances;
    while ((this.groups.at(-1)?.coverage ?? 1) < fraction) {
      this.groups.pop();
    }
    if ((this.groups.at(-1)?.coverage ?? 1) > fraction) {
      const instanceWeight = windowQuantity * INSTANCE_WEIGHT;
      const share = (heardUse + instanceWeight * fraction) / (this.agreedUse + instanceWeight);
      this.groups.push({ coverage: fraction, share: Math.min(this.current, share) });
    }
  }
}
