import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { FaultKind, FaultTally } from './FaultTally.js';

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

/** Default of etcd for the operations in one list of a transaction. */
const MAXIMUM_OPERATIONS = 128;

function refused(field: string, reason: string): RelayError {
  return new RelayError({ kind: FailureKind.InvalidRequest, field, reason });
}

/** Keys that a list of operations may put. Throws on a repeated key, as etcd does. */
function putKeys(operations: readonly Operation[]): Set<string> {
  const keys = new Set<string>();
  for (const operation of operations) {
    let added = new Set<string>();
    if (operation.type === 'put') {
      added.add(operation.key);
    } else if (operation.type === 'transaction') {
      const { success, failure } = operation.transaction;
      added = new Set([...putKeys(success), ...putKeys(failure)]);
    }
    for (const key of added) {
      if (keys.has(key)) {
        throw refused('key', 'duplicate key given in txn request');
      }
      keys.add(key);
    }
  }
  return keys;
}

function checkSizes({ compare, success, failure }: Transaction): void {
  if ([compare, success, failure].some((list) => list.length > MAXIMUM_OPERATIONS)) {
    throw refused('operations', 'too many operations in txn request');
  }
  for (const operation of [...success, ...failure]) {
    if (operation.type === 'transaction') {
      checkSizes(operation.transaction);
    }
  }
}

/** The state of a key-value service in memory: revisions, leases and the history of changes. */
export class KeyValueTable {
  /** Takes the faults that took effect. */
  tally = new FaultTally();

  private readonly clock: Clock;

  private readonly values = new Map<string, KeyValue>();

  private readonly leases = new Map<string, Lease>();

  private readonly history: WatchBatch[] = [];

  private readonly observers = new Set<(batch: WatchBatch) => void>();

  private readonly decisions = new WeakMap<Transaction, boolean>();

  private revision = 1;

  private leaseCount = FIRST_LEASE_IDENTIFIER;

  private cancelExpiry: () => void = () => {};

  constructor(clock: Clock) {
    this.clock = clock;
  }

  range(key: string, prefix = false): RangeResult {
    this.expireLeases();
    return { revision: this.revision, values: this.find(key, prefix) };
  }

  /** Applies a transaction. Throws `invalid-request`, and applies nothing, where etcd refuses it. */
  commit(transaction: Transaction): TransactionResult {
    this.expireLeases();
    checkSizes(transaction);
    putKeys(transaction.success);
    putKeys(transaction.failure);
    this.decide(transaction);
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
    this.scheduleExpiry();
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
    this.scheduleExpiry();
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
        this.tally.count(FaultKind.ExpiredLease);
        this.revokeLease(identifier);
      }
    }
  }

  /** Stops the timer that expires leases. */
  close(): void {
    this.cancelExpiry();
  }

  /** Expires leases when they run out, so that watches see it without another call. */
  private scheduleExpiry(): void {
    this.cancelExpiry();
    const expiries = [...this.leases.values()].map((lease) => lease.expiryMilliseconds);
    if (expiries.length === 0) {
      return;
    }
    const delay = Math.min(...expiries) - this.clock.monotonicMilliseconds();
    this.cancelExpiry = this.clock.schedule(Math.max(0, delay), () => {
      this.expireLeases();
      this.scheduleExpiry();
    });
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

  /**
   * Evaluates all comparisons, nested ones included, before anything is applied, as etcd does, and
   * checks the leases of the branches that are taken.
   */
  private decide(transaction: Transaction): void {
    const succeeded = transaction.compare.every((comparison) => this.holds(comparison));
    this.decisions.set(transaction, succeeded);
    for (const operation of succeeded ? transaction.success : transaction.failure) {
      if (operation.type === 'transaction') {
        this.decide(operation.transaction);
      } else if (operation.type === 'put' && operation.lease !== undefined) {
        if (!this.leases.has(operation.lease)) {
          throw refused('lease', 'requested lease not found');
        }
      }
    }
  }

  private apply(
    transaction: Transaction,
    events: WatchEvent[],
    newRevision: number,
  ): TransactionResult {
    const succeeded = this.decisions.get(transaction) === true;
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
