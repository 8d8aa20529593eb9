import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { authorityKey } from './ZoneKeyUtils.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Comparison } from 'hickoryrelay-platform/KeyValueStore';

const MILLISECONDS_PER_SECOND = 1000;

/** What the platform granted to a holder. */
export interface AuthorityGrant {
  readonly zone: string;
  /** Name and incarnation of the holding instance. */
  readonly holder: string;
  readonly fencingNumber: number;
  readonly lease: string;
}

/** Until when a lease is certainly held: counted from before its request was sent. */
export interface LeaseSpan {
  /** Monotonic time from before the request was sent. */
  readonly askedMilliseconds: number;
  readonly timeToLiveSeconds: number;
  /** Taken off for clocks that run at different rates. */
  readonly marginMilliseconds: number;
}

function endOf(span: LeaseSpan): number {
  const { askedMilliseconds, timeToLiveSeconds, marginMilliseconds } = span;
  return askedMilliseconds + timeToLiveSeconds * MILLISECONDS_PER_SECOND - marginMilliseconds;
}

/**
 * One uninterrupted hold of a zone's authority. It ends by the monotonic clock, so a process that
 * was paused wakes up without authority, and a term that has ended is never held again.
 */
export class AuthorityTerm {
  readonly grant: AuthorityGrant;

  /** When the term was taken, on the monotonic clock. */
  readonly startedMilliseconds: number;

  private readonly clock: Clock;

  private readonly ending = new AbortController();

  /** Monotonic times until which sent orders without a known outcome may still take effect. */
  private readonly openOrders = new Set<{ readonly untilMilliseconds: number }>();

  private endMilliseconds: number;

  private cancelAlarm: () => void = () => {};

  constructor(grant: AuthorityGrant, clock: Clock, span: LeaseSpan) {
    this.grant = grant;
    this.clock = clock;
    this.startedMilliseconds = clock.monotonicMilliseconds();
    this.endMilliseconds = endOf(span);
    this.setAlarm();
  }

  get zone(): string {
    return this.grant.zone;
  }

  get fencingNumber(): number {
    return this.grant.fencingNumber;
  }

  /** Aborts when the term ends. In a paused process it aborts late, so writes also need `assertHeld`. */
  get signal(): AbortSignal {
    return this.ending.signal;
  }

  /** Time that is certainly left, in milliseconds; 0 once the term has ended. */
  get remainingMilliseconds(): number {
    if (this.ending.signal.aborted) {
      return 0;
    }
    return Math.max(0, this.endMilliseconds - this.clock.monotonicMilliseconds());
  }

  get isHeld(): boolean {
    return this.remainingMilliseconds > 0;
  }

  /** The stored value of the authority key. Unique, because fencing numbers are. */
  get storedValue(): string {
    const { holder, fencingNumber, lease } = this.grant;
    return JSON.stringify({ holder, fencingNumber, lease });
  }

  /** The condition that a write is made under this term. */
  get comparison(): Comparison {
    return { key: authorityKey(this.zone), target: 'value', operand: this.storedValue };
  }

  /** Throws `authority-lost` unless the term is held. Call it in the tick of a write to a socket. */
  assertHeld(): void {
    if (!this.isHeld) {
      throw new RelayError({
        kind: FailureKind.AuthorityLost,
        zone: this.zone,
        fencingNumber: this.fencingNumber,
      });
    }
  }

  /** Extends the term. A late answer extends it by less, and a term that has ended stays ended. */
  renew(span: LeaseSpan): boolean {
    if (!this.isHeld) {
      this.end();
      return false;
    }
    this.endMilliseconds = Math.max(this.endMilliseconds, endOf(span));
    this.setAlarm();
    return true;
  }

  /**
   * Records that an order leaves now and may take effect for the given time. Returns the function
   * that records its outcome.
   */
  beginOrder(lifeMilliseconds: number): () => void {
    const order = { untilMilliseconds: this.clock.monotonicMilliseconds() + lifeMilliseconds };
    this.openOrders.add(order);
    return () => {
      this.openOrders.delete(order);
    };
  }

  /** True if an order that was sent under this term may still take effect. */
  get hasOrderUnderWay(): boolean {
    const now = this.clock.monotonicMilliseconds();
    return [...this.openOrders].some((order) => order.untilMilliseconds > now);
  }

  end(): void {
    this.cancelAlarm();
    this.ending.abort();
  }

  private setAlarm(): void {
    this.cancelAlarm();
    const delay = this.endMilliseconds - this.clock.monotonicMilliseconds();
    this.cancelAlarm = this.clock.schedule(Math.max(0, delay), () => this.end());
  }
}
