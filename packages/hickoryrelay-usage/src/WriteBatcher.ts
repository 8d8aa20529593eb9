import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { Clock } from 'hickoryrelay/Clock';
import type {
  KeyValueStore,
  Transaction,
  TransactionResult,
} from 'hickoryrelay-platform/KeyValueStore';

/** etcd accepts 128 operations in a transaction by default; each entry is one. */
const LARGEST_BATCH = 100;

/** etcd accepts requests up to 1.5 MB by default; the gateway's base64 adds a third. */
const LARGEST_BATCH_BYTES = 500_000;

/** One conditional write of one key. */
export interface BatchedWrite {
  readonly key: string;
  readonly transaction: Transaction;
}

interface Waiting {
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
 * Gathers conditional writes into transactions of nested transactions, which count as one write
 * each. Writes gather while one is in flight, or for the gather time.
 */
export class WriteBatcher {
  private readonly store: KeyValueStore;

  private readonly clock: Clock;

  private readonly gatherMilliseconds: number;

  private waiting: Waiting[] = [];

  private isRunning = false;

  constructor(store: KeyValueStore, clock: Clock, gatherMilliseconds: number) {
    this.store = store;
    this.clock = clock;
    this.gatherMilliseconds = gatherMilliseconds;
  }

  /** Commits a write with others. Throws `platform-unavailable` if no answer arrives. */
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
    await this.clock.sleep(this.gatherMilliseconds);
    while (this.waiting.length > 0) {
      await this.commitBatch(this.takeBatch());
    }
    this.isRunning = false;
  }

  /** A key occurs once in a batch, because etcd refuses a transaction that puts a key twice. */
  private takeBatch(): readonly Waiting[] {
    const batch: Waiting[] = [];
    const rest: Waiting[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    for (const each of this.waiting) {
      const isFull = batch.length >= LARGEST_BATCH || bytes >= LARGEST_BATCH_BYTES;
      if (isFull || keys.has(each.write.key)) {
        rest.push(each);
      } else {
        batch.push(each);
        bytes += sizeOf(each.write);
      }
      keys.add(each.write.key);
    }
    this.waiting = rest;
    return batch;
  }

  private async commitBatch(batch: readonly Waiting[]): Promise<void> {
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
