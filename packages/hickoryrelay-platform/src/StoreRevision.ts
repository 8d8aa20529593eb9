/**
 * A revision of the key-value service, together with the era in which it was assigned. A service
 * that is restored from an older copy begins a new era and assigns revisions again, so a revision
 * number alone neither orders nor identifies a state of the service.
 */
export class StoreRevision {
  /** The revision of a key that does not exist, in any era. */
  static readonly None = new StoreRevision(0, 0);

  /** Number of the era; rises with each restore. */
  readonly era: number;

  /** Number that the service assigned within the era; 0 for a key that does not exist. */
  readonly number: number;

  constructor(era: number, number: number) {
    this.era = era;
    this.number = number;
  }

  /** The next revision of the same era. */
  get next(): StoreRevision {
    return new StoreRevision(this.era, this.number + 1);
  }

  equals(other: StoreRevision): boolean {
    return this.compareTo(other) === 0;
  }

  isAfter(other: StoreRevision): boolean {
    return this.compareTo(other) > 0;
  }

  /** Negative if this revision comes before the other one, positive if it comes after it. */
  private compareTo(other: StoreRevision): number {
    return this.era - other.era || this.number - other.number;
  }
}

/** Returns the later of two revisions. */
export function laterRevision(left: StoreRevision, right: StoreRevision): StoreRevision {
  return left.isAfter(right) ? left : right;
}
