import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { Clock } from 'hickoryrelay/Clock';
import type {
  KeyValueStore,
  Transaction,
  TransactionResult,
} from 'hickoryrelay-platform/KeyValueStore';

/** etcd accepts 128 operations per transaction by default; each write of a batch is one. */
const MAX_BATCH_WRITES = 100;

/** etcd accepts requests of up to 1.5 MB by default; the gateway's base64 adds a third. */
const MAX_BATCH_BYTES = 500_000;

/** A conditional write to one key. */
export interface BatchedWrite {
  readonly key: string;
  readonly transaction: Transaction;
}

interface PendingWrite {
  readonly write: BatchedWrite;
  readonly resolve: (result: TransactionResult) => void;
  readonly reject: (error: unknown) => void;
}

function sizeOf({ transaction }: BatchedWrite): number {
  return transaction.success.reduce(
    (sum, operation) => sum + (operation.type === 'put' ? operation.value.length : 0),
    0,
  );
}

/**
 * Combines conditional writes into a transaction of nested transactions, which counts as one write
 * to the service. Writes are queued while a batch is in flight, or else for the batch delay.
 */
export class WriteBatcher {
  private readonly store: KeyValueStore;

  private readonly clock: Clock;

  private readonly batchDelayMilliseconds: number;

  private waiting: PendingWrite[] = [];

  private isRunning = false;

  constructor(store: KeyValueStore, clock: Clock, batchDelayMilliseconds: number) {
    this.store = store;
    this.clock = clock;
    this.batchDelayMilliseconds = batchDelayMilliseconds;
  }

  /** Commits a write as part of a batch. Throws `platform-unavailable` if no response arrives. */
  commit(write: BatchedWrite): Promise<TransactionResult> {
    return new Promise((resolve, reject) => {
      this.waiting.push({ write, resolve, reject });
      if (!this.isRunning) {
        this.isRunning = true;
        void this.run();
      }
    });
  }

  private async run(): Promise<void> {
    await this.clock.sleep(this.batchDelayMilliseconds);
    while (this.waiting.length > 0) {
      await this.commitBatch(this.takeBatch());
    }
    this.isRunning = false;
  }

  /** A key occurs once in a batch, because etcd rejects a transaction that puts a key twice. */
  private takeBatch(): readonly PendingWrite[] {
    const batch: PendingWrite[] = [];
    const deferred: PendingWrite[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    for (const pending of this.waiting) {
      const isFull = batch.length >= MAX_BATCH_WRITES || bytes >= MAX_BATCH_BYTES;
      if (isFull || keys.has(pending.write.key)) {
        deferred.push(pending);
      } else {
        batch.push(pending);
        bytes += sizeOf(pending.write);
      }
      keys.add(pending.write.key);
    }
    this.waiting = deferred;
    return batch;
  }

  private async commitBatch(batch: readonly PendingWrite[]): Promise<void> {
    try {
      const { results } = await this.store.commit({
        compare: [],
        success: batch.map(({ write }) => ({
          type: 'transaction',
          transaction: write.transaction,
        })),
        failure: [],
      });
      batch.forEach(({ resolve, reject }, index) => {
        const result = results[index];
        if (result?.type === 'transaction') {
          resolve(result.result);
        } else {
          const reason = `no result for write ${index} of a batch`;
          const peer = 'key-value service';
          reject(new RelayError({ kind: FailureKind.ProtocolViolation, peer, reason }));
        }
      });
    } catch (error) {
      batch.forEach(({ reject }) => reject(error));
    }
  }
}
