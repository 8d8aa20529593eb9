import { addUses, noUseOf } from './AccountUse.js';
import { AgreedShare, isAgreement } from './AgreedShare.js';
import { DemandRate } from './DemandRate.js';
import { LaggedValue } from './LaggedValue.js';
import { toleranceOf, windowQuantityOf } from './QuotaLimit.js';
import { UseWindow } from './UseWindow.js';

import type { AccountUse } from './AccountUse.js';
import type { Coverage } from './AgreedShare.js';
import type { QuotaBounds, QuotaLimit } from './QuotaLimit.js';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Time over which what is left of the bucket is spread. Reports are 0.1 to 0.5 s old, and older when
 * messages are lost or late. With a shorter horizon, late reports make the instances oscillate between
 * spending all and nothing.
 */
const HORIZON_MILLISECONDS = 2000;

/**
 * Usual greatest age of reports. While what is left exceeds what can be requested in this time, all
 * of it may be spent, since the others' part will be known before it is gone.
 */
const REPORT_AGE_MILLISECONDS = 500;

/**
 * Fraction of the tolerance that is added to the burst. It covers the age of reports, so that an
 * account within its quota is not refused because others seem to have used what has leaked since.
 */
const CREDIT_FRACTION = 0.25;

/** The credit is at most the leak in this time, about three times the usual age of a report. */
const MAXIMUM_CREDIT_MILLISECONDS = 1500;

/** Fraction of the tolerance above the burst to which the known level may rise by a large request. */
const CEILING_FRACTION = 0.5;

/**
 * Age of the own level by which the part of the leak is computed. With the current level, each
 * instance would leak a sudden surge at the whole rate until it hears of the others' part.
 */
const LEVEL_LAG_MILLISECONDS = 500;

const MINIMUM_RETRY_MILLISECONDS = 100;

/** Result of a decision on one request. */
export interface Admission {
  readonly isAdmitted: boolean;
  /** Time after which to retry. 0 if admitted. */
  readonly retryAfterMilliseconds: number;
}

/** A reservation that can be undone. */
export interface Reservation {
  readonly cost: number;
  readonly slot: number;
}

const ADMITTED: Admission = { isAdmitted: true, retryAfterMilliseconds: 0 };

/**
 * The quota of one account as seen by one instance: a leaky bucket that all instances fill. Each
 * instance holds the part of the level that it has admitted and leaks it at its part of the rate, so
 * that the parts leak at the whole rate together and their sum is the level of one bucket. What other
 * instances hold is known from reports, which are up to 1 s old.
 *
 * A request is admitted with the probability of what is left over a horizon to what all instances
 * are expected to request in that time. This is the share of this instance by its part of the demand,
 * and a request larger than the share is admitted with the probability of share to cost. While the
 * demand fits, the probability is 1.
 *
 * Designed for 8 to 640 instances, requests of up to half of what one second allows, callers that
 * request up to 10 times the quota, and reports that are at most 1 s old. A surge exceeds the bound if
 * reports are older.
 */
export class AccountQuota {
  private readonly account: number;

  private readonly bounds: QuotaBounds;

  private limit: QuotaLimit;

  private readonly window: UseWindow;

  private readonly demand = new DemandRate();

  private level = 0;

  /** The level as old as the figures of the others, so that the parts add up to 1. */
  private readonly laggedLevel = new LaggedValue(LEVEL_LAG_MILLISECONDS);

  private leakedMilliseconds: number;

  private others: AccountUse;

  private readonly agreed = new AgreedShare();

  constructor(account: number, limit: QuotaLimit, bounds: QuotaBounds, now: number) {
    this.account = account;
    this.limit = limit;
    this.bounds = bounds;
    this.window = new UseWindow(bounds.windowMilliseconds);
    this.leakedMilliseconds = now;
    this.others = noUseOf(account);
  }

  /** Replaces the limit. What was admitted before counts against the new one. */
  setLimit(limit: QuotaLimit, now: number): void {
    if (limit !== this.limit) {
      this.leak(now);
      this.limit = limit;
    }
  }

  /**
   * Fills a part of the bucket because an earlier process of the instance may have admitted as much.
   * Otherwise instances that restart one after another would admit a burst each.
   */
  assumeUse(fraction: number): void {
    this.level = this.limit.burst * fraction;
  }

  /** Replaces the use of the other instances that are heard. */
  setOthers(others: AccountUse | undefined, coverage: Coverage, now: number): void {
    this.leak(now);
    this.others = others ?? noUseOf(this.account);
    const { windowUse, agreedUse } = this.others;
    if (isAgreement(coverage)) {
      const own = this.window.sumAt(now);
      this.agreed.recordAgreement(own, own + windowUse, now);
    } else {
      this.agreed.divide(coverage, agreedUse, windowQuantityOf(this.limit, this.bounds));
    }
  }

  /**
   * Decides on a request, with a random fraction, and counts it as requested. Takes nothing. A request
   * that even an empty bucket would not admit does not count, since others would be refused for it.
   */
  decide(cost: number, now: number, fraction: number): Admission {
    this.leak(now);
    const tolerance = toleranceOf(this.limit, this.bounds);
    const capacity = this.limit.burst + this.unleaked;
    const ceiling = capacity + tolerance * CEILING_FRACTION;
    if (cost <= ceiling) {
      this.demand.add(cost, now);
    }
    const total = this.totalAt(now);
    const credit = this.creditOf(tolerance);
    const windowLimit = (windowQuantityOf(this.limit, this.bounds) + credit) * this.share;
    if (total.windowUse >= windowLimit) {
      const excess = 1 - windowLimit / total.windowUse;
      return this.refuse(excess * this.bounds.windowMilliseconds);
    }
    if (total.level + cost > ceiling) {
      return this.refuse(this.leakMilliseconds(total.level + cost - ceiling));
    }
    const left = (capacity + credit) * this.share - total.level;
    return this.admitAtRandom(left, total.demandPerSecond, fraction);
  }

  /** Counts a request as admitted. */
  take(cost: number, now: number): Reservation {
    this.leak(now);
    this.level += cost;
    this.laggedLevel.record(this.level, now);
    return { cost, slot: this.window.add(cost, now) };
  }

  /** Gives back what was taken, as far as it has not leaked or left the window. */
  giveBack({ cost, slot }: Reservation, now: number): void {
    this.leak(now);
    this.level = Math.max(0, this.level - cost);
    this.window.remove(cost, slot);
  }

  /** What this instance itself has admitted and was asked for. */
  ownUse(now: number): AccountUse {
    this.leak(now);
    return {
      account: this.account,
      windowUse: this.window.sumAt(now),
      level: this.level,
      demandPerSecond: this.demand.at(now),
      agreedUse: this.agreed.ownAgreedUse,
    };
  }

  /** The sum of all heard instances. */
  totalAt(now: number): AccountUse {
    return addUses(this.ownUse(now), this.others);
  }

  /** Fraction of the quota that belongs to the heard instances. */
  get share(): number {
    return this.agreed.current;
  }

  /** Admits the part of the demand that fits into what is left of the bucket and what leaks. */
  private admitAtRandom(left: number, demandPerSecond: number, fraction: number): Admission {
    const rate = this.limit.ratePerSecond * this.share;
    const horizon = HORIZON_MILLISECONDS / MILLISECONDS_PER_SECOND;
    const reportAge = REPORT_AGE_MILLISECONDS / MILLISECONDS_PER_SECOND;
    const spendable = Math.max(rate + left / horizon, left / reportAge);
    const probability = spendable / demandPerSecond;
    if (fraction < probability) {
      return ADMITTED;
    }
    return this.refuse(
      probability > 0
        ? HORIZON_MILLISECONDS * (1 / probability - 1)
        : HORIZON_MILLISECONDS + this.leakMilliseconds(-left - rate * horizon),
    );
  }

  /** Time in which the heard instances leak some units. */
  private leakMilliseconds(units: number): number {
    return (units / (this.limit.ratePerSecond * this.share)) * MILLISECONDS_PER_SECOND;
  }

  /** Units that the level still holds because each unit leaks only after the lag. */
  private get unleaked(): number {
    return (this.limit.ratePerSecond * LEVEL_LAG_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  }

  private creditOf(tolerance: number): number {
    const perHorizon =
      (this.limit.ratePerSecond * MAXIMUM_CREDIT_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return Math.min(tolerance * CREDIT_FRACTION, perHorizon);
  }

  private leak(now: number): void {
    const elapsed = Math.max(0, now - this.leakedMilliseconds) / MILLISECONDS_PER_SECOND;
    this.leakedMilliseconds = Math.max(this.leakedMilliseconds, now);
    const lagged = this.laggedLevel.at(now);
    if (this.level > 0 && lagged > 0) {
      const ownPart = lagged / (lagged + this.others.level);
      const leaked = this.limit.ratePerSecond * this.share * ownPart * elapsed;
      this.level = Math.max(0, this.level - leaked);
    }
    this.laggedLevel.record(this.level, now);
  }

  private refuse(milliseconds: number): Admission {
    const { windowMilliseconds } = this.bounds;
    return {
      isAdmitted: false,
      retryAfterMilliseconds: Math.min(
        Math.max(MINIMUM_RETRY_MILLISECONDS, milliseconds),
        windowMilliseconds,
      ),
    };
  }
}
