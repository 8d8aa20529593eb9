import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { ExchangeTable } from './ExchangeTable.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Settings } from 'hickoryrelay-contract/Settings';

const MILLISECONDS_PER_SECOND = 1000;

/** Phases of a graceful shutdown. */
export const DrainPhase = {
  /** Accepts all calls. */
  Open: 'open',
  /** Not ready, but still accepts calls, since load balancers notice with a delay. */
  Announcing: 'announcing',
  /** Refuses new calls as not run and completes the calls in flight. */
  Closed: 'closed',
} as const;

export type DrainPhase = (typeof DrainPhase)[keyof typeof DrainPhase];

/** Shuts an instance down gracefully: it completes the calls in flight before the process ends. */
export class Drain {
  private readonly limits: Settings['drain'];

  private readonly exchanges: ExchangeTable;

  private readonly clock: Clock;

  private readonly log: ComponentLogger;

  private readonly waitAbort = new AbortController();

  private current: DrainPhase = DrainPhase.Open;

  constructor(
    limits: Settings['drain'],
    exchanges: ExchangeTable,
    clock: Clock,
    log: ComponentLogger,
  ) {
    this.limits = limits;
    this.exchanges = exchanges;
    this.clock = clock;
    this.log = log;
  }

  get phase(): DrainPhase {
    return this.current;
  }

  /**
   * Runs through the phases and waits until all calls have ended, or until the deadline or `force`.
   * Calls that still run then are cancelled; returns their request identifiers.
   */
  async run(): Promise<readonly string[]> {
    const deadlineMilliseconds =
      this.clock.monotonicMilliseconds() + this.limits.deadlineSeconds * MILLISECONDS_PER_SECOND;
    this.current = DrainPhase.Announcing;
    await this.sleep(this.limits.announceSeconds * MILLISECONDS_PER_SECOND);
    this.current = DrainPhase.Closed;
    this.log.info('Draining; new calls are refused.', { callsInFlight: this.exchanges.size });
    await Promise.race([
      this.exchanges.whenEmpty(),
      this.sleep(Math.max(0, deadlineMilliseconds - this.clock.monotonicMilliseconds())),
    ]);
    const cutOffIdentifiers = this.exchanges.requestIdentifiers;
    for (const requestIdentifier of cutOffIdentifiers) {
      this.log.error('Cut off a call that was still running at shutdown.', { requestIdentifier });
    }
    this.exchanges.cancelWhere(() => new RelayError({ kind: FailureKind.ShuttingDown }));
    await this.exchanges.whenEmpty();
    this.waitAbort.abort();
    return cutOffIdentifiers;
  }

  /** Skips all remaining waits, so that the calls in flight are cancelled immediately. */
  force(): void {
    this.waitAbort.abort();
  }

  private async sleep(milliseconds: number): Promise<void> {
    try {
      await this.clock.sleep(milliseconds, this.waitAbort.signal);
    } catch {
      // The drain was forced or is complete, so the caller continues with the next phase.
    }
  }
}
