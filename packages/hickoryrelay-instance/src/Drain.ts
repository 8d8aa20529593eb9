import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { ExchangeTable } from './ExchangeTable.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { Settings } from 'hickoryrelay-contract/Settings';

const MILLISECONDS_PER_SECOND = 1000;

/** Steps of a graceful shutdown. */
export const DrainPhase = {
  /** Takes all work. */
  Open: 'open',
  /** Reports itself as not ready and still takes work, since balancers learn of it late. */
  Announcing: 'announcing',
  /** Refuses new work as not run and finishes what runs. */
  Closed: 'closed',
} as const;

export type DrainPhase = (typeof DrainPhase)[keyof typeof DrainPhase];

/** The graceful shutdown of an instance. */
export class Drain {
  private readonly limits: Settings['drain'];

  private readonly exchanges: ExchangeTable;

  private readonly clock: Clock;

  private readonly log: PartLogger;

  private readonly haste = new AbortController();

  private current: DrainPhase = DrainPhase.Open;

  constructor(limits: Settings['drain'], exchanges: ExchangeTable, clock: Clock, log: PartLogger) {
    this.limits = limits;
    this.exchanges = exchanges;
    this.clock = clock;
    this.log = log;
  }

  get phase(): DrainPhase {
    return this.current;
  }

  /**
   * Announces, closes and waits until all calls have ended, or until the deadline or `hurry`.
   * Returns the request identifiers of calls that were cut off then.
   */
  async run(): Promise<readonly string[]> {
    const deadline =
      this.clock.monotonicMilliseconds() + this.limits.deadlineSeconds * MILLISECONDS_PER_SECOND;
    this.current = DrainPhase.Announcing;
    await this.sleep(this.limits.announceSeconds * MILLISECONDS_PER_SECOND);
    this.current = DrainPhase.Closed;
    this.log.info('Takes no new work.', { callsInFlight: this.exchanges.size });
    await Promise.race([
      this.exchanges.whenEmpty(),
      this.sleep(Math.max(0, deadline - this.clock.monotonicMilliseconds())),
    ]);
    const lost = this.exchanges.requestIdentifiers;
    for (const requestIdentifier of lost) {
      this.log.error('Cut off a call at the shutdown deadline.', { requestIdentifier });
    }
    this.exchanges.cancelWhere(() => new RelayError({ kind: FailureKind.ShuttingDown }));
    await this.exchanges.whenEmpty();
    this.haste.abort();
    return lost;
  }

  /** Ends the drain at once. */
  hurry(): void {
    this.haste.abort();
  }

  private async sleep(milliseconds: number): Promise<void> {
    try {
      await this.clock.sleep(milliseconds, this.haste.signal);
    } catch {
      // The drain was hurried or has ended; the caller goes on with the next step.
    }
  }
}
