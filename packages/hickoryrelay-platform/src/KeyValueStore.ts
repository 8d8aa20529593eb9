import type { StoreEra } from './StoreEra.js';
import type { StoreRevision } from './StoreRevision.js';

/** A key-value pair with the revisions that transactions can compare. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: StoreRevision;
  readonly modRevision: StoreRevision;
  /** Number of writes since the key was created. */
  readonly version: number;
  /** Identifier of the lease that the key is attached to, if any. */
  readonly lease?: string;
}

/** The property of a key that a comparison checks. */
export const CompareTarget = {
  CreateRevision: 'create-revision',
  ModRevision: 'mod-revision',
  Version: 'version',
  Value: 'value',
} as const;

export type CompareTarget = (typeof CompareTarget)[keyof typeof CompareTarget];

/**
 * A condition of a transaction: the target must equal the operand. A revision of an earlier era is
 * equal to none of the current one.
 */
export type Comparison =
  | { readonly key: string; readonly target: 'create-revision'; readonly operand: StoreRevision }
  | { readonly key: string; readonly target: 'mod-revision'; readonly operand: StoreRevision }
  | { readonly key: string; readonly target: 'version'; readonly operand: number }
  | { readonly key: string; readonly target: 'value'; readonly operand: string };

/** An operation of a transaction. With `prefix`, it covers all keys that start with `key`. */
export type Operation =
  | { readonly type: 'put'; readonly key: string; readonly value: string; readonly lease?: string }
  | { readonly type: 'delete'; readonly key: string; readonly prefix?: boolean }
  | { readonly type: 'range'; readonly key: string; readonly prefix?: boolean }
  | { readonly type: 'transaction'; readonly transaction: Transaction };

/** Atomically applies `success` if all comparisons hold, otherwise `failure`. */
export interface Transaction {
  readonly compare: readonly Comparison[];
  readonly success: readonly Operation[];
  readonly failure: readonly Operation[];
}

/** The result of an operation. */
export type OperationResult =
  | { readonly type: 'put' }
  | { readonly type: 'delete'; readonly deleted: number }
  | { readonly type: 'range'; readonly values: readonly KeyValue[] }
  | { readonly type: 'transaction'; readonly result: TransactionResult };

/** The result of a transaction. */
export interface TransactionResult {
  readonly succeeded: boolean;
  /** Revision of the store after the transaction. */
  readonly revision: StoreRevision;
  readonly results: readonly OperationResult[];
}

/** The key-value pairs of a range and the store revision at which they were read. */
export interface RangeResult {
  readonly revision: StoreRevision;
  readonly values: readonly KeyValue[];
}

/** A granted lease. */
export interface LeaseGrant {
  readonly identifier: string;
  readonly timeToLiveSeconds: number;
}

/** A change reported by a watch. */
export type WatchEvent =
  | { readonly type: 'put'; readonly value: KeyValue }
  | { readonly type: 'delete'; readonly key: string; readonly modRevision: StoreRevision };

/** Ordered changes of one or more revisions. */
export interface WatchBatch {
  readonly revision: StoreRevision;
  readonly events: readonly WatchEvent[];
}

/**
 * The platform's key-value service. Every method throws `platform-unavailable` when no response
 * arrives; if `mayHaveTakenEffect` is set, the caller has to read back whether the write took
 * effect. Implementations never retry a write.
 */
export abstract class KeyValueStore {
  /** The era of the service, as stated by its responses to this client. */
  abstract get era(): StoreEra;

  /** Reads one key or, with `prefix`, all keys that start with it. Linearizable. */
  abstract range(key: string, options?: { prefix?: boolean }): Promise<RangeResult>;

  abstract commit(transaction: Transaction): Promise<TransactionResult>;

  abstract grantLease(timeToLiveSeconds: number): Promise<LeaseGrant>;

  /**
   * Renews a lease. Returns its new time to live in seconds, 0 if it has expired. Leases of an earlier
   * era have expired.
   */
  abstract keepLeaseAlive(identifier: string): Promise<number>;

  abstract revokeLease(identifier: string): Promise<void>;

  /**
   * Yields changes of keys that start with the prefix, from the given revision until the signal
   * aborts. Throws when the watch breaks, and `protocol-violation` if the changes since the revision
   * are not known because the service has been restored from an older copy. A watch can stop delivering changes without an error, so
   * callers also read periodically.
   */
  abstract watch(
    prefix: string,
    fromRevision: StoreRevision,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void>;

  /** Reads one key. Returns undefined if it is absent. */
  async get(key: string): Promise<KeyValue | undefined> {
    const { values } = await this.range(key);
    return values[0];
  }
}
