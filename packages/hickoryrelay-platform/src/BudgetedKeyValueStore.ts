import { backoffDelays } from 'hickoryrelay/Backoff';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError, hasFailureKind } from 'hickoryrelay/RelayError';

import { CallKind } from './CallBudget.js';
import { KeyValueStore } from './KeyValueStore.js';

import type { CallBudget } from './CallBudget.js';
import type {
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from './KeyValueStore.js';
import type { StoreEra } from './StoreEra.js';
import type { StoreRevision } from './StoreRevision.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';

const MAX_READ_ATTEMPTS = 3;
const READ_RETRY_BACKOFF = { initialMilliseconds: 200, maximumMilliseconds: 2000 };

/**
 * Upper bound of the random delay before a broken watch is reopened. A restart of the service breaks
 * the watches of all instances at once; with this jitter, 640 instances make 107 calls per second.
 */
export const MAX_RECONNECT_JITTER_MILLISECONDS = 6000;

const RECONNECT_BACKOFF = { initialMilliseconds: 1000, maximumMilliseconds: 20_000 };

/** The dependencies of a `BudgetedKeyValueStore`. */
export interface BudgetedKeyValueStoreParts {
  readonly store: KeyValueStore;
  readonly budget: CallBudget;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Limits the rate of an instance's calls to the key-value service. Failed reads are retried a few
 * times with jittered backoff, writes never, since a failed write may have taken effect. A broken
 * watch is reopened from the revision after the last one received, after a jittered backoff.
 */
export class BudgetedKeyValueStore extends KeyValueStore {
  private readonly parts: BudgetedKeyValueStoreParts;

  constructor(parts: BudgetedKeyValueStoreParts) {
    super();
    this.parts = parts;
  }

  override get era(): StoreEra {
    return this.parts.store.era;
  }

  override async range(key: string, options: { prefix?: boolean } = {}): Promise<RangeResult> {
    const { store, budget, clock, random } = this.parts;
    const delays = backoffDelays(READ_RETRY_BACKOFF, random);
    for (let attempt = 1; ; attempt += 1) {
      await budget.acquire(CallKind.Read);
      try {
        return await store.range(key, options);
      } catch (error) {
        const isUnavailable = hasFailureKind(error, FailureKind.PlatformUnavailable);
        if (!isUnavailable || attempt === MAX_READ_ATTEMPTS) {
          throw error;
        }
        await clock.sleep(delays.next().value);
      }
    }
  }

  override async commit(transaction: Transaction): Promise<TransactionResult> {
    await this.parts.budget.acquire(CallKind.Write);
    return this.parts.store.commit(transaction);
  }

  override async grantLease(timeToLiveSeconds: number): Promise<LeaseGrant> {
    await this.parts.budget.acquire(CallKind.Write);
    return this.parts.store.grantLease(timeToLiveSeconds);
  }

  override async keepLeaseAlive(identifier: string): Promise<number> {
    await this.parts.budget.acquire(CallKind.Write, true);
    return this.parts.store.keepLeaseAlive(identifier);
  }

  override async revokeLease(identifier: string): Promise<void> {
    await this.parts.budget.acquire(CallKind.Write, true);
    await this.parts.store.revokeLease(identifier);
  }

  /**
   * Yields changes until the signal aborts and reopens broken watches. Throws only if the service has
   * compacted the changes after the last revision received or has been restored from an older copy;
   * the caller then has to read the current values and start a new watch.
   */
  override async *watch(
    prefix: string,
    fromRevision: StoreRevision,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void> {
    const { store, budget, clock, random } = this.parts;
    let nextRevision = fromRevision;
    let delays = backoffDelays(RECONNECT_BACKOFF, random);
    while (!signal.aborted) {
      this.assertCurrentEra(nextRevision);
      const releaseWatch = await budget.acquireWatch();
      try {
        await budget.acquire(CallKind.Read);
        for await (const batch of store.watch(prefix, nextRevision, signal)) {
          // The first message of a watch carries the current revision but no earlier changes, so only
          // batches with events advance the revision to resume from.
          if (batch.events.length > 0) {
            delays = backoffDelays(RECONNECT_BACKOFF, random);
            nextRevision = batch.revision.next;
          }
          yield batch;
        }
      } catch (error) {
        this.assertCanReconnect(error, signal);
      } finally {
        releaseWatch();
      }
      const jitterMilliseconds = random.fraction() * MAX_RECONNECT_JITTER_MILLISECONDS;
      await clock.sleep(jitterMilliseconds + delays.next().value, signal).catch(() => {});
    }
  }

  /** The changes after a revision of an earlier era are unknown, even if its number exists again. */
  private assertCurrentEra(revision: StoreRevision): void {
    const { current } = this.era;
    if (revision.number > 0 && current !== undefined && revision.era < current) {
      throw this.protocolViolation(new Error('the service has been restored from an older copy'));
    }
  }

  private assertCanReconnect(error: unknown, signal: AbortSignal): void {
    if (!signal.aborted && !hasFailureKind(error, FailureKind.PlatformUnavailable)) {
      throw error instanceof RelayError ? error : this.protocolViolation(error);
    }
  }

  private protocolViolation(error: unknown): RelayError {
    const reason = error instanceof Error ? error.message : String(error);
    return new RelayError(
      { kind: FailureKind.ProtocolViolation, peer: 'key-value service', reason },
      error,
    );
  }
}
