import { FailureKind, describeFailure } from 'hickoryrelay/Failure';
import { RelayError, failureOf } from 'hickoryrelay/RelayError';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

import { FaultKind } from './FaultTally.js';
import { InProcessExchange } from './InProcessExchange.js';

import type { NoAnswer } from './InProcessExchange.js';
import type { KeyValueTable } from './KeyValueTable.js';
import type { ProcessClock } from './ProcessClock.js';
import type { Clock } from 'hickoryrelay/Clock';
import type {
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from 'hickoryrelay-platform/KeyValueStore';

function unavailable({ reason, mayHaveTakenEffect }: NoAnswer): RelayError {
  return new RelayError({
    kind: FailureKind.PlatformUnavailable,
    service: 'key-value service',
    reason,
    mayHaveTakenEffect,
  });
}

/**
 * The way of one simulated process to a shared table, without sockets, for models by `ManualClock`.
 * Its faults: `exchange.faults.standing = Fault.Refuse` is an outage, `LoseAnswer` loses the answer
 * after the effect, the delays of the exchange make it slow, `silencesWatches` keeps watches open
 * without events, and `table.revokeLease` lets a lease lapse.
 */
export class InProcessKeyValueStore extends KeyValueStore {
  readonly exchange: InProcessExchange;

  silencesWatches = false;

  /** If true, renewals of leases are refused while other calls pass. */
  refusesRenewals = false;

  private readonly table: KeyValueTable;

  private readonly process: ProcessClock;

  private readonly breaks = new Set<() => void>();

  constructor(table: KeyValueTable, network: Clock, process: ProcessClock) {
    super();
    this.table = table;
    this.process = process;
    this.exchange = new InProcessExchange(network, process);
  }

  override range(key: string, options: { prefix?: boolean } = {}): Promise<RangeResult> {
    return this.send(() => this.table.range(key, options.prefix === true));
  }

  override commit(transaction: Transaction): Promise<TransactionResult> {
    return this.send(() => this.table.commit(transaction));
  }

  override grantLease(timeToLiveSeconds: number): Promise<LeaseGrant> {
    return this.send(() => this.table.grantLease(timeToLiveSeconds));
  }

  override keepLeaseAlive(identifier: string): Promise<number> {
    if (this.refusesRenewals) {
      this.exchange.tally.count(FaultKind.RefusedRenewal);
      return Promise.reject(unavailable({ reason: 'refused', mayHaveTakenEffect: false }));
    }
    return this.send(() => this.table.keepLeaseAlive(identifier));
  }

  override revokeLease(identifier: string): Promise<void> {
    return this.send(() => this.table.revokeLease(identifier));
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
    const pending: WatchBatch[] = await this.send(() =>
      fromRevision > 0 ? this.table.changesSince(fromRevision) : [],
    );
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
    const unsubscribe = this.table.subscribe((batch) => {
      if (!this.silencesWatches) {
        pending.push(batch);
        wake();
      }
    });
    signal.addEventListener('abort', onBreak, { once: true });
    this.breaks.add(onBreak);
    try {
      while (!isBroken && !signal.aborted) {
        const batch = pending.shift();
        if (batch === undefined) {
          await nextChange();
          await this.process.arrive();
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
      signal.removeEventListener('abort', onBreak);
    }
    throw unavailable({ reason: 'the watch broke', mayHaveTakenEffect: false });
  }

  private async send<Answer>(effect: () => Answer): Promise<Answer> {
    try {
      return await this.exchange.send(effect, unavailable);
    } catch (error) {
      const failure = failureOf(error);
      if (failure.kind === FailureKind.InvalidRequest) {
        throw unavailable({ reason: describeFailure(failure), mayHaveTakenEffect: false });
      }
      throw error;
    }
  }
}
