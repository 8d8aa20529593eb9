/** A stored value with the revisions that comparisons refer to. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Number of writes since the key was created. */
  readonly version: number;
  /** Identifier of the lease that the key is attached to, if any. */
  readonly lease?: string;
}

/** What a comparison looks at. */
export const CompareTarget = {
  CreateRevision: 'create-revision',
  ModRevision: 'mod-revision',
  Version: 'version',
  Value: 'value',
} as const;

export type CompareTarget = (typeof CompareTarget)[keyof typeof CompareTarget];

/** One condition of a transaction: the target must equal the operand. */
export type Comparison =
  | { readonly key: string; readonly target: 'create-revision'; readonly operand: number }
  | { readonly key: string; readonly target: 'mod-revision'; readonly operand: number }
  | { readonly key: string; readonly target: 'version'; readonly operand: number }
  | { readonly key: string; readonly target: 'value'; readonly operand: string };

/** One step of a transaction. A prefix range or delete covers all keys that start with `key`. */
export type Operation =
  | { readonly type: 'put'; readonly key: string; readonly value: string; readonly lease?: string }
  | { readonly type: 'delete'; readonly key: string; readonly prefix?: boolean }
  | { readonly type: 'range'; readonly key: string; readonly prefix?: boolean }
  | { readonly type: 'transaction'; readonly transaction: Transaction };

/** Applies `success` if all comparisons hold, else `failure`, in one atomic step. */
export interface Transaction {
  readonly compare: readonly Comparison[];
  readonly success: readonly Operation[];
  readonly failure: readonly Operation[];
}

/** The answer to one operation. */
export type OperationResult =
  | { readonly type: 'put' }
  | { readonly type: 'delete'; readonly deleted: number }
  | { readonly type: 'range'; readonly values: readonly KeyValue[] }
  | { readonly type: 'transaction'; readonly result: TransactionResult };

/** The answer to a transaction. */
export interface TransactionResult {
  readonly succeeded: boolean;
  /** Revision of the store after the transaction. */
  readonly revision: number;
  readonly results: readonly OperationResult[];
}

/** The values of a range and the revision of the store at which they were read. */
export interface RangeResult {
  readonly revision: number;
  readonly values: readonly KeyValue[];
}

/** A granted lease. */
export interface LeaseGrant {
  readonly identifier: string;
  readonly timeToLiveSeconds: number;
}

/** One change seen by a watch. */
export type WatchEvent =
  | { readonly type: 'put'; readonly value: KeyValue }
  | { readonly type: 'delete'; readonly key: string; readonly modRevision: number };

/** Changes of one revision or more, in order. */
export interface WatchBatch {
  readonly revision: number;
  readonly events: readonly WatchEvent[];
}

/**
 * The platform's key-value service. Every method throws `platform-unavailable` when no answer
 * arrives; `mayHaveTakenEffect` then tells whether a write must be resolved by a read. An override
 * never repeats a write by itself.
 */
export abstract class KeyValueStore {
  /** Reads one key, or all keys that start with it. Linearizable. */
  abstract range(key: string, options?: { prefix?: boolean }): Promise<RangeResult>;

  abstract commit(transaction: Transaction): Promise<TransactionResult>;

  abstract grantLease(timeToLiveSeconds: number): Promise<LeaseGrant>;

  /** Renews a lease. Returns its new time to live in seconds, 0 if it has expired. */
  abstract keepLeaseAlive(identifier: string): Promise<number>;

  abstract revokeLease(identifier: string): Promise<void>;

  /**
   * Yields changes of keys that start with the prefix, from the revision on, until the signal
   * aborts. Throws when the watch breaks. A watch can go silent, so users also read periodically.
   */
  abstract watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void>;

  /** Reads one key; undefined if it is absent. */
  async get(key: string): Promise<KeyValue | undefined> {
    const { values } = await this.range(key);
    return values[0];
  }
}
