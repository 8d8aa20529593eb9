import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import { StoreEra } from 'hickoryrelay-platform/StoreEra';
import { comparesRevisions, refuseOtherEras } from 'hickoryrelay-platform/TransactionUtils';

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

/** Above all identifiers that a table assigns. */
const FIRST_CHOSEN_LEASE = 1_000_000;

let grantedLeases = 0;

/** The answer to a call and the era in which the call took effect. */
interface Stated<Answer> {
  readonly answer: Answer;
  readonly era: number;
}

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
    return this.observed(
      (effect) => this.read(effect),
      () => this.table.range(key, options.prefix === true),
    );
  }

  override async commit(transaction: Transaction): Promise<TransactionResult> {
    const requestEra = this.era.current;
    const compared =
      requestEra === undefined ? transaction : refuseOtherEras(transaction, requestEra);
    const result = await this.observedWrite(() => this.table.commit(compared));
    const isRestored = requestEra !== undefined && requestEra !== result.revision.era;
    if (isRestored && comparesRevisions(transaction)) {
      throw this.createRestoreError();
    }
    return result;
  }

  override async grantLease(timeToLiveSeconds: number): Promise<LeaseGrant> {
    grantedLeases += 1;
    const identifier = String(FIRST_CHOSEN_LEASE + grantedLeases);
    return this.observedWrite(() => this.table.grantLease(timeToLiveSeconds, identifier));
  }

  override keepLeaseAlive(identifier: string): Promise<number> {
    return this.observedWrite(() => this.table.keepLeaseAlive(identifier));
  }

  override revokeLease(identifier: string): Promise<void> {
    return this.observedWrite(() => this.table.revokeLease(identifier));
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
    const pending = await this.observed(
      (effect) => this.read(effect),
      () => (fromRevision.number > 0 ? this.table.changesSince(fromRevision) : []),
    );
    if (fromRevision.number > 0 && fromRevision.era !== this.table.currentRevision.era) {
      const reason = 'the service has been restored from an older copy';
      const peer = 'key-value service';
      throw new RelayError({ kind: FailureKind.ProtocolViolation, peer, reason });
    }
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

  private observedWrite<Answer>(effect: () => Answer): Promise<Answer> {
    return this.observed((stated) => this.write(stated), effect);
  }

  /** Performs a call and records the era in which it took effect. */
  private async observed<Answer>(
    perform: (effect: () => Stated<Answer>) => Promise<Stated<Answer>>,
    effect: () => Answer,
  ): Promise<Answer> {
    const { answer, era } = await perform(() => ({
      answer: effect(),
      era: this.table.currentRevision.era,
    }));
    if (!this.era.observe(era)) {
      throw this.createRestoreError();
    }
    return answer;
  }

  private createRestoreError(): RelayError {
    return new RelayError({
      kind: FailureKind.PlatformUnavailable,
      service: 'key-value service',
      reason: 'the service was restored during the call',
      mayHaveTakenEffect: true,
    });
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
