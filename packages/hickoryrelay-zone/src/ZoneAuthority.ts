import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { AuthorityTerm } from './AuthorityTerm.js';
import { authorityKey, fencingKey } from './ZoneKeyUtils.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValue, KeyValueStore, Transaction } from 'hickoryrelay-platform/KeyValueStore';

/** Times of the lease of a zone's authority. */
export interface AuthorityTimes {
  readonly leaseSeconds: number;
  /** Taken off each span of the lease for clocks that run at different rates. */
  readonly marginMilliseconds: number;
  readonly renewalMilliseconds: number;
  /** Mean time between two looks at the authority key by an instance that does not hold it. */
  readonly contendMilliseconds: number;
}

/**
 * Three renewals fit into a lease. 640 instances that look every 6 s are 107 reads a second, of
 * about 2,000 that the key-value service allows.
 */
export const DEFAULT_AUTHORITY_TIMES: AuthorityTimes = {
  leaseSeconds: 10,
  marginMilliseconds: 1000,
  renewalMilliseconds: 3000,
  contendMilliseconds: 6000,
};

/** A failed renewal is repeated this many times sooner, to have several tries before the term ends. */
const RETRY_DIVISOR = 4;

/** Up to this number of contenders each looks at the full rate. */
const FULL_RATE_CONTENDERS = 10;

/** What a zone authority is made of. */
export interface ZoneAuthorityParts {
  readonly zone: string;
  /** Name and incarnation of this instance; no two processes share it. */
  readonly holder: string;
  readonly store: KeyValueStore;
  readonly random: RandomSource;
  readonly log: PartLogger;
  /** Owns the duties. */
  readonly lifecycle: LifecycleManager;
  /** Makes the tasks that run under a term. They are stopped when it ends. */
  readonly duties: (term: AuthorityTerm) => readonly Task[];
  readonly times?: AuthorityTimes;
  /**
   * Number of instances that contend. With more than ten, each looks less often, so that together
   * they look as often as ten.
   */
  readonly contenders?: () => number;
  /** False while it is known that another instance holds the authority; then no look is taken. */
  readonly mayBeVacant?: () => boolean;
}

/**
 * Takes the authority over a zone when nobody holds it, renews it, and hands it over on a graceful
 * stop. Authority ends when the platform is out of reach; routing does not depend on it.
 */
export class ZoneAuthority extends Task {
  override readonly name: string;

  private readonly parts: ZoneAuthorityParts;

  private readonly times: AuthorityTimes;

  private term: AuthorityTerm | undefined;

  /** The last term of this instance, while its lease may still stand in the store. */
  private formerTerm: AuthorityTerm | undefined;

  constructor(parts: ZoneAuthorityParts) {
    super();
    this.name = `authority of ${parts.zone}`;
    this.parts = parts;
    this.times = parts.times ?? DEFAULT_AUTHORITY_TIMES;
  }

  /** The term that this instance holds now, if any. */
  get currentTerm(): AuthorityTerm | undefined {
    return this.term?.isHeld === true ? this.term : undefined;
  }

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      const mayTake = this.formerTerm !== undefined || (this.parts.mayBeVacant?.() ?? true);
      const term = mayTake ? await this.tryToTake(context.clock) : undefined;
      if (term !== undefined) {
        yield* this.hold(term, context);
      }
      yield;
      await context.clock.sleep(this.jittered(this.contendMilliseconds()), context.signal);
    }
  }

  /** A former holder looks more often, since nobody else can take the authority from its lease. */
  private contendMilliseconds(): number {
    if (this.formerTerm !== undefined) {
      return this.times.renewalMilliseconds / RETRY_DIVISOR;
    }
    const contenders = this.parts.contenders?.() ?? 0;
    return this.times.contendMilliseconds * Math.max(1, contenders / FULL_RATE_CONTENDERS);
  }

  private async *hold(
    term: AuthorityTerm,
    { clock, signal }: TaskContext,
  ): AsyncGenerator<void, void, void> {
    const { zone, lifecycle, log } = this.parts;
    const { fencingNumber } = term;
    log.info('Authority over the zone was taken.', { zone, fencingNumber });
    const duties = lifecycle.child(`term ${fencingNumber} of ${zone}`);
    this.term = term;
    try {
      this.parts.duties(term).forEach((duty) => duties.start(duty));
      let delayMilliseconds = this.times.renewalMilliseconds;
      while (term.isHeld) {
        yield;
        const either = AbortSignal.any([signal, term.signal]);
        await clock.sleep(this.jittered(delayMilliseconds), either).catch(() => {});
        if (signal.aborted) {
          return;
        }
        const isRenewed = await this.renew(term, clock);
        delayMilliseconds = this.times.renewalMilliseconds / (isRenewed ? 1 : RETRY_DIVISOR);
      }
    } finally {
      term.end();
      this.term = undefined;
      this.formerTerm = signal.aborted ? undefined : term;
      log.info('Authority over the zone has ended.', { zone, fencingNumber });
      // The lease outlives the duties and the orders under way, so that no order takes effect after
      // it. With an order under way it is left to expire, which is later than any order's deadline.
      await duties.stop();
      if (!term.hasOrderUnderWay) {
        await this.revoke(term.grant.lease);
      }
    }
  }

  /** Looks at the authority key and takes it if it is absent. */
  private async tryToTake(clock: Clock): Promise<AuthorityTerm | undefined> {
    try {
      const { store, zone } = this.parts;
      const present = await store.get(authorityKey(zone));
      if (present !== undefined && !(await this.releaseFormer(present))) {
        return undefined;
      }
      return await this.take(clock);
    } catch (error) {
      this.warn('Could not contend for the authority.', error);
      return undefined;
    }
  }

  /**
   * Ends the lease of a former term of this instance, which the store may have kept while it was away.
   * With an order under way it is left to expire. Returns false while the authority is held.
   */
  private async releaseFormer(present: KeyValue): Promise<boolean> {
    const { formerTerm } = this;
    if (formerTerm === undefined || present.value !== formerTerm.storedValue) {
      this.formerTerm = undefined;
      return false;
    }
    if (formerTerm.hasOrderUnderWay) {
      return false;
    }
    await this.parts.store.revokeLease(formerTerm.grant.lease);
    return true;
  }

  private async take(clock: Clock): Promise<AuthorityTerm | undefined> {
    const { store, zone, holder } = this.parts;
    const counter = await store.get(fencingKey(zone));
    // The lease runs from its grant, so the term counts from before that request.
    const askedMilliseconds = clock.monotonicMilliseconds();
    const { identifier, timeToLiveSeconds } = await store.grantLease(this.times.leaseSeconds);
    const fencingNumber = Number(counter?.value ?? 0) + 1;
    const { marginMilliseconds } = this.times;
    const term = new AuthorityTerm({ zone, holder, fencingNumber, lease: identifier }, clock, {
      askedMilliseconds,
      timeToLiveSeconds,
      marginMilliseconds,
    });
    let isTaken = false;
    try {
      isTaken = (await this.commitTake(term, counter)) && term.isHeld;
    } finally {
      if (!isTaken) {
        term.end();
        // A taking write that arrives after this fails, because its lease no longer exists.
        await this.revoke(identifier);
      }
    }
    if (isTaken) {
      this.formerTerm = undefined;
    }
    return isTaken ? term : undefined;
  }

  /** Commits the taking write; a lost answer is resolved by reading the authority key. */
  private async commitTake(term: AuthorityTerm, counter: KeyValue | undefined): Promise<boolean> {
    const { store, zone } = this.parts;
    const { lease } = term.grant;
    const transaction: Transaction = {
      compare: [
        { key: authorityKey(zone), target: 'create-revision', operand: 0 },
        { key: fencingKey(zone), target: 'mod-revision', operand: counter?.modRevision ?? 0 },
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
      this.warn('The answer to the taking write was lost; it is read back.', error);
      const stored = await store.get(authorityKey(zone));
      return stored?.value === term.storedValue;
    }
  }

  private async renew(term: AuthorityTerm, clock: Clock): Promise<boolean> {
    const { marginMilliseconds } = this.times;
    const askedMilliseconds = clock.monotonicMilliseconds();
    try {
      const timeToLiveSeconds = await this.parts.store.keepLeaseAlive(term.grant.lease);
      if (timeToLiveSeconds === 0) {
        term.end();
        return false;
      }
      return term.renew({ askedMilliseconds, timeToLiveSeconds, marginMilliseconds });
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

  /** Between three quarters and five quarters of the time, so that instances do not act in step. */
  private jittered(milliseconds: number): number {
    return milliseconds * (0.75 + this.parts.random.fraction() / 2);
  }

  private warn(sentence: string, error: unknown): void {
    this.parts.log.warn(sentence, {
      zone: this.parts.zone,
      reason: describeFailure(failureOf(error)),
    });
  }
}
