import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { failureOf, hasFailureKind, RelayError } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { ClaimRegister } from './ClaimRegister.js';
import { RecentClaims } from './RecentClaims.js';
import { claimKey, completedClaim, outcomeOf, pendingClaim } from './StoredClaim.js';
import { WriteBatcher } from './WriteBatcher.js';

import type { ClaimOutcome, StoredResponse } from './ClaimRegister.js';
import type { RecentClaim } from './RecentClaims.js';
import type { StoredClaim } from './StoredClaim.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { KeyValueStore, Transaction } from 'hickoryrelay-platform/KeyValueStore';

const HOUR_MILLISECONDS = 3_600_000;

/** Claims are kept for at least 24 h. The claims of one hour share a lease, so it lasts 25 h. */
const CLAIM_LEASE_SECONDS = 25 * 3600;

/** Delay before a batch is sent when no other batch is in flight. */
const BATCH_DELAY_MILLISECONDS = 2;

const READ_BACK_ATTEMPTS = 3;
const RETRY_INTERVAL_MILLISECONDS = 100;
const WRITE_ATTEMPTS = 3;

/**
 * Time after a restore of the store during which no call is claimed, so that all instances can put their
 * claims back. Each instance notices a restore within 6.25 s, with its next read of the configuration.
 */
const RESTORE_SETTLE_MILLISECONDS = 10_000;

interface GrantedClaim {
  readonly key: string;
  readonly claim: StoredClaim;
  readonly lease: string;
  readonly claimedMilliseconds: number;
  /** Era of the store in which the claim was written. */
  readonly era: number;
}

/** Stores claims in the platform's key-value service. */
export class KeyValueClaimRegister extends ClaimRegister {
  private readonly keyValue: KeyValueStore;

  private readonly clock: Clock;

  private readonly log: ComponentLogger;

  private readonly batcher: WriteBatcher;

  /** Granted claims by request identifier, until the call completes or is abandoned. */
  private readonly granted = new Map<string, GrantedClaim>();

  private readonly recent: RecentClaims;

  private restoredMilliseconds = Number.NEGATIVE_INFINITY;

  private lease: { readonly identifier: Promise<string>; readonly validUntilMilliseconds: number };

  constructor(
    store: KeyValueStore,
    clock: Clock,
    log: ComponentLogger,
    batchDelayMilliseconds = BATCH_DELAY_MILLISECONDS,
  ) {
    super();
    this.keyValue = store;
    this.clock = clock;
    this.log = log;
    this.recent = new RecentClaims(clock);
    this.batcher = new WriteBatcher(store, clock, batchDelayMilliseconds);
    this.lease = { identifier: Promise.resolve(''), validUntilMilliseconds: -Infinity };
  }

  /** Puts claims back that a restored store has forgotten. Returns the function that ends it. */
  observeRestores(): CleanUp {
    return this.keyValue.era.onRestore((era) => {
      this.restoredMilliseconds = this.clock.monotonicMilliseconds();
      this.lease = { ...this.lease, validUntilMilliseconds: -Infinity };
      const forgotten = this.recent.listOfEarlierEras(era);
      this.log.warn('Putting claims back into the restored store.', { count: forgotten.length });
      forgotten.forEach((claim) => {
        void this.putBack(claim, era);
      });
    });
  }

  override async claim(call: ServiceCall): Promise<ClaimOutcome> {
    const requestEra = this.keyValue.era.current;
    this.assertSettled();
    const key = claimKey(call);
    const claim = pendingClaim(call);
    const known = this.recent.findOfEarlierEra(key, this.currentEra);
    if (known !== undefined) {
      return this.outcomeFor(claim, known.claim);
    }
    const lease = await this.currentLease();
    const claimedMilliseconds = this.clock.monotonicMilliseconds();
    const granted = { key, claim, lease, claimedMilliseconds, era: this.currentEra };
    const existing = await this.createOrReadClaim(granted);
    if (existing === undefined) {
      if (requestEra !== undefined && requestEra !== this.currentEra) {
        // The claim itself has shown that the store was restored.
        void this.remove(granted);
        throw this.unsettled();
      }
      this.trackGranted({ ...granted, era: this.currentEra });
      this.recent.record(key, claim, this.currentEra);
      return { kind: 'granted' };
    }
    return this.outcomeFor(claim, existing);
  }

  private outcomeFor(claim: StoredClaim, existing: StoredClaim): ClaimOutcome {
    if (existing.digest !== claim.digest) {
      const reason = 'the key was used for a different request';
      throw new RelayError({ kind: FailureKind.IdempotencyConflict, reason });
    }
    return outcomeOf(existing);
  }

  override async store(call: ServiceCall, response: StoredResponse): Promise<void> {
    const granted = this.release(call);
    if (granted === undefined) {
      return;
    }
    const { key, claim } = granted;
    const completed = completedClaim(claim, response);
    const isRestored = granted.era !== this.currentEra;
    this.recent.record(key, completed, this.currentEra);
    const lease = isRestored ? await this.currentLease() : granted.lease;
    const put = { type: 'put' as const, key, value: JSON.stringify(completed), lease };
    // The comparison makes retries idempotent: it succeeds only while no response is stored.
    await this.write(key, {
      compare: [{ key, target: 'value', operand: JSON.stringify(claim) }],
      success: [put],
      failure: isRestored
        ? [{ type: 'transaction', transaction: { ...this.ifAbsent(key), success: [put] } }]
        : [],
    });
  }

  override async abandon(call: ServiceCall): Promise<void> {
    const granted = this.release(call);
    if (granted !== undefined) {
      this.recent.remove(granted.key);
      await this.remove(granted);
    }
  }

  private get currentEra(): number {
    return this.keyValue.era.current ?? 0;
  }

  /** Throws `platform-unavailable` while instances put their claims back after a restore. */
  private assertSettled(): void {
    const elapsed = this.clock.monotonicMilliseconds() - this.restoredMilliseconds;
    if (elapsed < RESTORE_SETTLE_MILLISECONDS) {
      throw this.unsettled();
    }
  }

  private unsettled(): RelayError {
    return new RelayError({
      kind: FailureKind.PlatformUnavailable,
      service: 'key-value service',
      reason: 'claims are put back after a restore of the service',
      mayHaveTakenEffect: false,
    });
  }

  private ifAbsent(key: string): Pick<Transaction, 'compare' | 'failure'> {
    return {
      compare: [{ key, target: 'create-revision', operand: StoreRevision.None }],
      failure: [],
    };
  }

  /** Writes a claim of an earlier era again, unless the store has it or another one. */
  private async putBack({ key, claim }: RecentClaim, era: number): Promise<void> {
    try {
      const lease = await this.currentLease();
      const success = [{ type: 'put' as const, key, value: JSON.stringify(claim), lease }];
      if (await this.write(key, { ...this.ifAbsent(key), success })) {
        this.recent.record(key, claim, era);
      }
    } catch (error) {
      const reason = describeFailure(failureOf(error));
      this.log.warn('Could not put a claim back.', { reason });
    }
  }

  private release(call: ServiceCall): GrantedClaim | undefined {
    const granted = this.granted.get(call.requestIdentifier);
    this.granted.delete(call.requestIdentifier);
    return granted;
  }

  /** Tracks a granted claim. Drops claims older than an hour, whose results stay unknown. */
  private trackGranted(granted: GrantedClaim): void {
    this.granted.set(granted.claim.requestIdentifier, granted);
    const now = this.clock.monotonicMilliseconds();
    for (const [requestIdentifier, { claimedMilliseconds }] of this.granted) {
      if (now - claimedMilliseconds < HOUR_MILLISECONDS) {
        break;
      }
      this.granted.delete(requestIdentifier);
    }
  }

  /** Creates the claim, or returns the existing claim of an earlier call with the same key. */
  private async createOrReadClaim(granted: GrantedClaim): Promise<StoredClaim | undefined> {
    const { key, claim, lease } = granted;
    const value = JSON.stringify(claim);
    try {
      const { succeeded, results } = await this.batcher.commit({
        key,
        transaction: {
          compare: [{ key, target: 'create-revision', operand: StoreRevision.None }],
          success: [{ type: 'put', key, value, lease }],
          failure: [{ type: 'range', key }],
        },
      });
      if (succeeded) {
        return undefined;
      }
      const [result] = results;
      const existing = result?.type === 'range' ? result.values[0] : undefined;
      invariant(
        existing !== undefined,
        `claim ${key} exists but the transaction returned no value`,
      );
      return JSON.parse(existing.value) as StoredClaim;
    } catch (error) {
      // The service may have rejected the lease, so the next claim uses a new one.
      this.lease = { ...this.lease, validUntilMilliseconds: -Infinity };
      return this.resolveLostResponse(granted, error);
    }
  }

  /**
   * Handles a lost response to the write: reads the claim and compares its request identifier. If
   * there is no claim, the write may still be in flight, so the call is rejected and the claim is
   * removed.
   */
  private async resolveLostResponse(
    granted: GrantedClaim,
    error: unknown,
  ): Promise<StoredClaim | undefined> {
    const failure = failureOf(error);
    if (failure.kind !== FailureKind.PlatformUnavailable || !failure.mayHaveTakenEffect) {
      throw error;
    }
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
      try {
        const existing = await this.keyValue.get(granted.key);
        if (existing === undefined) {
          break;
        }
        const claim = JSON.parse(existing.value) as StoredClaim;
        const isOwn = claim.requestIdentifier === granted.claim.requestIdentifier;
        return isOwn ? undefined : claim;
      } catch (readError) {
        if (!hasFailureKind(readError, FailureKind.PlatformUnavailable)) {
          throw readError;
        }
        await this.clock.sleep(RETRY_INTERVAL_MILLISECONDS);
      }
    }
    void this.remove(granted);
    throw error;
  }

  /** Removes the claim of a call that was not run, unless another call has claimed the key. */
  private async remove({ key, claim }: GrantedClaim): Promise<void> {
    await this.write(key, {
      compare: [{ key, target: 'value', operand: JSON.stringify(claim) }],
      success: [{ type: 'delete', key }],
      failure: [],
    });
  }

  /** Commits an idempotent write. Logs and retries failures. Returns whether it was committed. */
  private async write(key: string, transaction: Transaction): Promise<boolean> {
    for (let attempt = 1; attempt <= WRITE_ATTEMPTS; attempt += 1) {
      try {
        await this.batcher.commit({ key, transaction });
        return true;
      } catch (error) {
        const reason = describeFailure(failureOf(error));
        this.log.warn('Could not update a claim.', { attempt, reason });
        await this.clock.sleep(RETRY_INTERVAL_MILLISECONDS * attempt);
      }
    }
    return false;
  }

  private currentLease(): Promise<string> {
    const now = this.clock.monotonicMilliseconds();
    if (now >= this.lease.validUntilMilliseconds) {
      const identifier = this.keyValue
        .grantLease(CLAIM_LEASE_SECONDS)
        .then((grant) => grant.identifier);
      const lease = { identifier, validUntilMilliseconds: now + HOUR_MILLISECONDS };
      this.lease = lease;
      identifier.catch(() => {
        if (this.lease === lease) {
          this.lease = { ...lease, validUntilMilliseconds: -Infinity };
        }
      });
    }
    return this.lease.identifier;
  }
}
