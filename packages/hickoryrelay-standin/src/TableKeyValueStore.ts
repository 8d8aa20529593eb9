import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

import type { KeyValueTable } from './KeyValueTable.js';
import type {
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from 'hickoryrelay-platform/KeyValueStore';

/**
 * The key-value service as one simulated process sees it: a shared table without sockets. An override
 * adds the delays and faults of the way to it.
 */
export abstract class TableKeyValueStore extends KeyValueStore {
  private readonly table: KeyValueTable;

  private readonly breaks = new Set<() => void>();

  constructor(table: KeyValueTable) {
    super();
    this.table = table;
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

  /** Breaks all open watches, as a restart of the service does. */
  breakWatches(): void {
    [...this.breaks].forEach((breakWatch) => breakWatch());
  }

  override async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void> {
    const pending = [
      ...(await this.read(() => (fromRevision > 0 ? this.table.changesSince(fromRevision) : []))),
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
      this.deliver(() => {
        pending.push(batch);
        wake();
      });
    });
    signal.addEventListener('abort', onAbort, { once: true });
    this.breaks.add(onBreak);
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
      this.breaks.delete(onBreak);
      signal.removeEventListener('abort', onAbort);
    }
    if (isBroken) {
      throw this.brokenWatch();
    }
  }

  /** Carries a call that has no effect. Throws `platform-unavailable`. */
  protected abstract read<Answer>(effect: () => Answer): Promise<Answer>;

  /** Carries a call whose effect may come without an answer. Throws `platform-unavailable`. */
  protected abstract write<Answer>(effect: () => Answer): Promise<Answer>;

  /** Carries one batch of a watch: runs the action when it arrives, or never. */
  protected abstract deliver(arrive: () => void): void;

  /** The error of a watch that was broken. */
  protected abstract brokenWatch(): Error;
}
