import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { AuthorityTerm } from './AuthorityTerm.js';
import { isAcquiredInEarlierEra } from './FencingNumbers.js';
import { authorityKey, fencingKey } from './ZoneKeyUtils.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValue, KeyValueStore, Transaction } from 'hickoryrelay-platform/KeyValueStore';

/** Timing of the lease of a zone's authority. */
export interface AuthorityTimes {
  readonly leaseSeconds: number;
  /** Safety margin of the lease's validity for clocks that run at different rates. */
  readonly marginMilliseconds: number;
  readonly renewalIntervalMilliseconds: number;
  /** Mean interval at which an instance that does not hold the authority reads the authority key. */
  readonly pollIntervalMilliseconds: number;
}

/**
 * Three renewals fit into a lease. 640 instances that poll every 6 s cause 107 reads per second, of
 * the about 2,000 that the key-value service allows.
 */
export const DEFAULT_AUTHORITY_TIMES: AuthorityTimes = {
  leaseSeconds: 10,
  marginMilliseconds: 1000,
  renewalIntervalMilliseconds: 3000,
  pollIntervalMilliseconds: 6000,
};

const MILLISECONDS_PER_SECOND = 1000;

/** Shortens the interval after a failed renewal, for several retries before the term ends. */
const RETRY_INTERVAL_DIVISOR = 4;

/** Number of candidates up to which each one polls at the full rate. */
const FULL_RATE_CANDIDATES = 10;

/** Collaborators and settings of a zone authority. */
export interface ZoneAuthorityParts {
  readonly zone: string;
  /** Name and incarnation of this instance; unique for each process. */
  readonly holder: string;
  readonly store: KeyValueStore;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
  /** Parent of the life-cycle manager that owns the tasks of a term. */
  readonly lifecycle: LifecycleManager;
  /** Creates the tasks to run during a term. They are stopped when the term ends. */
  readonly createTasks: (term: AuthorityTerm) => readonly Task[];
  readonly times?: AuthorityTimes;
  /**
   * Number of instances that compete for the authority. With more than ten, each one polls less often,
   * so that the total rate is that of ten instances.
   */
  readonly candidateCount?: () => number;
  /** Returns false while another instance is known to hold the authority; then the key is not read. */
  readonly mayBeVacant?: () => boolean;
  /**
   * Returns true once this instance is stopping. It keeps a term that it holds until it has stopped, but
   * acquires no new one, which would last for seconds only.
   */
  readonly isStopping?: () => boolean;
  /** Returns the number above which the fencing numbers of the store's current era lie. */
  readonly fencingFloor?: () => number;
}

/**
 * Leader election for a zone by a lease in the key-value store. Acquires the authority when it is
 * vacant, renews its lease, and releases it on a graceful stop. The authority is lost while the
 * platform is unreachable; request routing does not depend on it.
 */
export class ZoneAuthority extends Task {
  override readonly name: string;

  private readonly parts: ZoneAuthorityParts;

  private readonly times: AuthorityTimes;

  private term: AuthorityTerm | undefined;

  /** The last term of this instance, while the store may still have its lease. */
  private previousTerm: AuthorityTerm | undefined;

  /** Number of the last term of this instance, and the monotonic time at which it ended. */
  private lastHeld: { fencingNumber: number; endedMilliseconds: number } | undefined;

  constructor(parts: ZoneAuthorityParts) {
    super();
    this.name = `authority of ${parts.zone}`;
    this.parts = parts;
    this.times = parts.times ?? DEFAULT_AUTHORITY_TIMES;
  }

  /** The term that this instance currently holds, if any. */
  get currentTerm(): AuthorityTerm | undefined {
    return this.term?.isHeld === true ? this.term : undefined;
  }

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      const mayAcquire =
        this.parts.isStopping?.() !== true &&
        (this.previousTerm !== undefined || (this.parts.mayBeVacant?.() ?? true));
      const term = mayAcquire ? await this.tryAcquire(context.clock) : undefined;
      if (term !== undefined) {
        yield* this.hold(term, context);
      }
      yield;
      await context.clock.sleep(this.jittered(this.pollIntervalMilliseconds()), context.signal);
    }
  }

  /**
   * A previous holder polls more often, because no other instance can acquire the authority while the
   * store still has the previous lease.
   */
  private pollIntervalMilliseconds(): number {
    if (this.previousTerm !== undefined) {
      return this.times.renewalIntervalMilliseconds / RETRY_INTERVAL_DIVISOR;
    }
    const candidateCount = this.parts.candidateCount?.() ?? 0;
    return this.times.pollIntervalMilliseconds * Math.max(1, candidateCount / FULL_RATE_CANDIDATES);
  }

  private async *hold(
    term: AuthorityTerm,
    { clock, signal }: TaskContext,
  ): AsyncGenerator<void, void, void> {
    const { zone, store, lifecycle, log } = this.parts;
    const { fencingNumber } = term;
    const { current: era } = store.era;
    // A restored store has forgotten the lease, so another instance may acquire the authority.
    const removeObserver = store.era.onRestore(() => term.end());
    log.info('Authority over the zone was acquired.', { zone, fencingNumber });
    const taskLifecycle = lifecycle.child(`term ${fencingNumber} of ${zone}`);
    this.term = term;
    try {
      this.parts.createTasks(term).forEach((task) => taskLifecycle.start(task));
      let delayMilliseconds = this.times.renewalIntervalMilliseconds;
      while (term.isHeld) {
        yield;
        const stopSignal = AbortSignal.any([signal, term.signal]);
        await clock.sleep(this.jittered(delayMilliseconds), stopSignal).catch(() => {});
        if (signal.aborted) {
          return;
        }
        const isRenewed = await this.renew(term, clock);
        delayMilliseconds =
          this.times.renewalIntervalMilliseconds / (isRenewed ? 1 : RETRY_INTERVAL_DIVISOR);
      }
    } finally {
      removeObserver();
      term.end();
      this.term = undefined;
      this.previousTerm = signal.aborted || store.era.current !== era ? undefined : term;
      this.lastHeld = { fencingNumber, endedMilliseconds: clock.monotonicMilliseconds() };
      log.info('Authority over the zone has ended.', { zone, fencingNumber });
      // The lease is revoked only after the tasks have stopped and no order is pending, so that no
      // order takes effect after it. With a pending order the lease is left to expire, which is later
      // than the deadline of any order.
      await taskLifecycle.stop();
      if (!term.hasPendingOrder) {
        await this.revoke(term.grant.lease);
      }
    }
  }

  /** Reads the authority key and acquires the authority if the key is absent. */
  private async tryAcquire(clock: Clock): Promise<AuthorityTerm | undefined> {
    try {
      const { store, zone } = this.parts;
      const current = await store.get(authorityKey(zone));
      const isVacant =
        current === undefined ||
        (await this.removeEarlierEra(current)) ||
        (await this.releasePreviousTerm(current));
      if (!isVacant) {
        return undefined;
      }
      return await this.acquire(clock);
    } catch (error) {
      this.warn('Could not read or acquire the authority.', error);
      return undefined;
    }
  }

  /**
   * Revokes the lease of the previous term of this instance, which the store may have kept during an
   * outage. With a pending order the lease is left to expire. Returns whether the authority is vacant
   * now.
   */
  private async releasePreviousTerm(current: KeyValue): Promise<boolean> {
    const { previousTerm } = this;
    if (previousTerm === undefined || current.value !== previousTerm.storedValue) {
      this.previousTerm = undefined;
      return false;
    }
    if (previousTerm.hasPendingOrder) {
      return false;
    }
    await this.parts.store.revokeLease(previousTerm.grant.lease);
    return true;
  }

  /**
   * Removes the key of a term of an earlier era of the store, once no instance can hold that term any
   * more. Returns whether the authority is vacant now.
   */
  private async removeEarlierEra({ value, modRevision }: KeyValue): Promise<boolean> {
    const { store, zone, fencingFloor } = this.parts;
    if (!isAcquiredInEarlierEra(value, fencingFloor?.() ?? 0) || this.mayHoldEarlierTerm) {
      return false;
    }
    const key = authorityKey(zone);
    const { succeeded } = await store.commit({
      compare: [{ key, target: 'mod-revision', operand: modRevision }],
      success: [{ type: 'delete', key }],
      failure: [],
    });
    return succeeded;
  }

  /**
   * True if an instance out of reach of the store may still hold a term of the earlier era, whose lease
   * the store has forgotten.
   */
  private get mayHoldEarlierTerm(): boolean {
    const leaseMilliseconds = this.times.leaseSeconds * MILLISECONDS_PER_SECOND;
    return this.parts.store.era.observedForMilliseconds < leaseMilliseconds;
  }

  /**
   * True if another instance has held the authority since this one did, less than a lease ago. The
   * platform counts holders that take turns within a lease as acting at the same time.
   */
  private mustWaitAfter(newestFencingNumber: number, clock: Clock): boolean {
    if (this.lastHeld === undefined || newestFencingNumber <= this.lastHeld.fencingNumber) {
      return false;
    }
    const elapsed = clock.monotonicMilliseconds() - this.lastHeld.endedMilliseconds;
    return elapsed < this.times.leaseSeconds * MILLISECONDS_PER_SECOND;
  }

  private async acquire(clock: Clock): Promise<AuthorityTerm | undefined> {
    const { store, zone, holder } = this.parts;
    const counter = await store.get(fencingKey(zone));
    const { current: era } = store.era;
    const fencingFloor = this.parts.fencingFloor?.() ?? 0;
    const newestFencingNumber = Number(counter?.value ?? 0);
    const isFirstOfEra = newestFencingNumber < fencingFloor;
    const mustWait =
      this.mustWaitAfter(newestFencingNumber, clock) || (isFirstOfEra && this.mayHoldEarlierTerm);
    if (mustWait) {
      return undefined;
    }
    // The lease starts when it is granted, so the term is counted from before the request.
    const requestedMilliseconds = clock.monotonicMilliseconds();
    const { identifier, timeToLiveSeconds } = await store.grantLease(this.times.leaseSeconds);
    const fencingNumber = Math.max(newestFencingNumber, fencingFloor) + 1;
    const { marginMilliseconds } = this.times;
    const term = new AuthorityTerm({ zone, holder, fencingNumber, lease: identifier }, clock, {
      requestedMilliseconds,
      timeToLiveSeconds,
      marginMilliseconds,
    });
    let isAcquired = false;
    try {
      // The number of the term is one of the era in which the counter was read.
      isAcquired =
        store.era.current === era &&
        (await this.commitAcquisition(term, counter)) &&
        store.era.current === era &&
        term.isHeld;
    } finally {
      if (!isAcquired) {
        term.end();
        // A delayed write that arrives later fails, because its lease no longer exists.
        await this.revoke(identifier);
      }
    }
    if (isAcquired) {
      this.previousTerm = undefined;
    }
    return isAcquired ? term : undefined;
  }

  /** Commits the acquisition. After a lost response, reads the authority key for the outcome. */
  private async commitAcquisition(
    term: AuthorityTerm,
    counter: KeyValue | undefined,
  ): Promise<boolean> {
    const { store, zone } = this.parts;
    const { lease } = term.grant;
    const transaction: Transaction = {
      compare: [
        { key: authorityKey(zone), target: 'create-revision', operand: StoreRevision.None },
        {
          key: fencingKey(zone),
          target: 'mod-revision',
          operand: counter?.modRevision ?? StoreRevision.None,
        },
      ],
      success: [
        { type: 'put', key: authorityKey(zone), value: term.storedValue, lease },
        { type: 'put', key: fencingKey(zone), value: String(term.fencingNumber) },
      ],
      failure: [],
    };
    try {
      const { succeeded } = await store.commit(transaction);
      return succeeded;
    } catch (error) {
      this.warn('No response to the write of the authority key; reading the key.', error);
      const stored = await store.get(authorityKey(zone));
      return stored?.value === term.storedValue;
    }
  }

  private async renew(term: AuthorityTerm, clock: Clock): Promise<boolean> {
    const { marginMilliseconds } = this.times;
    const requestedMilliseconds = clock.monotonicMilliseconds();
    try {
      const timeToLiveSeconds = await this.parts.store.keepLeaseAlive(term.grant.lease);
      if (timeToLiveSeconds === 0) {
        term.end();
        return false;
      }
      return term.renew({ requestedMilliseconds, timeToLiveSeconds, marginMilliseconds });
    } catch (error) {
      this.warn('Could not renew the authority.', error);
      return false;
    }
  }

  private async revoke(lease: string): Promise<void> {
    try {
      await this.parts.store.revokeLease(lease);
    } catch (error) {
      this.warn('Could not revoke the lease; it will expire.', error);
    }
  }

  /** Returns a random time within 25 % of the given one, so that instances do not act in step. */
  private jittered(milliseconds: number): number {
    return milliseconds * (0.75 + this.parts.random.fraction() / 2);
  }

  private warn(message: string, error: unknown): void {
    this.parts.log.warn(message, {
      zone: this.parts.zone,
      reason: describeFailure(failureOf(error)),
    });
  }
}
