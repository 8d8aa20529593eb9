import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { authorityKey } from './ZoneKeyUtils.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Comparison } from 'hickoryrelay-platform/KeyValueStore';

const MILLISECONDS_PER_SECOND = 1000;

/** The authority over a zone as granted to one holder. */
export interface AuthorityGrant {
  readonly zone: string;
  /** Name and incarnation of the holding instance. */
  readonly holder: string;
  readonly fencingNumber: number;
  readonly lease: string;
}

/** Validity of a lease, counted from before its request was sent so that it never ends too late. */
export interface LeaseValidity {
  /** Monotonic time before the request was sent. */
  readonly requestedMilliseconds: number;
  readonly timeToLiveSeconds: number;
  /** Safety margin for clocks that run at different rates. */
  readonly marginMilliseconds: number;
}

function expiryOf(validity: LeaseValidity): number {
  const { requestedMilliseconds, timeToLiveSeconds, marginMilliseconds } = validity;
  return requestedMilliseconds + timeToLiveSeconds * MILLISECONDS_PER_SECOND - marginMilliseconds;
}

/**
 * One uninterrupted period in which an instance holds the authority over a zone. The term expires by
 * the monotonic clock, so a process that resumes after a pause does not hold it any more. A term that
 * has ended is never held again.
 */
export class AuthorityTerm {
  readonly grant: AuthorityGrant;

  /** Start of the term, on the monotonic clock. */
  readonly startedMilliseconds: number;

  private readonly clock: Clock;

  private readonly abortController = new AbortController();

  /** Orders without a known outcome, with the monotonic time until which they may take effect. */
  private readonly pendingOrders = new Set<{ readonly expiresAtMilliseconds: number }>();

  private expiresAtMilliseconds: number;

  /** Time for which the lease outlasts the term at least. */
  private readonly marginMilliseconds: number;

  /** True if the term was ended before it expired. */
  private wasEnded = false;

  private cancelExpiryTimer: () => void = () => {};

  constructor(grant: AuthorityGrant, clock: Clock, validity: LeaseValidity) {
    this.grant = grant;
    this.clock = clock;
    this.startedMilliseconds = clock.monotonicMilliseconds();
    this.expiresAtMilliseconds = expiryOf(validity);
    this.marginMilliseconds = validity.marginMilliseconds;
    this.startExpiryTimer();
  }

  get zone(): string {
    return this.grant.zone;
  }

  get fencingNumber(): number {
    return this.grant.fencingNumber;
  }

  /** Aborts when the term ends. A paused process aborts it late, so writes also need `assertHeld`. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Guaranteed remaining time in milliseconds; 0 once the term has ended. */
  get remainingMilliseconds(): number {
    if (this.abortController.signal.aborted) {
      return 0;
    }
    return Math.max(0, this.expiresAtMilliseconds - this.clock.monotonicMilliseconds());
  }

  get isHeld(): boolean {
    return this.remainingMilliseconds > 0;
  }

  /**
   * True while no other instance can have acquired the authority: during the term and, after it has
   * expired, for as long as the service keeps its lease at least.
   */
  get isLastHolder(): boolean {
    const leaseEndMilliseconds = this.expiresAtMilliseconds + this.marginMilliseconds;
    return !this.wasEnded && this.clock.monotonicMilliseconds() < leaseEndMilliseconds;
  }

  /** Value of the authority key during this term. Unique, because fencing numbers are unique. */
  get storedValue(): string {
    const { holder, fencingNumber, lease } = this.grant;
    return JSON.stringify({ holder, fencingNumber, lease });
  }

  /** Transaction condition that the authority key belongs to this term. */
  get holderComparison(): Comparison {
    return { key: authorityKey(this.zone), target: 'value', operand: this.storedValue };
  }

  /** Throws `authority-lost` unless the term is held. Call it in the same tick as a socket write. */
  assertHeld(): void {
    if (!this.isHeld) {
      throw new RelayError({
        kind: FailureKind.AuthorityLost,
        zone: this.zone,
        fencingNumber: this.fencingNumber,
      });
    }
  }

  /**
   * Extends the term after a renewal of the lease. The extension counts from the request, so a late
   * response extends the term by less. Returns false if the term has already ended.
   */
  renew(validity: LeaseValidity): boolean {
    if (!this.isHeld) {
      this.end();
      return false;
    }
    this.expiresAtMilliseconds = Math.max(this.expiresAtMilliseconds, expiryOf(validity));
    this.startExpiryTimer();
    return true;
  }

  /**
   * Records that an order is sent now and may take effect within the given time. Returns a function
   * to call when the outcome of the order is known.
   */
  trackOrder(timeToLiveMilliseconds: number): () => void {
    const order = {
      expiresAtMilliseconds: this.clock.monotonicMilliseconds() + timeToLiveMilliseconds,
    };
    this.pendingOrders.add(order);
    return () => {
      this.pendingOrders.delete(order);
    };
  }

  /** True if an order of this term without a known outcome may still take effect. */
  get hasPendingOrder(): boolean {
    const now = this.clock.monotonicMilliseconds();
    return [...this.pendingOrders].some((order) => order.expiresAtMilliseconds > now);
  }

  end(): void {
    this.wasEnded ||= this.isHeld;
    this.cancelExpiryTimer();
    this.abortController.abort();
  }

  private startExpiryTimer(): void {
    this.cancelExpiryTimer();
    const delay = this.expiresAtMilliseconds - this.clock.monotonicMilliseconds();
    this.cancelExpiryTimer = this.clock.schedule(Math.max(0, delay), () => this.end());
  }
}
