import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import { StoreEra } from 'hickoryrelay-platform/StoreEra';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import type { Clock } from 'hickoryrelay/Clock';
import type {
  KeyValue,
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from 'hickoryrelay-platform/KeyValueStore';

interface StoredValue {
  readonly value: string;
  readonly revision: number;
}

interface StoreCopy {
  readonly atMilliseconds: number;
  readonly items: ReadonlyMap<string, StoredValue>;
  readonly revision: number;
}

const unavailable = (mayHaveTakenEffect: boolean) =>
  new RelayError({
    kind: FailureKind.PlatformUnavailable,
    service: 'key-value service',
    reason: 'simulated outage',
    mayHaveTakenEffect,
  });

/**
 * Key-value service in memory that can be restored from the copy of an earlier time. Conditions
 * compare revision numbers only, which it assigns again after a restore.
 */
export class RestorableStore {
  isAway = false;

  /** Number of calls to come whose effects take place and whose responses are lost. */
  responsesToLose = 0;

  private readonly clock: Clock;

  private copies: StoreCopy[] = [];

  private items = new Map<string, StoredValue>();

  private revision = 1;

  private era = 1;

  constructor(clock: Clock) {
    this.clock = clock;
    this.takeCopy();
  }

  /** Copies the current state for later restores. */
  takeCopy(): void {
    const { items, revision } = this;
    const atMilliseconds = this.clock.monotonicMilliseconds();
    this.copies.push({ atMilliseconds, items: new Map(items), revision });
  }

  /** Restores the latest copy that is at least so old, or the first one. */
  restore(ageMilliseconds: number): void {
    const latest = this.clock.monotonicMilliseconds() - ageMilliseconds;
    const [first] = this.copies;
    const copy = this.copies.findLast(({ atMilliseconds }) => atMilliseconds <= latest) ?? first;
    this.items = new Map(copy?.items);
    this.revision = copy?.revision ?? 1;
    this.copies = this.copies.filter(({ atMilliseconds }) => atMilliseconds <= latest);
    this.era += 1;
    this.takeCopy();
  }

  read(prefix: string, isPrefix: boolean): { era: number; revision: number; values: KeyValue[] } {
    this.checkAvailable(false);
    const { era, revision } = this;
    const values = [...this.items]
      .filter(([key]) => (isPrefix ? key.startsWith(prefix) : key === prefix))
      .map(([key, item]) => {
        const modRevision = new StoreRevision(era, item.revision);
        return { key, value: item.value, createRevision: modRevision, modRevision, version: 1 };
      });
    return { era, revision, values };
  }

  execute({ compare, success }: Transaction): { era: number; revision: number; holds: boolean } {
    this.checkAvailable(false);
    const holds = compare.every(
      ({ key, operand }) =>
        operand instanceof StoreRevision &&
        operand.number === (this.items.get(key)?.revision ?? StoreRevision.None.number),
    );
    if (holds) {
      this.revision += 1;
      for (const operation of success) {
        if (operation.type === 'put') {
          this.items.set(operation.key, { value: operation.value, revision: this.revision });
        } else if (operation.type === 'delete') {
          this.items.delete(operation.key);
        }
      }
    }
    this.checkAvailable(true);
    return { era: this.era, revision: this.revision, holds };
  }

  private checkAvailable(mayHaveTakenEffect: boolean): void {
    if (this.isAway) {
      throw unavailable(mayHaveTakenEffect);
    }
    if (mayHaveTakenEffect && this.responsesToLose > 0) {
      this.responsesToLose -= 1;
      throw unavailable(true);
    }
  }
}

/** The client of one instance. */
export class RestorableStoreClient extends KeyValueStore {
  override readonly era: StoreEra;

  private readonly store: RestorableStore;

  constructor(store: RestorableStore, clock: Clock) {
    super();
    this.store = store;
    this.era = new StoreEra(clock);
  }

  override async range(key: string, options: { prefix?: boolean } = {}): Promise<RangeResult> {
    await Promise.resolve();
    const { era, revision, values } = this.store.read(key, options.prefix === true);
    this.era.observe(era);
    return { revision: new StoreRevision(era, revision), values };
  }

  override async commit(transaction: Transaction): Promise<TransactionResult> {
    await Promise.resolve();
    const { era, revision, holds } = this.store.execute(transaction);
    this.era.observe(era);
    return { succeeded: holds, revision: new StoreRevision(era, revision), results: [] };
  }

  override grantLease(): Promise<LeaseGrant> {
    return Promise.reject(unavailable(false));
  }

  override keepLeaseAlive(): Promise<number> {
    return Promise.reject(unavailable(false));
  }

  override revokeLease(): Promise<void> {
    return Promise.reject(unavailable(false));
  }

  override watch(): AsyncGenerator<WatchBatch, void, void> {
    throw unavailable(false);
  }
}
