import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

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
const INITIAL_LEASE_IDENTIFIER = 1000;
const INITIAL_CLUSTER_IDENTIFIER = 14_841_639;
const INITIAL_RAFT_TERM = 2;

/** etcd's default limit for each operation list of a transaction. */
const MAXIMUM_OPERATIONS = 128;

/** State of a key-value service at one moment, as a snapshot holds it. */
export interface KeyValueTableCopy {
  readonly clusterIdentifier: number;
  readonly raftTerm: number;
  readonly revision: StoreRevision;
  readonly lastLeaseIdentifier: number;
  readonly values: readonly KeyValue[];
  readonly history: readonly WatchBatch[];
}

/** How a copy is restored. */
export interface RestoreOptions {
  /**
   * If true, the cluster keeps its identifier, as when the data directory of a single member is
   * restored. A restored snapshot makes a new cluster otherwise.
   */
  readonly keepsClusterIdentifier?: boolean;
}

function createInvalidRequestError(field: string, reason: string): RelayError {
  return new RelayError({ kind: FailureKind.InvalidRequest, field, reason });
}

/** Returns the keys that a list of operations may put. Throws on a duplicate key, as etcd does. */
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
        throw createInvalidRequestError('key', 'duplicate key given in txn request');
      }
      keys.add(key);
    }
  }
  return keys;
}

function checkSizes({ compare, success, failure }: Transaction): void {
  if ([compare, success, failure].some((list) => list.length > MAXIMUM_OPERATIONS)) {
    throw createInvalidRequestError('operations', 'too many operations in txn request');
  }
  for (const operation of [...success, ...failure]) {
    if (operation.type === 'transaction') {
      checkSizes(operation.transaction);
    }
  }
}

/** In-memory state of a key-value service: values, revisions, leases and the change history. */
export class KeyValueTable {
  /** Counts the injected faults that took effect. */
  tally = new FaultTally();

  private readonly clock: Clock;

  private readonly values = new Map<string, KeyValue>();

  private readonly leases = new Map<string, Lease>();

  private history: WatchBatch[] = [];

  private readonly restoreObservers = new Set<() => void>();

  private readonly observers = new Set<(batch: WatchBatch) => void>();

  private readonly comparisonResults = new WeakMap<Transaction, boolean>();

  private revision = new StoreRevision(0, 1);

  private lastLeaseIdentifier = INITIAL_LEASE_IDENTIFIER;

  private clusterNumber = INITIAL_CLUSTER_IDENTIFIER;

  private lastClusterNumber = INITIAL_CLUSTER_IDENTIFIER;

  private term = INITIAL_RAFT_TERM;

  private cancelExpiry: () => void = () => {};

  constructor(clock: Clock) {
    this.clock = clock;
  }

  get clusterIdentifier(): string {
    return String(this.clusterNumber);
  }

  /** Identifier of the only member. A member of a new cluster has a new identifier. */
  get memberIdentifier(): string {
    return `1${this.clusterNumber}`;
  }

  get raftTerm(): number {
    return this.term;
  }

  get currentRevision(): StoreRevision {
    return this.revision;
  }

  /** Starts a new raft term, as the election of a leader does. */
  electLeader(): void {
    this.term += 1;
  }

  copy(): KeyValueTableCopy {
    this.expireLeases();
    return {
      clusterIdentifier: this.clusterNumber,
      raftTerm: this.term,
      revision: this.revision,
      lastLeaseIdentifier: this.lastLeaseIdentifier,
      values: [...this.values.values()],
      history: [...this.history],
    };
  }

  /**
   * Returns to the state of a copy. All leases and the keys attached to them are gone, revisions and
   * lease identifiers are given out again, and open watches break.
   */
  restore(copy: KeyValueTableCopy, { keepsClusterIdentifier = false }: RestoreOptions = {}): void {
    const era = this.revision.era + 1;
    const restored = ({ number }: StoreRevision) => new StoreRevision(era, number);
    this.revision = restored(copy.revision);
    this.lastLeaseIdentifier = copy.lastLeaseIdentifier;
    this.leases.clear();
    this.scheduleExpiry();
    this.values.clear();
    for (const value of copy.values.filter(({ lease }) => lease === undefined)) {
      this.values.set(value.key, {
        ...value,
        createRevision: restored(value.createRevision),
        modRevision: restored(value.modRevision),
      });
    }
    this.history = [...copy.history];
    if (keepsClusterIdentifier) {
      this.clusterNumber = copy.clusterIdentifier;
      this.term = copy.raftTerm + 1;
    } else {
      this.lastClusterNumber += 1;
      this.clusterNumber = this.lastClusterNumber;
      this.term = INITIAL_RAFT_TERM;
    }
    [...this.restoreObservers].forEach((observer) => observer());
  }

  /** Calls the observer after each restore. Returns the function that unsubscribes it. */
  onRestore(observer: () => void): () => void {
    this.restoreObservers.add(observer);
    return () => this.restoreObservers.delete(observer);
  }

  range(key: string, prefix = false): RangeResult {
    this.expireLeases();
    return { revision: this.revision, values: this.find(key, prefix) };
  }

  /** Applies a transaction. Throws `invalid-request` and applies nothing if etcd would refuse it. */
  commit(transaction: Transaction): TransactionResult {
    this.expireLeases();
    checkSizes(transaction);
    putKeys(transaction.success);
    putKeys(transaction.failure);
    this.evaluateComparisons(transaction);
    const events: WatchEvent[] = [];
    const result = this.apply(transaction, events, this.revision.next);
    this.record(events);
    return { ...result, revision: this.revision };
  }

  /**
   * Grants a lease with the identifier that the client has chosen, or else with the next one. Throws
   * `invalid-request` if a lease has the identifier.
   */
  grantLease(timeToLiveSeconds: number, chosenIdentifier?: string): LeaseGrant {
    if (chosenIdentifier !== undefined && this.leases.has(chosenIdentifier)) {
      throw createInvalidRequestError('lease', 'lease already exists');
    }
    this.lastLeaseIdentifier += chosenIdentifier === undefined ? 1 : 0;
    const identifier = chosenIdentifier ?? String(this.lastLeaseIdentifier);
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
        this.remove(key, events, this.revision.next);
      }
    }
    this.record(events);
  }

  /** Returns the changes from the given revision on. */
  changesSince(revision: StoreRevision): WatchBatch[] {
    this.expireLeases();
    return this.history.filter((batch) => batch.revision.number >= revision.number);
  }

  /** Calls the observer on each change. Returns the function that unsubscribes it. */
  subscribe(observer: (batch: WatchBatch) => void): () => void {
    this.observers.add(observer);
    return () => {
      this.observers.delete(observer);
    };
  }

  /** Removes expired leases and their keys. */
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

  /** Schedules the next lease expiry, so that watches see it without another call. */
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
   * Evaluates all comparisons, including nested ones, before anything is applied, as etcd does. Also
   * checks that the leases in the selected branches exist.
   */
  private evaluateComparisons(transaction: Transaction): void {
    const succeeded = transaction.compare.every((comparison) => this.isSatisfied(comparison));
    this.comparisonResults.set(transaction, succeeded);
    for (const operation of succeeded ? transaction.success : transaction.failure) {
      if (operation.type === 'transaction') {
        this.evaluateComparisons(operation.transaction);
      } else if (operation.type === 'put' && operation.lease !== undefined) {
        if (!this.leases.has(operation.lease)) {
          throw createInvalidRequestError('lease', 'requested lease not found');
        }
      }
    }
  }

  private apply(
    transaction: Transaction,
    events: WatchEvent[],
    newRevision: StoreRevision,
  ): TransactionResult {
    const succeeded = this.comparisonResults.get(transaction) === true;
    const operations = succeeded ? transaction.success : transaction.failure;
    const results = operations.map((operation) =>
      this.applyOperation(operation, events, newRevision),
    );
    return { succeeded, revision: newRevision, results };
  }

  private isSatisfied(comparison: Comparison): boolean {
    const value = this.values.get(comparison.key);
    switch (comparison.target) {
      case 'create-revision':
        return (value?.createRevision ?? StoreRevision.None).number === comparison.operand.number;
      case 'mod-revision':
        return (value?.modRevision ?? StoreRevision.None).number === comparison.operand.number;
      case 'version':
        return (value?.version ?? 0) === comparison.operand;
      default:
        return value?.value === comparison.operand;
    }
  }

  private applyOperation(
    operation: Operation,
    events: WatchEvent[],
    newRevision: StoreRevision,
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
    newRevision: StoreRevision,
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

  private remove(key: string, events: WatchEvent[], newRevision: StoreRevision): void {
    if (this.values.delete(key)) {
      events.push({ type: 'delete', key, modRevision: newRevision });
    }
  }

  private record(events: readonly WatchEvent[]): void {
    if (events.length === 0) {
      return;
    }
    this.revision = this.revision.next;
    const batch = { revision: this.revision, events };
    this.history.push(batch);
    this.observers.forEach((observer) => observer(batch));
  }
}
