import type { Clock } from 'hickoryrelay/Clock';
import type {
  Comparison,
  KeyValue,
  LeaseGrant,
  Operation,
  OperationResult,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
  WatchEvent,
} from 'hickoryrelay-platform/KeyValueStore';

interface Lease {
  readonly timeToLiveSeconds: number;
  expiryMilliseconds: number;
}

const MILLISECONDS_PER_SECOND = 1000;
const FIRST_LEASE_IDENTIFIER = 1000;

/** The state of a key-value service in memory: revisions, leases and the history of changes. */
export class KeyValueTable {
  private readonly clock: Clock;

  private readonly values = new Map<string, KeyValue>();

  private readonly leases = new Map<string, Lease>();

  private readonly history: WatchBatch[] = [];

  private readonly observers = new Set<(batch: WatchBatch) => void>();

  private revision = 1;

  private leaseCount = FIRST_LEASE_IDENTIFIER;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  range(key: string, prefix = false): RangeResult {
    this.expireLeases();
    return { revision: this.revision, values: this.find(key, prefix) };
  }

  commit(transaction: Transaction): TransactionResult {
    this.expireLeases();
    const events: WatchEvent[] = [];
    const result = this.apply(transaction, events, this.revision + 1);
    this.record(events);
    return { ...result, revision: this.revision };
  }

  grantLease(timeToLiveSeconds: number): LeaseGrant {
    this.leaseCount += 1;
    const identifier = String(this.leaseCount);
    const expiryMilliseconds =
      this.clock.monotonicMilliseconds() + timeToLiveSeconds * MILLISECONDS_PER_SECOND;
    this.leases.set(identifier, { timeToLiveSeconds, expiryMilliseconds });
    return { identifier, timeToLiveSeconds };
  }

  keepLeaseAlive(identifier: string): number {
    this.expireLeases();
    const lease = this.leases.get(identifier);
    if (lease === undefined) {
      return 0;
    }
    lease.expiryMilliseconds =
      this.clock.monotonicMilliseconds() + lease.timeToLiveSeconds * MILLISECONDS_PER_SECOND;
    return lease.timeToLiveSeconds;
  }

  revokeLease(identifier: string): void {
    if (!this.leases.delete(identifier)) {
      return;
    }
    const events: WatchEvent[] = [];
    for (const { key, lease } of [...this.values.values()]) {
      if (lease === identifier) {
        this.remove(key, events, this.revision + 1);
      }
    }
    this.record(events);
  }

  /** Changes from the revision on. */
  changesSince(revision: number): WatchBatch[] {
    this.expireLeases();
    return this.history.filter((batch) => batch.revision >= revision);
  }

  /** Calls the observer on each change. Returns the function that undoes it. */
  subscribe(observer: (batch: WatchBatch) => void): () => void {
    this.observers.add(observer);
    return () => {
      this.observers.delete(observer);
    };
  }

  /** Removes leases that have run out, with their keys. */
  expireLeases(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const [identifier, lease] of [...this.leases]) {
      if (lease.expiryMilliseconds <= now) {
        this.revokeLease(identifier);
      }
    }
  }

  private find(key: string, prefix: boolean): KeyValue[] {
    if (!prefix) {
      const value = this.values.get(key);
      return value === undefined ? [] : [value];
    }
    return [...this.values.values()]
      .filter((value) => value.key.startsWith(key))
      .toSorted((left, right) => (left.key < right.key ? -1 : 1));
  }

  private apply(
    transaction: Transaction,
    events: WatchEvent[],
    newRevision: number,
  ): TransactionResult {
    const succeeded = transaction.compare.every((comparison) => this.holds(comparison));
    const operations = succeeded ? transaction.success : transaction.failure;
    const results = operations.map((operation) => this.operate(operation, events, newRevision));
    return { succeeded, revision: newRevision, results };
  }

  private holds(comparison: Comparison): boolean {
    const value = this.values.get(comparison.key);
    switch (comparison.target) {
      case 'create-revision':
        return (value?.createRevision ?? 0) === comparison.operand;
      case 'mod-revision':
        return (value?.modRevision ?? 0) === comparison.operand;
      case 'version':
        return (value?.version ?? 0) === comparison.operand;
      default:
        return value?.value === comparison.operand;
    }
  }

  private operate(
    operation: Operation,
    events: WatchEvent[],
    newRevision: number,
  ): OperationResult {
    switch (operation.type) {
      case 'put':
        this.put(operation, events, newRevision);
        return { type: 'put' };
      case 'delete': {
        const found = this.find(operation.key, operation.prefix === true);
        found.forEach(({ key }) => this.remove(key, events, newRevision));
        return { type: 'delete', deleted: found.length };
      }
      case 'range':
        return { type: 'range', values: this.find(operation.key, operation.prefix === true) };
      default:
        return {
          type: 'transaction',
          result: this.apply(operation.transaction, events, newRevision),
        };
    }
  }

  private put(
    operation: Extract<Operation, { type: 'put' }>,
    events: WatchEvent[],
    newRevision: number,
  ): void {
    const { key, value, lease } = operation;
    const previous = this.values.get(key);
    const stored: KeyValue = {
      key,
      value,
      createRevision: previous?.createRevision ?? newRevision,
      modRevision: newRevision,
      version: (previous?.version ?? 0) + 1,
      ...(lease === undefined ? {} : { lease }),
    };
    this.values.set(key, stored);
    events.push({ type: 'put', value: stored });
  }

  private remove(key: string, events: WatchEvent[], newRevision: number): void {
    if (this.values.delete(key)) {
      events.push({ type: 'delete', key, modRevision: newRevision });
    }
  }

  private record(events: readonly WatchEvent[]): void {
    if (events.length === 0) {
      return;
    }
    this.revision += 1;
    const batch = { revision: this.revision, events };
    this.history.push(batch);
    this.observers.forEach((observer) => observer(batch));
  }
}
