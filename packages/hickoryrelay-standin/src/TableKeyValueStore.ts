import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import { StoreEra } from 'hickoryrelay-platform/StoreEra';

import type { KeyValueTable } from './KeyValueTable.js';
import type { Clock } from 'hickoryrelay/Clock';
import type {
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from 'hickoryrelay-platform/KeyValueStore';
import type { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

/**
 * Key-value client of one simulated process, backed by a shared in-memory table. Subclasses add the
 * delays and faults of the connection to the service.
 */
export abstract class TableKeyValueStore extends KeyValueStore {
  override readonly era: StoreEra;

  private readonly table: KeyValueTable;

  private readonly breakCallbacks = new Set<() => void>();

  constructor(table: KeyValueTable, clock: Clock) {
    super();
    this.table = table;
    this.era = new StoreEra(clock);
  }

  override range(key: string, options: { prefix?: boolean } = {}): Promise<RangeResult> {
    return this.read(() => this.table.range(key, options.prefix === true));
  }

  override commit(transaction: Transaction): Promise<TransactionResult> {
    return this.write(() => this.table.commit(transaction));
  }

  override grantLease(timeToLiveSeconds: number): Promise<LeaseGrant> {
    return this.write(() => this.table.grantLease(timeToLiveSeconds));
  }

  override keepLeaseAlive(identifier: string): Promise<number> {
    return this.write(() => this.table.keepLeaseAlive(identifier));
  }

  override revokeLease(identifier: string): Promise<void> {
    return this.write(() => this.table.revokeLease(identifier));
  }

  /** Ends all open watches with an error, as a restart of the service does. */
  breakWatches(): void {
    [...this.breakCallbacks].forEach((breakWatch) => breakWatch());
  }

  override async *watch(
    prefix: string,
    fromRevision: StoreRevision,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void> {
    const pending = [
      ...(await this.read(() =>
        fromRevision.number > 0 ? this.table.changesSince(fromRevision) : [],
      )),
    ];
    let isBroken = false;
    let wake = () => {};
    const nextChange = () =>
      new Promise<void>((resolve) => {
        wake = resolve;
      });
    const onBreak = () => {
      isBroken = true;
      wake();
    };
    const onAbort = () => wake();
    const unsubscribe = this.table.subscribe((batch) => {
      // A watch from a future revision delivers nothing until the service reaches it.
      if (batch.revision.number >= fromRevision.number) {
        this.deliver(() => {
          pending.push(batch);
          wake();
        });
      }
    });
    const unsubscribeRestore = this.table.onRestore(onBreak);
    signal.addEventListener('abort', onAbort, { once: true });
    this.breakCallbacks.add(onBreak);
    try {
      while (!isBroken && !signal.aborted) {
        const batch = pending.shift();
        if (batch === undefined) {
          await nextChange();
        } else {
          const events = batch.events.filter((event) =>
            (event.type === 'put' ? event.value.key : event.key).startsWith(prefix),
          );
          if (events.length > 0) {
            yield { revision: batch.revision, events };
          }
        }
      }
    } finally {
      unsubscribe();
      unsubscribeRestore();
      this.breakCallbacks.delete(onBreak);
      signal.removeEventListener('abort', onAbort);
    }
    if (isBroken) {
      throw this.createWatchError();
    }
  }

  /** Performs a call that changes nothing. Throws `platform-unavailable`. */
  protected abstract read<Answer>(effect: () => Answer): Promise<Answer>;

  /** Performs a call that may take effect without a response. Throws `platform-unavailable`. */
  protected abstract write<Answer>(effect: () => Answer): Promise<Answer>;

  /** Delivers one batch of a watch: runs the action on arrival, or never if the batch is lost. */
  protected abstract deliver(arrive: () => void): void;

  /** Creates the error thrown by a watch that was broken. */
  protected abstract createWatchError(): Error;
}
