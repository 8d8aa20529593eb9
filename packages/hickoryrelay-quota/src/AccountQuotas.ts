import { hashString } from 'hickoryrelay/RendezvousUtils';

import { AccountQuota } from './AccountQuota.js';
import { isPlausibleUse } from './AccountUse.js';
import { QuotaTake } from './QuotaTake.js';
import { REPORT_LIFETIME_MILLISECONDS, SILENCE_MILLISECONDS } from './ReportLifetimeConstants.js';

import type { AccountUse } from './AccountUse.js';
import type { UseSums } from './AccountUseSums.js';
import type { Coverage } from './AgreedShare.js';
import type { QuotaBounds, QuotaLimit } from './QuotaLimit.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** A decision on one request. */
export type QuotaDecision =
  | { readonly kind: 'taken'; readonly take: QuotaTake }
  | { readonly kind: 'refused'; readonly retryAfterMilliseconds: number };

/** Counters of one account since the start of the instance. */
export interface QuotaCounts {
  readonly account: string;
  /** Units taken, including those given back. */
  readonly takenUnits: number;
  readonly returnedUnits: number;
  readonly refusedUnits: number;
  readonly refusedRequests: number;
  /** Fraction of the quota that the heard instances may use. */
  readonly share: number;
}

/** What the quotas depend on. */
export interface AccountQuotasParts {
  /** The limits in force, by account. A new map for each configuration. */
  readonly limits: () => ReadonlyMap<string, QuotaLimit>;
  readonly bounds: QuotaBounds;
  /** Number of instances in the list, including this one. */
  readonly listedInstances: () => number;
  readonly clock: Clock;
  readonly random: RandomSource;
}

interface AccountState {
  readonly hash: number;
  readonly quota: AccountQuota;
  takenUnits: number;
  returnedUnits: number;
  refusedUnits: number;
  refusedRequests: number;
}

const NO_QUOTA = new QuotaTake({ release: () => {}, repeat: () => {} });

/** The quotas of all accounts, as one instance applies them together with the others. */
export class AccountQuotas {
  private readonly parts: AccountQuotasParts;

  private knownLimits: ReadonlyMap<string, QuotaLimit> = new Map();

  private namesByHash = new Map<number, string>();

  private readonly states = new Map<string, AccountState>();

  private others: ReadonlyMap<number, AccountUse> = new Map();

  private otherInstances = 0;

  /** Length of the list by which the shares were last computed. */
  private appliedListedInstances = 0;

  private receivedMilliseconds = Number.NEGATIVE_INFINITY;

  private readonly startedMilliseconds: number;

  constructor(parts: AccountQuotasParts) {
    this.parts = parts;
    this.startedMilliseconds = parts.clock.monotonicMilliseconds();
  }

  /** True if some account has a quota. */
  get isActive(): boolean {
    return this.parts.limits().size > 0;
  }

  /** Decides whether a request of an account may run, and takes its cost if so. */
  tryTake(account: string, cost: number, now: number): QuotaDecision {
    this.refresh(now);
    const state = this.stateOf(account, now);
    if (state === undefined) {
      return { kind: 'taken', take: NO_QUOTA };
    }
    const { quota } = state;
    const { isAdmitted, retryAfterMilliseconds } = quota.decide(
      cost,
      now,
      this.parts.random.fraction(),
    );
    if (!isAdmitted) {
      state.refusedUnits += cost;
      state.refusedRequests += 1;
      return { kind: 'refused', retryAfterMilliseconds };
    }
    const reservation = quota.take(cost, now);
    state.takenUnits += cost;
    const { clock } = this.parts;
    const take = new QuotaTake({
      release: () => {
        quota.giveBack(reservation, clock.monotonicMilliseconds());
        state.returnedUnits += cost;
      },
      repeat: () => {
        quota.take(cost, clock.monotonicMilliseconds());
        state.takenUnits += cost;
      },
    });
    return { kind: 'taken', take };
  }

  /** The use of this instance, without accounts that have had none in the window. */
  report(now: number): AccountUse[] {
    this.refresh(now);
    return [...this.states.values()]
      .map(({ quota }) => quota.ownUse(now))
      .filter(
        ({ windowUse, level, demandPerSecond, agreedUse }) =>
          windowUse + level + demandPerSecond + agreedUse > 0,
      );
  }

  /** What an account uses and requests of its quota, as a multiple of its rate. */
  pressureOf({ account, level, demandPerSecond }: AccountUse): number {
    const limit = this.knownLimits.get(this.namesByHash.get(account) ?? '');
    return limit === undefined ? 0 : (level + demandPerSecond) / limit.ratePerSecond;
  }

  /** Replaces what is known of the other instances that are heard. */
  receive({ instances, accounts }: UseSums, now: number): void {
    this.adoptLimits(now);
    this.others = accounts;
    this.otherInstances = instances;
    this.receivedMilliseconds = now;
    this.applyOthers(now);
  }

  /** True if a figure that a peer reports is possible under the limit of its account. */
  isPlausible(use: AccountUse): boolean {
    this.adoptLimits(this.parts.clock.monotonicMilliseconds());
    const limit = this.knownLimits.get(this.namesByHash.get(use.account) ?? '');
    return limit !== undefined && isPlausibleUse(use, limit, this.parts.bounds);
  }

  /** Part of the listed instances that is heard now. */
  get coverage(): Coverage {
    const heardInstances = this.otherInstances + 1;
    return {
      heardInstances,
      listedInstances: Math.max(heardInstances, this.parts.listedInstances()),
    };
  }

  /** Counters by account, for metrics. */
  *counts(): Generator<QuotaCounts, void, void> {
    for (const [account, state] of this.states) {
      const { quota, takenUnits, returnedUnits, refusedUnits, refusedRequests } = state;
      const { share } = quota;
      yield { account, takenUnits, returnedUnits, refusedUnits, refusedRequests, share };
    }
  }

  /** Discards reports that have expired, and adopts the limits and the list in force. */
  private refresh(now: number): void {
    this.adoptLimits(now);
    const age = now - this.receivedMilliseconds;
    if (age > SILENCE_MILLISECONDS && this.otherInstances > 0) {
      this.otherInstances = 0;
      this.others = new Map(
        [...this.others].map(([account, use]) => [account, { ...use, agreedUse: 0 }]),
      );
      this.applyOthers(now);
    }
    if (age > REPORT_LIFETIME_MILLISECONDS && this.others.size > 0) {
      this.others = new Map();
      this.applyOthers(now);
    }
    if (this.coverage.listedInstances !== this.appliedListedInstances) {
      this.applyOthers(now);
    }
  }

  private adoptLimits(now: number): void {
    const limits = this.parts.limits();
    if (limits === this.knownLimits) {
      return;
    }
    this.knownLimits = limits;
    this.namesByHash = new Map([...limits.keys()].map((name) => [hashString(name), name]));
    for (const [account, { quota }] of this.states) {
      const limit = limits.get(account);
      if (limit === undefined) {
        this.states.delete(account);
      } else {
        quota.setLimit(limit, now);
      }
    }
  }

  private stateOf(account: string, now: number): AccountState | undefined {
    const known = this.states.get(account);
    const limit = this.knownLimits.get(account);
    if (known !== undefined || limit === undefined) {
      return known;
    }
    const hash = hashString(account);
    const quota = new AccountQuota(hash, limit, this.parts.bounds, now);
    quota.setOthers(this.others.get(hash), this.coverage, now);
    if (now - this.startedMilliseconds < this.parts.bounds.windowMilliseconds) {
      quota.assumeUse(1 / this.coverage.listedInstances);
    }
    const state = {
      hash,
      quota,
      takenUnits: 0,
      returnedUnits: 0,
      refusedUnits: 0,
      refusedRequests: 0,
    };
    this.states.set(account, state);
    return state;
  }

  private applyOthers(now: number): void {
    for (const hash of this.others.keys()) {
      this.stateOf(this.namesByHash.get(hash) ?? '', now);
    }
    const { coverage } = this;
    this.appliedListedInstances = coverage.listedInstances;
    for (const { hash, quota } of this.states.values()) {
      quota.setOthers(this.others.get(hash), coverage, now);
    }
  }
}
