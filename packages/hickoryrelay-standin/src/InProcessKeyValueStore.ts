import { FailureKind, describeFailure } from 'hickoryrelay/Failure';
import { RelayError, failureOf } from 'hickoryrelay/RelayError';

import { FaultKind } from './FaultTally.js';
import { InProcessExchange } from './InProcessExchange.js';
import { TableKeyValueStore } from './TableKeyValueStore.js';

import type { ExchangeFailure } from './InProcessExchange.js';
import type { KeyValueTable } from './KeyValueTable.js';
import type { ProcessClock } from './ProcessClock.js';
import type { Clock } from 'hickoryrelay/Clock';

function createUnavailableError({ reason, mayHaveTakenEffect }: ExchangeFailure): RelayError {
  return new RelayError({
    kind: FailureKind.PlatformUnavailable,
    service: 'key-value service',
    reason,
    mayHaveTakenEffect,
  });
}

/**
 * Key-value client of one simulated process, for model tests on a `ManualClock`. Faults:
 * `exchange.faults.defaultFault = Fault.Refuse` simulates an outage, `Fault.LoseResponse` loses the
 * response after the effect, the delays of the exchange simulate a slow service, `silencesWatches`
 * keeps watches open without events, and `table.revokeLease` expires a lease.
 */
export class InProcessKeyValueStore extends TableKeyValueStore {
  readonly exchange: InProcessExchange;

  silencesWatches = false;

  /** If true, lease renewals are refused while other calls succeed. */
  refusesRenewals = false;

  private readonly process: ProcessClock;

  constructor(table: KeyValueTable, network: Clock, process: ProcessClock) {
    super(table, process);
    this.process = process;
    this.exchange = new InProcessExchange(network, process);
  }

  override keepLeaseAlive(identifier: string): Promise<number> {
    if (this.refusesRenewals) {
      this.exchange.tally.count(FaultKind.RefusedRenewal);
      return Promise.reject(
        createUnavailableError({ reason: 'refused', mayHaveTakenEffect: false }),
      );
    }
    return super.keepLeaseAlive(identifier);
  }

  protected override read<Answer>(effect: () => Answer): Promise<Answer> {
    return this.write(effect);
  }

  protected override async write<Answer>(effect: () => Answer): Promise<Answer> {
    try {
      return await this.exchange.send(effect, createUnavailableError);
    } catch (error) {
      const failure = failureOf(error);
      if (failure.kind === FailureKind.InvalidRequest) {
        throw createUnavailableError({
          reason: describeFailure(failure),
          mayHaveTakenEffect: false,
        });
      }
      throw error;
    }
  }

  protected override deliver(arrive: () => void): void {
    if (!this.silencesWatches) {
      void this.process.waitForDelivery().then(arrive);
    }
  }

  protected override createWatchError(): Error {
    return createUnavailableError({ reason: 'watch disconnected', mayHaveTakenEffect: false });
  }
}
