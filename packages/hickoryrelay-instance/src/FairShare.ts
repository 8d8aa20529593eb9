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

/** The virtual clock of one account. Kept as an object, so that readers need no look-up. */
export interface AccountClock {
  value: number;
  /** Calls of the account that wait; while there are any, the clock is not forgotten. */
  waiting: number;
}

const PRUNE_SIZE = 4096;

/**
 * Virtual clocks of client accounts (start-time fair queueing with equal weights). A clock advances
 * by the cost that its account uses, here or at other instances. The virtual time is the lowest
 * clock among accounts that wait, and never goes back.
 */
export class FairShare {
  private readonly bounds: FairShareBounds;

  private readonly clocks = new Map<string, AccountClock>();

  private virtual = 0;

  constructor(bounds: FairShareBounds = DEFAULT_FAIR_SHARE_BOUNDS) {
    this.bounds = bounds;
  }

  get virtualTime(): number {
    return this.virtual;
  }

  clockOf(account: string): number {
    return this.clocks.get(account)?.value ?? this.virtual;
  }

  /** Called when a call begins to wait. Credit from an idle time is limited to one burst. */
  beginWaiting(account: string): AccountClock {
    const clock = this.clock(account);
    clock.value = Math.max(clock.value, this.virtual - this.bounds.burst);
    clock.waiting += 1;
    return clock;
  }

  /** Called when a call waits no longer. */
  endWaiting(account: string): void {
    this.clock(account).waiting -= 1;
  }

  /** Advances the virtual time to the lowest clock of the accounts that wait, which the caller finds. */
  advance(lowestClock: number): void {
    this.virtual = Math.max(this.virtual, lowestClock);
  }

  /** True if the account has used no more than its share, give or take a burst. */
  isWithinShare(clock: AccountClock): boolean {
    return clock.value <= this.virtual + this.bounds.burst;
  }

  /** Charges cost, or gives back an over-estimate if negative. */
  charge(account: string, cost: number): void {
    const limit = this.virtual + this.bounds.debtLimit;
    const clock = this.clock(account);
    clock.value = Math.min(limit, clock.value + cost);
    if (this.clocks.size > PRUNE_SIZE) {
      this.prune();
    }
  }

  private clock(account: string): AccountClock {
    let clock = this.clocks.get(account);
    if (clock === undefined) {
      clock = { value: this.virtual, waiting: 0 };
      this.clocks.set(account, clock);
    }
    return clock;
  }

  /** Forgets accounts whose clock says no more than that of an unknown account. */
  private prune(): void {
    const floor = this.virtual - this.bounds.burst;
    for (const [account, clock] of this.clocks) {
      if (clock.value <= floor && clock.waiting === 0) {
        this.clocks.delete(account);
      }
    }
  }
}
