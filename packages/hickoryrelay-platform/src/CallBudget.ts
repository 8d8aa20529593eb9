import type { Clock } from 'hickoryrelay/Clock';

const MILLISECONDS_PER_SECOND = 1000;

/** What kind of call is counted against the limits of the key-value service. */
export const CallKind = { Read: 'read', Write: 'write' } as const;

export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** A rate and how many calls may run ahead of it. */
export interface CallRate {
  readonly perSecond: number;
  readonly burst: number;
}

/** What one instance may ask of the key-value service. */
export interface CallLimits {
  readonly reads: CallRate;
  readonly writes: CallRate;
  /** A waiting watch counts as a call, so few are open at a time. */
  readonly openWatches: number;
}

/**
 * The share of one of 640 instances: 2,000 reads and 320 of several hundred writes a second. The
 * bursts cover the start of an instance and a batch of claims.
 */
export const DEFAULT_CALL_LIMITS: CallLimits = {
  reads: { perSecond: 3, burst: 30 },
  writes: { perSecond: 0.5, burst: 20 },
  openWatches: 3,
};

/** Calls a second that all instances together may make, a tenth under what the platform allows. */
const SHARED_READS_PER_SECOND = 1800;
const SHARED_WRITES_PER_SECOND = 320;

/** A federation of a few instances has no use for more. */
const FEWEST_SHARES = 8;

/** The limits of one of the given number of instances. The rest is as for 640. */
export function limitsFor(instances: number): CallLimits {
  const shares = Math.max(instances, FEWEST_SHARES);
  const { reads, writes } = DEFAULT_CALL_LIMITS;
  return {
    ...DEFAULT_CALL_LIMITS,
    reads: { ...reads, perSecond: SHARED_READS_PER_SECOND / shares },
    writes: { ...writes, perSecond: SHARED_WRITES_PER_SECOND / shares },
  };
}

/** A token bucket. A call that finds no token is given the delay after which its token is there. */
class TokenBucket {
  private rate: CallRate;

  private readonly clock: Clock;

  /** Time at which all tokens taken so far have come back. */
  private fullMilliseconds = 0;

  constructor(rate: CallRate, clock: Clock) {
    this.rate = rate;
    this.clock = clock;
  }

  setRate(rate: CallRate): void {
    this.rate = rate;
  }

  /** Takes a token that may still have to come. Returns the time until then. */
  take(): number {
    const now = this.clock.monotonicMilliseconds();
    const interval = MILLISECONDS_PER_SECOND / this.rate.perSecond;
    this.fullMilliseconds = Math.max(now, this.fullMilliseconds) + interval;
    return Math.max(0, this.fullMilliseconds - this.rate.burst * interval - now);
  }
}

/** Counts of what an instance has asked of the key-value service. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly openWatches: number;
  /** Calls that had to wait for their turn. */
  readonly delayed: number;
}

/**
 * The calls that one instance may make to the key-value service. A call beyond the rate waits for
 * its turn, in the order of asking, and is never dropped. Urgent calls, the renewals of leases, do
 * not wait; the calls after them wait longer instead.
 */
export class CallBudget {
  private readonly clock: Clock;

  private readonly limits: CallLimits;

  private readonly buckets: Readonly<Record<CallKind, TokenBucket>>;

  private readonly made = { reads: 0, writes: 0, delayed: 0 };

  private openWatches = 0;

  private readonly waitingWatches: (() => void)[] = [];

  constructor(clock: Clock, limits: CallLimits = DEFAULT_CALL_LIMITS) {
    this.clock = clock;
    this.limits = limits;
    this.buckets = {
      [CallKind.Read]: new TokenBucket(limits.reads, clock),
      [CallKind.Write]: new TokenBucket(limits.writes, clock),
    };
  }

  /** Sets this instance's share of what the platform allows. */
  shareAmong(instances: number): void {
    const { reads, writes } = limitsFor(instances);
    this.buckets[CallKind.Read].setRate(reads);
    this.buckets[CallKind.Write].setRate(writes);
  }

  get counts(): CallCounts {
    return { ...this.made, openWatches: this.openWatches };
  }

  /** Counts a call and resolves when it may be made. */
  async take(kind: CallKind, isUrgent = false): Promise<void> {
    this.made[kind === CallKind.Read ? 'reads' : 'writes'] += 1;
    const delay = this.buckets[kind].take();
    if (delay > 0 && !isUrgent) {
      this.made.delayed += 1;
      await this.clock.sleep(delay);
    }
  }

  /** Resolves when a watch may be opened, with the function that counts it as closed. */
  async openWatch(): Promise<() => void> {
    if (this.openWatches >= this.limits.openWatches) {
      this.made.delayed += 1;
      await new Promise<void>((resolve) => {
        this.waitingWatches.push(resolve);
      });
    } else {
      this.openWatches += 1;
    }
    let isOpen = true;
    return () => {
      if (isOpen) {
        isOpen = false;
        this.closeWatch();
      }
    };
  }

  /** Passes the place of a closed watch on to the next that waits. */
  private closeWatch(): void {
    const next = this.waitingWatches.shift();
    if (next === undefined) {
      this.openWatches -= 1;
    } else {
      next();
    }
  }
}
