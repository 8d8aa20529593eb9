import { RETRY_AFTER_MILLISECONDS } from './ForwardingLimits.js';

import type { EndpointRegistry } from './EndpointRegistry.js';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Determines when refused callers may return: when an endpoint of their service takes requests. Each
 * caller gets the time of another token of this instance if all endpoints have rate limits, or else
 * of another request of this instance that ends, so that refused callers return one after another.
 */
export class ReturnSchedule {
  private readonly registry: EndpointRegistry;

  private readonly drainPerSecond: (service: string) => number | undefined;

  /** Time at which the last refused caller may return, by service. */
  private readonly lastReturns = new Map<string, number>();

  /** @param drainPerSecond returns the requests of a service that end here; undefined if not known. */
  constructor(
    registry: EndpointRegistry,
    drainPerSecond: (service: string) => number | undefined = () => undefined,
  ) {
    this.registry = registry;
    this.drainPerSecond = drainPerSecond;
  }

  /**
   * Returns the time after which the next refused caller of a service may return.
   *
   * @param patienceMilliseconds the longest time that the caller follows. A caller with less patience
   *   does not return, so that its place in the sequence stays free for the next one.
   */
  nextMilliseconds(
    service: string,
    now: number,
    patienceMilliseconds = Number.POSITIVE_INFINITY,
  ): number {
    const { NoCapacity, Maximum } = RETRY_AFTER_MILLISECONDS;
    const wait = this.registry.waitMilliseconds(service, now);
    if (!Number.isFinite(wait)) {
      return NoCapacity;
    }
    const rate = this.registry.tokensPerSecond(service, now);
    if (rate === 0) {
      return Math.min(Math.max(NoCapacity, wait), Maximum);
    }
    if (Number.isFinite(rate)) {
      const bounded = this.nextInSequence(service, rate, now, wait);
      this.lastReturns.set(service, bounded);
      return Math.min(Math.max(NoCapacity, bounded - now), Maximum);
    }
    return this.nextSlot(service, now, Math.max(NoCapacity, wait), patienceMilliseconds);
  }

  /** The time of another request that ends, not before the given wait. */
  private nextSlot(service: string, now: number, wait: number, patience: number): number {
    const rate = this.drainPerSecond(service);
    if (rate === undefined || !(rate > 0)) {
      return Math.min(wait, RETRY_AFTER_MILLISECONDS.Maximum);
    }
    const next = this.nextInSequence(service, rate, now, wait);
    if (next - now <= patience) {
      this.lastReturns.set(service, next);
    }
    return Math.min(next - now, RETRY_AFTER_MILLISECONDS.Maximum);
  }

  private nextInSequence(service: string, perSecond: number, now: number, wait: number): number {
    const lastReturn = this.lastReturns.get(service) ?? Number.NEGATIVE_INFINITY;
    const next = Math.max(now + wait, lastReturn + MILLISECONDS_PER_SECOND / perSecond);
    return Math.min(next, now + Math.max(wait, RETRY_AFTER_MILLISECONDS.Sequence));
  }
}
