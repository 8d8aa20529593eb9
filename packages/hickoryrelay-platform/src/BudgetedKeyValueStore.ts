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
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';

const READ_ATTEMPTS = 3;
const RETRY_LIMITS = { initialMilliseconds: 200, maximumMilliseconds: 2000 };

/**
 * Watches of all instances break together when the service restarts, so each waits for a random
 * part of this time before it opens the next one: 640 instances make 107 calls a second.
 */
export const RECONNECT_SPREAD_MILLISECONDS = 6000;

const RECONNECT_LIMITS = { initialMilliseconds: 1000, maximumMilliseconds: 20_000 };

/** What a budgeted store is made of. */
export interface BudgetedStoreParts {
  readonly store: KeyValueStore;
  readonly budget: CallBudget;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Keeps an instance's calls to the key-value service within its budget. Reads are repeated with
 * jitter a few times, writes never. A watch that breaks is opened again from the revision after the
 * last one seen, with a bounded and jittered delay.
 */
export class BudgetedKeyValueStore extends KeyValueStore {
  private readonly parts: BudgetedStoreParts;

  constructor(parts: BudgetedStoreParts) {
    super();
    this.parts = parts;
  }

  override async range(key: string, options: { prefix?: boolean } = {}): Promise<RangeResult> {
    const { store, budget, clock, random } = this.parts;
    const delays = backoffDelays(RETRY_LIMITS, random);
    for (let attempt = 1; ; attempt += 1) {
      await budget.take(CallKind.Read);
      try {
        return await store.range(key, options);
      } catch (error) {
        const isOut = hasFailureKind(error, FailureKind.PlatformUnavailable);
        if (!isOut || attempt === READ_ATTEMPTS) {
          throw error;
        }
        await clock.sleep(delays.next().value);
      }
    }
  }

  override async commit(transaction: Transaction): Promise<TransactionResult> {
    await this.parts.budget.take(CallKind.Write);
    return this.parts.store.commit(transaction);
  }

  override async grantLease(timeToLiveSeconds: number): Promise<LeaseGrant> {
    await this.parts.budget.take(CallKind.Write);
    return this.parts.store.grantLease(timeToLiveSeconds);
  }

  override async keepLeaseAlive(identifier: string): Promise<number> {
    await this.parts.budget.take(CallKind.Write, true);
    return this.parts.store.keepLeaseAlive(identifier);
  }

  override async revokeLease(identifier: string): Promise<void> {
    await this.parts.budget.take(CallKind.Write, true);
    await this.parts.store.revokeLease(identifier);
  }

  /**
   * Yields changes until the signal aborts, over broken watches. Throws only if the service no
   * longer has the changes after the last revision seen; the user then reads and starts anew.
   */
  override async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void> {
    const { store, budget, clock, random } = this.parts;
    let nextRevision = fromRevision;
    let delays = backoffDelays(RECONNECT_LIMITS, random);
    while (!signal.aborted) {
      const closed = await budget.openWatch();
      try {
        await budget.take(CallKind.Read);
        for await (const batch of store.watch(prefix, nextRevision, signal)) {
          // The first line of a watch carries the present revision but none of the changes before it.
          if (batch.events.length > 0) {
            delays = backoffDelays(RECONNECT_LIMITS, random);
            nextRevision = batch.revision + 1;
          }
          yield batch;
        }
      } catch (error) {
        this.assertCanReconnect(error, signal);
      } finally {
        closed();
      }
      const spread = random.fraction() * RECONNECT_SPREAD_MILLISECONDS;
      await clock.sleep(spread + delays.next().value, signal).catch(() => {});
    }
  }

  private assertCanReconnect(error: unknown, signal: AbortSignal): void {
    if (!signal.aborted && !hasFailureKind(error, FailureKind.PlatformUnavailable)) {
      throw error instanceof RelayError ? error : this.unexpected(error);
    }
  }

  private unexpected(error: unknown): RelayError {
    const reason = error instanceof Error ? error.message : String(error);
    return new RelayError(
      { kind: FailureKind.ProtocolViolation, peer: 'key-value service', reason },
      error,
    );
  }
}
