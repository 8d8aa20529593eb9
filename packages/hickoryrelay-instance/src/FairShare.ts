/** Bounds of fair queueing, in the unit of cost (milliseconds of engine time). */
export interface FairShareBounds {
  /** How far an account's clock may be ahead of the slowest while it still counts as within share. */
  readonly burst: number;
  /** How far an account's clock may be ahead at most; use beyond that is forgotten. */
  readonly debtLimit: number;
}

/**
 * A burst of 2 s of engine time holds several of the longest prompts, so that order by slack has
 * something to choose from. A debt of 30 s lets an account return after a flood within a minute.
 */
export const DEFAULT_FAIR_SHARE_BOUNDS: FairShareBounds = { burst: 2000, debtLimit: 30_000 };

const PRUNE_SIZE = 4096;

/**
 * Virtual clocks of client accounts (start-time fair queueing with equal weights). A clock advances
 * by the cost that its account uses, here or at other instances. The virtual time is the lowest
 * clock among accounts that wait, and never goes back.
 */
export class FairShare {
  private readonly bounds: FairShareBounds;

  private readonly clocks = new Map<string, number>();

  private virtual = 0;

  constructor(bounds: FairShareBounds = DEFAULT_FAIR_SHARE_BOUNDS) {
    this.bounds = bounds;
  }

  get virtualTime(): number {
    return this.virtual;
  }

  clockOf(account: string): number {
    return this.clocks.get(account) ?? this.virtual;
  }

  /** Called when an account begins to wait. Credit from an idle time is limited to one burst. */
  activate(account: string): void {
    const floor = this.virtual - this.bounds.burst;
    this.clocks.set(account, Math.max(this.clockOf(account), floor));
  }

  /** Advances the virtual time to the lowest clock of the accounts that wait. */
  advance(waiting: Iterable<string>): void {
    let lowest = Number.POSITIVE_INFINITY;
    for (const account of waiting) {
      lowest = Math.min(lowest, this.clockOf(account));
    }
    if (lowest < Number.POSITIVE_INFINITY) {
      this.virtual = Math.max(this.virtual, lowest);
    }
  }

  /** True if the account has used no more than its share, give or take a burst. */
  isWithinShare(account: string): boolean {
    return this.clockOf(account) <= this.virtual + this.bounds.burst;
  }

  /** Charges cost, or gives back an over-estimate if negative. */
  charge(account: string, cost: number): void {
    const limit = this.virtual + this.bounds.debtLimit;
    this.clocks.set(account, Math.min(limit, this.clockOf(account) + cost));
    if (this.clocks.size > PRUNE_SIZE) {
      this.prune();
    }
  }

  /** Forgets accounts whose clock says no more than that of an unknown account. */
  private prune(): void {
    const floor = this.virtual - this.bounds.burst;
    for (const [account, clock] of this.clocks) {
      if (clock <= floor) {
        this.clocks.delete(account);
      }
    }
  }
}
