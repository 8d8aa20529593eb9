/** Bounds of fair queueing, in units of cost (milliseconds of engine time). */
export interface FairShareBounds {
  /** How far an account's clock may lead the virtual time and still be within its share. */
  readonly burst: number;
  /** Maximum lead of an account's clock over the virtual time; usage beyond it is not charged. */
  readonly debtLimit: number;
}

/**
 * A burst of 2 s of engine time covers several of the longest prompts, which leaves least-slack
 * ordering a choice of calls. A debt limit of 30 s lets an account recover from a flood within a
 * minute.
 */
export const DEFAULT_FAIR_SHARE_BOUNDS: FairShareBounds = { burst: 2000, debtLimit: 30_000 };

/** The virtual clock of one account. Shared by reference, so that reads need no map lookup. */
export interface VirtualClock {
  value: number;
  /** Number of queued calls of the account. The clock is not pruned while any are queued. */
  waiting: number;
}

const PRUNE_THRESHOLD = 4096;

/**
 * Start-time fair queueing of client accounts with equal weights. Each account's virtual clock
 * advances by the cost of its calls at this and other instances. The virtual time is the lowest
 * clock of the accounts with queued calls, and never decreases.
 */
export class FairShare {
  private readonly bounds: FairShareBounds;

  private readonly clocks = new Map<string, VirtualClock>();

  private currentVirtualTime = 0;

  constructor(bounds: FairShareBounds = DEFAULT_FAIR_SHARE_BOUNDS) {
    this.bounds = bounds;
  }

  get virtualTime(): number {
    return this.currentVirtualTime;
  }

  clockOf(account: string): number {
    return this.clocks.get(account)?.value ?? this.currentVirtualTime;
  }

  /** Records a queued call. Credit accumulated while idle is limited to one burst. */
  beginWaiting(account: string): VirtualClock {
    const clock = this.findOrCreateClock(account);
    clock.value = Math.max(clock.value, this.currentVirtualTime - this.bounds.burst);
    clock.waiting += 1;
    return clock;
  }

  /** Records that a call has left the queue. */
  endWaiting(account: string): void {
    this.findOrCreateClock(account).waiting -= 1;
  }

  /** Advances the virtual time to the given lowest clock of the accounts with queued calls. */
  advance(lowestClock: number): void {
    this.currentVirtualTime = Math.max(this.currentVirtualTime, lowestClock);
  }

  /** True if the account has used at most its share plus one burst. */
  isWithinShare(clock: VirtualClock): boolean {
    return clock.value <= this.currentVirtualTime + this.bounds.burst;
  }

  /** Charges cost. A negative cost refunds an overestimate. */
  charge(account: string, cost: number): void {
    const limit = this.currentVirtualTime + this.bounds.debtLimit;
    const clock = this.findOrCreateClock(account);
    clock.value = Math.min(limit, clock.value + cost);
    if (this.clocks.size > PRUNE_THRESHOLD) {
      this.prune();
    }
  }

  private findOrCreateClock(account: string): VirtualClock {
    let clock = this.clocks.get(account);
    if (clock === undefined) {
      clock = { value: this.currentVirtualTime, waiting: 0 };
      this.clocks.set(account, clock);
    }
    return clock;
  }

  /** Removes idle accounts whose clock is no higher than a returning account would get. */
  private prune(): void {
    const idleClock = this.currentVirtualTime - this.bounds.burst;
    for (const [account, clock] of this.clocks) {
      if (clock.value <= idleClock && clock.waiting === 0) {
        this.clocks.delete(account);
      }
    }
  }
}
