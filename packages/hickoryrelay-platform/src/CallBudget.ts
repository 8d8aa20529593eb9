import type { Clock } from 'hickoryrelay/Clock';

const MILLISECONDS_PER_SECOND = 1000;

/** The kinds of calls for which the key-value service has separate rate limits. */
export const CallKind = { Read: 'read', Write: 'write' } as const;

export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** The parameters of a token bucket. */
export interface CallRate {
  readonly perSecond: number;
  readonly burst: number;
}

/** Limits on the calls of one instance to the key-value service. */
export interface CallLimits {
  readonly reads: CallRate;
  readonly writes: CallRate;
  /** Maximum number of open watches. Low, because an open watch counts as a call in progress. */
  readonly openWatches: number;
}

/**
 * The share of one instance out of 640, of 2,000 reads and 320 writes per second in total; the
 * platform allows several hundred writes. The bursts cover the start of an instance and a batch of
 * claims.
 */
export const DEFAULT_CALL_LIMITS: CallLimits = {
  reads: { perSecond: 3, burst: 30 },
  writes: { perSecond: 0.5, burst: 20 },
  openWatches: 3,
};

/** Total call rates of all instances. The read rate is a tenth below the limit of the platform. */
const TOTAL_READS_PER_SECOND = 1800;
const TOTAL_WRITES_PER_SECOND = 320;

/** Divides the totals into at least 8 shares, since fewer instances do not need higher rates. */
const MIN_SHARES = 8;

/** Returns the limits of one of `instances` instances. Bursts and watches do not depend on it. */
export function limitsForInstances(instances: number): CallLimits {
  const shares = Math.max(instances, MIN_SHARES);
  const { reads, writes } = DEFAULT_CALL_LIMITS;
  return {
    ...DEFAULT_CALL_LIMITS,
    reads: { ...reads, perSecond: TOTAL_READS_PER_SECOND / shares },
    writes: { ...writes, perSecond: TOTAL_WRITES_PER_SECOND / shares },
  };
}

/** A token bucket that hands out tokens in advance, with the delay until they are available. */
class TokenBucket {
  private rate: CallRate;

  private readonly clock: Clock;

  /** Time at which the bucket is full again if no more tokens are reserved. */
  private fullAtMilliseconds = 0;

  constructor(rate: CallRate, clock: Clock) {
    this.rate = rate;
    this.clock = clock;
  }

  setRate(rate: CallRate): void {
    this.rate = rate;
  }

  /** Reserves a token. Returns the time until it is available, in milliseconds. */
  reserve(): number {
    const nowMilliseconds = this.clock.monotonicMilliseconds();
    const intervalMilliseconds = MILLISECONDS_PER_SECOND / this.rate.perSecond;
    this.fullAtMilliseconds =
      Math.max(nowMilliseconds, this.fullAtMilliseconds) + intervalMilliseconds;
    return Math.max(
      0,
      this.fullAtMilliseconds - this.rate.burst * intervalMilliseconds - nowMilliseconds,
    );
  }
}

/** Counts of an instance's calls to the key-value service. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly openWatches: number;
  /** Calls and watches that were delayed by the limits. */
  readonly delayed: number;
}

/**
 * Rate limiter for the calls of one instance to the key-value service. A call beyond the rate is
 * delayed in first-come order and never dropped. Urgent calls, which renew and revoke leases, are not
 * delayed, but use tokens, so that later calls wait longer.
 */
export class CallBudget {
  private readonly clock: Clock;

  private readonly limits: CallLimits;

  private readonly buckets: Readonly<Record<CallKind, TokenBucket>>;

  private readonly totals = { reads: 0, writes: 0, delayed: 0 };

  private openWatches = 0;

  private readonly watchWaiters: (() => void)[] = [];

  constructor(clock: Clock, limits: CallLimits = DEFAULT_CALL_LIMITS) {
    this.clock = clock;
    this.limits = limits;
    this.buckets = {
      [CallKind.Read]: new TokenBucket(limits.reads, clock),
      [CallKind.Write]: new TokenBucket(limits.writes, clock),
    };
  }

  /** Sets the rates to this instance's share of the total among the given number of instances. */
  setInstanceCount(instances: number): void {
    const { reads, writes } = limitsForInstances(instances);
    this.buckets[CallKind.Read].setRate(reads);
    this.buckets[CallKind.Write].setRate(writes);
  }

  get counts(): CallCounts {
    return { ...this.totals, openWatches: this.openWatches };
  }

  /** Counts a call and resolves when it may be made. Urgent calls are not delayed. */
  async acquire(kind: CallKind, isUrgent = false): Promise<void> {
    this.totals[kind === CallKind.Read ? 'reads' : 'writes'] += 1;
    const delayMilliseconds = this.buckets[kind].reserve();
    if (delayMilliseconds > 0 && !isUrgent) {
      this.totals.delayed += 1;
      await this.clock.sleep(delayMilliseconds);
    }
  }

  /** Waits for permission to open a watch. Resolves with a function that releases the permit. */
  async acquireWatch(): Promise<() => void> {
    if (this.openWatches >= this.limits.openWatches) {
      this.totals.delayed += 1;
      await new Promise<void>((resolve) => {
        this.watchWaiters.push(resolve);
      });
    } else {
      this.openWatches += 1;
    }
    let isHeld = true;
    return () => {
      if (isHeld) {
        isHeld = false;
        this.releaseWatch();
      }
    };
  }

  /** Hands the permit of a closed watch to the next waiter. */
  private releaseWatch(): void {
    const next = this.watchWaiters.shift();
    if (next === undefined) {
      this.openWatches -= 1;
    } else {
      next();
    }
  }
}
