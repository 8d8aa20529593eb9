import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { failureOf, hasFailureKind, RelayError } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { ClaimRegister } from './ClaimRegister.js';
import { claimKey, completedClaim, outcomeOf, pendingClaim } from './StoredClaim.js';
import { WriteBatcher } from './WriteBatcher.js';

import type { ClaimOutcome, StoredResponse } from './ClaimRegister.js';
import type { StoredClaim } from './StoredClaim.js';
import type { Clock } from 'hickoryrelay/Clock';
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

interface GrantedClaim {
  readonly key: string;
  readonly claim: StoredClaim;
  readonly lease: string;
  readonly claimedMilliseconds: number;
}

/** Stores claims in the platform's key-value service. */
export class KeyValueClaimRegister extends ClaimRegister {
  private readonly keyValue: KeyValueStore;

  private readonly clock: Clock;

  private readonly log: ComponentLogger;

  private readonly batcher: WriteBatcher;

  /** Granted claims by request identifier, until the call completes or is abandoned. */
  private readonly granted = new Map<string, GrantedClaim>();

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
    this.batcher = new WriteBatcher(store, clock, batchDelayMilliseconds);
    this.lease = { identifier: Promise.resolve(''), validUntilMilliseconds: -Infinity };
  }

  override async claim(call: ServiceCall): Promise<ClaimOutcome> {
    const key = claimKey(call);
    const claim = pendingClaim(call);
    const lease = await this.currentLease();
    const claimedMilliseconds = this.clock.monotonicMilliseconds();
    const granted = { key, claim, lease, claimedMilliseconds };
    const existing = await this.createOrReadClaim(granted);
    if (existing === undefined) {
      this.trackGranted(granted);
      return { kind: 'granted' };
    }
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
    const { key, claim, lease } = granted;
    const value = JSON.stringify(completedClaim(claim, response));
    // The comparison makes retries idempotent: it succeeds only while no response is stored.
    await this.write(key, {
      compare: [{ key, target: 'value', operand: JSON.stringify(claim) }],
      success: [{ type: 'put', key, value, lease }],
      failure: [],
    });
  }

  override async abandon(call: ServiceCall): Promise<void> {
    const granted = this.release(call);
    if (granted !== undefined) {
      await this.remove(granted);
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

  /** Commits an idempotent write. Logs and retries failures. */
  private async write(key: string, transaction: Transaction): Promise<void> {
    for (let attempt = 1; attempt <= WRITE_ATTEMPTS; attempt += 1) {
      try {
        await this.batcher.commit({ key, transaction });
        return;
      } catch (error) {
        const reason = describeFailure(failureOf(error));
        this.log.warn('Could not update a claim.', { attempt, reason });
        await this.clock.sleep(RETRY_INTERVAL_MILLISECONDS * attempt);
      }
    }
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
