import { FailureKind, describeFailure } from 'hickoryrelay/Failure';
import { RelayError, failureOf } from 'hickoryrelay/RelayError';

import { FaultKind } from './FaultTally.js';
import { InProcessExchange } from './InProcessExchange.js';
import { TableKeyValueStore } from './TableKeyValueStore.js';

import type { NoAnswer } from './InProcessExchange.js';
import type { KeyValueTable } from './KeyValueTable.js';
import type { ProcessClock } from './ProcessClock.js';
import type { Clock } from 'hickoryrelay/Clock';

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
export class InProcessKeyValueStore extends TableKeyValueStore {
  readonly exchange: InProcessExchange;

  silencesWatches = false;

  /** If true, renewals of leases are refused while other calls pass. */
  refusesRenewals = false;

  private readonly process: ProcessClock;

  constructor(table: KeyValueTable, network: Clock, process: ProcessClock) {
    super(table);
    this.process = process;
    this.exchange = new InProcessExchange(network, process);
  }

  override keepLeaseAlive(identifier: string): Promise<number> {
    if (this.refusesRenewals) {
      this.exchange.tally.count(FaultKind.RefusedRenewal);
      return Promise.reject(unavailable({ reason: 'refused', mayHaveTakenEffect: false }));
    }
    return super.keepLeaseAlive(identifier);
  }

  protected override read<Answer>(effect: () => Answer): Promise<Answer> {
    return this.write(effect);
  }

  protected override async write<Answer>(effect: () => Answer): Promise<Answer> {
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

  protected override deliver(arrive: () => void): void {
    if (!this.silencesWatches) {
      void this.process.arrive().then(arrive);
    }
  }

  protected override brokenWatch(): Error {
    return unavailable({ reason: 'the watch broke', mayHaveTakenEffect: false });
  }
}
