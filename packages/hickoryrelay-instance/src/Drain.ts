import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { ExchangeTable } from './ExchangeTable.js';
import type { CallerConnections } from 'hickoryrelay/CallerConnections';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Settings } from 'hickoryrelay-contract/Settings';

const MILLISECONDS_PER_SECOND = 1000;

/** How long the responses to calls that were cut off may take to be written out. */
const CUT_OFF_RESPONSE_MILLISECONDS = 500;

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

/** Constructor arguments of `Drain`. */
export interface DrainParts {
  readonly limits: Settings['drain'];
  readonly exchanges: ExchangeTable;
  /** The connections of callers. Undefined if the caller API has not been started. */
  readonly connections: () => CallerConnections | undefined;
  /** Time after which the connection of a caller that does not read its response is closed. */
  readonly stallTimeoutMilliseconds: number;
  readonly clock: Clock;
  readonly log: ComponentLogger;
}

/**
 * Shuts an instance down gracefully: it completes the calls in flight and writes out their responses
 * before the process ends.
 */
export class Drain {
  private readonly parts: DrainParts;

  private readonly waitAbort = new AbortController();

  private readonly doneAbort = new AbortController();

  private current: DrainPhase = DrainPhase.Open;

  constructor(parts: DrainParts) {
    this.parts = parts;
  }

  get phase(): DrainPhase {
    return this.current;
  }

  /**
   * Runs through the phases and waits until all calls have ended and their responses are written out,
   * or until the deadline or `force`. Calls that still run then are cancelled; returns their request
   * identifiers. No connection of a caller is open afterwards.
   */
  async run(): Promise<readonly string[]> {
    const { limits, exchanges, clock, log } = this.parts;
    const deadlineMilliseconds =
      clock.monotonicMilliseconds() + limits.deadlineSeconds * MILLISECONDS_PER_SECOND;
    this.current = DrainPhase.Announcing;
    await this.sleep(limits.announceSeconds * MILLISECONDS_PER_SECOND);
    this.current = DrainPhase.Closed;
    log.info('Draining; new calls are refused.', { callsInFlight: exchanges.size });
    await Promise.race([
      exchanges.whenEmpty().then(() => this.closeConnectionsWhenIdle()),
      this.sleep(Math.max(0, deadlineMilliseconds - clock.monotonicMilliseconds())),
    ]);
    const cutOffIdentifiers = exchanges.requestIdentifiers;
    for (const requestIdentifier of cutOffIdentifiers) {
      log.error('Cut off a call that was still running at shutdown.', { requestIdentifier });
    }
    exchanges.cancelWhere(() => new RelayError({ kind: FailureKind.ShuttingDown }));
    await exchanges.whenEmpty();
    await Promise.race([
      this.closeConnectionsWhenIdle(),
      clock.sleep(CUT_OFF_RESPONSE_MILLISECONDS, this.doneAbort.signal).catch(() => {}),
    ]);
    this.closeConnections();
    this.doneAbort.abort();
    this.waitAbort.abort();
    return cutOffIdentifiers;
  }

  /** Skips all remaining waits, so that the calls in flight are cancelled immediately. */
  force(): void {
    this.waitAbort.abort();
  }

  private async closeConnectionsWhenIdle(): Promise<void> {
    const { connections, stallTimeoutMilliseconds } = this.parts;
    await connections()?.closeAllWhenIdle(stallTimeoutMilliseconds);
  }

  private closeConnections(): void {
    const connections = this.parts.connections();
    const unsentBytes = connections?.unsentBytes ?? 0;
    if (unsentBytes > 0) {
      this.parts.log.error('Cut off responses that callers had not read at shutdown.', {
        unsentBytes,
      });
    }
    connections?.close();
  }

  private async sleep(milliseconds: number): Promise<void> {
    try {
      await this.parts.clock.sleep(milliseconds, this.waitAbort.signal);
    } catch {
      // The drain was forced or is complete, so the caller continues with the next phase.
    }
  }
}
