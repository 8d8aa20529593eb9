import { RETRY_AFTER_MILLISECONDS } from './ForwardingLimits.js';

import type { EndpointRegistry } from './EndpointRegistry.js';

const MILLISECONDS_PER_SECOND = 1000;

/** When a refused caller may return. */
export interface ReturnTime {
  readonly milliseconds: number;
  /** True if the times of successive callers differ already, so that they need no jitter. */
  readonly isInSequence: boolean;
}

/**
 * Determines when refused callers may return: when an endpoint of their service takes requests. Each
 * caller gets the time of another token of this instance if all endpoints have rate limits, or else
 * of another request of this instance that ends, so that refused callers return one after another.
 */
export class ReturnSchedule {
  private readonly registry: EndpointRegistry;

  /** Time at which the last refused caller may return, by service. */
  private readonly lastReturns = new Map<string, number>();

  constructor(registry: EndpointRegistry) {
    this.registry = registry;
  }

  /** Returns the time after which the next refused caller of a service may return. */
  nextMilliseconds(service: string, now: number): number {
    return this.next(service, now).milliseconds;
  }

  /**
   * Returns the time after which the next refused caller of a service may return.
   *
   * @param maximumMilliseconds the longest time that the caller follows. A caller with a shorter one
   *   does not return, so that its place in the sequence stays free for the next one.
   * @param drainPerSecond the rate at which requests of this instance end while all endpoints are full;
   *   0 if it is not known or an endpoint has room.
   */
  next(
    service: string,
    now: number,
    maximumMilliseconds = Number.POSITIVE_INFINITY,
    drainPerSecond = 0,
  ): ReturnTime {
    const { NoCapacity, Maximum } = RETRY_AFTER_MILLISECONDS;
    const wait = this.registry.waitMilliseconds(service, now);
    if (!Number.isFinite(wait)) {
      return { milliseconds: NoCapacity, isInSequence: false };
    }
    const rate = this.registry.tokensPerSecond(service, now);
    if (rate === 0) {
      return { milliseconds: Math.min(Math.max(NoCapacity, wait), Maximum), isInSequence: false };
    }
    if (Number.isFinite(rate)) {
      const bounded = this.nextInSequence(service, rate, now, wait);
      this.lastReturns.set(service, bounded);
      const milliseconds = Math.min(Math.max(NoCapacity, bounded - now), Maximum);
      return { milliseconds, isInSequence: false };
    }
    const firstWait = Math.max(NoCapacity, wait);
    if (!(drainPerSecond > 0)) {
      return { milliseconds: Math.min(firstWait, Maximum), isInSequence: false };
    }
    const next = this.nextInSequence(service, drainPerSecond, now, firstWait);
    if (next - now <= maximumMilliseconds) {
      this.lastReturns.set(service, next);
    }
    return { milliseconds: Math.min(next - now, Maximum), isInSequence: true };
  }

  private nextInSequence(service: string, perSecond: number, now: number, wait: number): number {
    const lastReturn = this.lastReturns.get(service) ?? Number.NEGATIVE_INFINITY;
    const next = Math.max(now + wait, lastReturn + MILLISECONDS_PER_SECOND / perSecond);
    return Math.min(next, now + Math.max(wait, RETRY_AFTER_MILLISECONDS.Sequence));
  }
}
