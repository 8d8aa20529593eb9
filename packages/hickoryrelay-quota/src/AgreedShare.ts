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

/**
 * Age of the use by which shares are divided. Silence is noticed after 1 s, in which each side already
 * sees only its own use grow; shares by that use would add up to more than 1.
 */
const AGREEMENT_LAG_MILLISECONDS = 1500;

/** Use in the window at a time when almost all instances were heard. */
interface AgreedUse {
  readonly atMilliseconds: number;
  readonly own: number;
  readonly total: number;
}

/** True if almost all listed instances are heard. */
export function isAgreement({ heardInstances, listedInstances }: Coverage): boolean {
  return listedInstances - heardInstances <= listedInstances * TOLERATED_SILENT_FRACTION;
}

/**
 * The share of an account's quota that belongs to the instances that an instance hears. It is 1 while
 * almost all are heard. When some are silent, it is the part that the heard ones had of the use at the
 * last agreement, so that the shares of the parts of a partition add up to 1. It does not grow until
 * silent instances are heard again. Without an agreement, it is the fraction of instances that is heard.
 */
export class AgreedShare {
  private latest: AgreedUse | undefined;

  private lagged: AgreedUse | undefined;

  private share = 1;

  get current(): number {
    return this.share;
  }

  /** Use of this instance at the last agreement, which others need to compute their share. */
  get ownAgreedUse(): number {
    return this.lagged?.own ?? 0;
  }

  /** Records the use of this instance and of all, while almost all are heard. */
  recordAgreement(own: number, total: number, now: number): void {
    this.share = 1;
    if (this.latest === undefined) {
      this.latest = { atMilliseconds: now, own, total };
    } else if (now - this.latest.atMilliseconds >= AGREEMENT_LAG_MILLISECONDS) {
      this.lagged = this.latest;
      this.latest = { atMilliseconds: now, own, total };
    }
  }

  /** Divides the quota, given what other heard instances report as their own agreed use. */
  divide(coverage: Coverage, othersAgreedUse: number, windowQuantity: number): void {
    const fraction = coverage.heardInstances / coverage.listedInstances;
    if (this.lagged === undefined) {
      this.share = fraction;
      return;
    }
    const instanceWeight = windowQuantity * INSTANCE_WEIGHT;
    const heardUse = this.lagged.own + othersAgreedUse + instanceWeight * fraction;
    this.share = Math.min(1, heardUse / (this.lagged.total + instanceWeight));
  }
}
