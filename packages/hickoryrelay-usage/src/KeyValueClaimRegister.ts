import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { failureOf, hasFailureKind, RelayError } from 'hickoryrelay/RelayError';

import { ClaimRegister } from './ClaimRegister.js';
import { answeredClaim, claimKey, claimOf, outcomeOf } from './StoredClaim.js';
import { WriteBatcher } from './WriteBatcher.js';

import type { ClaimOutcome, StoredAnswer } from './ClaimRegister.js';
import type { StoredClaim } from './StoredClaim.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { KeyValueStore, Transaction } from 'hickoryrelay-platform/KeyValueStore';

const HOUR_MILLISECONDS = 3_600_000;

/** Claims last at least 24 h; those of an hour share a lease, which is granted at its start. */
const LEASE_SECONDS = 25 * 3600;

/** Time for which writes are gathered when none is in flight. */
const GATHER_MILLISECONDS = 2;

const READ_BACK_ATTEMPTS = 3;
const READ_BACK_INTERVAL_MILLISECONDS = 100;
const STORE_ATTEMPTS = 3;

interface GrantedClaim {
  readonly key: string;
  readonly claim: StoredClaim;
  readonly lease: string;
  readonly claimedMilliseconds: number;
}

/** Claims in the platform's key-value service. */
export class KeyValueClaimRegister extends ClaimRegister {
  private readonly keyValue: KeyValueStore;

  private readonly clock: Clock;

  private readonly log: ComponentLogger;

  private readonly batcher: WriteBatcher;

  /** Claims granted by this instance, by request, until they are answered or abandoned. */
  private readonly granted = new Map<string, GrantedClaim>();

  private lease: { readonly identifier: Promise<string>; readonly untilMilliseconds: number };

  constructor(
    store: KeyValueStore,
    clock: Clock,
    log: ComponentLogger,
    gatherMilliseconds = GATHER_MILLISECONDS,
  ) {
    super();
    this.keyValue = store;
    this.clock = clock;
    this.log = log;
    this.batcher = new WriteBatcher(store, clock, gatherMilliseconds);
    this.lease = { identifier: Promise.resolve(''), untilMilliseconds: -Infinity };
  }

  override async claim(call: ServiceCall): Promise<ClaimOutcome> {
    const key = claimKey(call);
    const claim = claimOf(call);
    const lease = await this.currentLease();
    const claimedMilliseconds = this.clock.monotonicMilliseconds();
    const granted = { key, claim, lease, claimedMilliseconds };
    const found = await this.createOrFind(granted);
    if (found === undefined) {
      this.remember(granted);
      return { kind: 'granted' };
    }
    if (found.digest !== claim.digest) {
      const reason = 'the key was used for a different request';
      throw new RelayError({ kind: FailureKind.IdempotencyConflict, reason });
    }
    return outcomeOf(found);
  }

  override async store(call: ServiceCall, answer: StoredAnswer): Promise<void> {
    const granted = this.release(call);
    if (granted === undefined) {
      return;
    }
    const { key, claim, lease } = granted;
    const value = JSON.stringify(answeredClaim(claim, answer));
    // The comparison makes a repeat harmless: it holds only while the claim is not answered.
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

  /** Remembers a granted claim, and forgets old ones whose result stayed unknown. */
  private remember(granted: GrantedClaim): void {
    this.granted.set(granted.claim.requestIdentifier, granted);
    const now = this.clock.monotonicMilliseconds();
    for (const [requestIdentifier, { claimedMilliseconds }] of this.granted) {
      if (now - claimedMilliseconds < HOUR_MILLISECONDS) {
        break;
      }
      this.granted.delete(requestIdentifier);
    }
  }

  /** Creates a claim, or returns the one of an earlier call. */
  private async createOrFind(granted: GrantedClaim): Promise<StoredClaim | undefined> {
    const { key, claim, lease } = granted;
    const value = JSON.stringify(claim);
    try {
      const { succeeded, results } = await this.batcher.commit({
        key,
        transaction: {
          compare: [{ key, target: 'create-revision', operand: 0 }],
          success: [{ type: 'put', key, value, lease }],
          failure: [{ type: 'range', key }],
        },
      });
      if (succeeded) {
        return undefined;
      }
      const [result] = results;
      const found = result?.type === 'range' ? result.values[0] : undefined;
      invariant(found !== undefined, `the claim ${key} is present but was not returned`);
      return JSON.parse(found.value) as StoredClaim;
    } catch (error) {
      // The lease may be what the service refused.
      this.lease = { ...this.lease, untilMilliseconds: -Infinity };
      return this.readBack(granted, error);
    }
  }

  /**
   * Resolves a lost answer by the request that the stored claim names. If no claim is found, the
   * write may still be on its way, so the call is refused and the claim is taken back.
   */
  private async readBack(granted: GrantedClaim, error: unknown): Promise<StoredClaim | undefined> {
    const failure = failureOf(error);
    if (failure.kind !== FailureKind.PlatformUnavailable || !failure.mayHaveTakenEffect) {
      throw error;
    }
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
      try {
        const found = await this.keyValue.get(granted.key);
        if (found === undefined) {
          break;
        }
        const claim = JSON.parse(found.value) as StoredClaim;
        const isOwn = claim.requestIdentifier === granted.claim.requestIdentifier;
        return isOwn ? undefined : claim;
      } catch (readError) {
        if (!hasFailureKind(readError, FailureKind.PlatformUnavailable)) {
          throw readError;
        }
        await this.clock.sleep(READ_BACK_INTERVAL_MILLISECONDS);
      }
    }
    void this.remove(granted);
    throw error;
  }

  /** Removes a claim whose call was not run, if it is still the claim of that call. */
  private async remove({ key, claim }: GrantedClaim): Promise<void> {
    await this.write(key, {
      compare: [{ key, target: 'value', operand: JSON.stringify(claim) }],
      success: [{ type: 'delete', key }],
      failure: [],
    });
  }

  /** Commits a write that is harmless when repeated. Logs a failure. */
  private async write(key: string, transaction: Transaction): Promise<void> {
    for (let attempt = 1; attempt <= STORE_ATTEMPTS; attempt += 1) {
      try {
        await this.batcher.commit({ key, transaction });
        return;
      } catch (error) {
        const reason = describeFailure(failureOf(error));
        this.log.warn('Could not write to a claim.', { attempt, reason });
        await this.clock.sleep(READ_BACK_INTERVAL_MILLISECONDS * attempt);
      }
    }
  }

  private currentLease(): Promise<string> {
    const now = this.clock.monotonicMilliseconds();
    if (now >= this.lease.untilMilliseconds) {
      const identifier = this.keyValue.grantLease(LEASE_SECONDS).then((grant) => grant.identifier);
      const lease = { identifier, untilMilliseconds: now + HOUR_MILLISECONDS };
      this.lease = lease;
      identifier.catch(() => {
        if (this.lease === lease) {
          this.lease = { ...lease, untilMilliseconds: -Infinity };
        }
      });
    }
    return this.lease.identifier;
  }
}
