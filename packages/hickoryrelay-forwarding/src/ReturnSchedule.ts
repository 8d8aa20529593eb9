import { RETRY_AFTER_MILLISECONDS } from './ForwardingLimits.js';

import type { EndpointRegistry } from './EndpointRegistry.js';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Determines when refused callers may return: when an endpoint of their service takes requests. If all
 * of them have rate limits, each caller gets the time of another token of this instance.
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
    const { NoCapacity, Maximum, RateLimited } = RETRY_AFTER_MILLISECONDS;
    const wait = this.registry.waitMilliseconds(service, now);
    if (!Number.isFinite(wait)) {
      return NoCapacity;
    }
    const rate = this.registry.tokensPerSecond(service, now);
    if (!Number.isFinite(rate) || rate === 0) {
      return Math.min(Math.max(NoCapacity, wait), Maximum);
    }
    const lastReturn = this.lastReturns.get(service) ?? Number.NEGATIVE_INFINITY;
    const next = Math.max(now + wait, lastReturn + MILLISECONDS_PER_SECOND / rate);
    const bounded = Math.min(next, now + Math.max(wait, RateLimited));
    this.lastReturns.set(service, bounded);
    return Math.min(Math.max(NoCapacity, bounded - now), Maximum);
  }
}
