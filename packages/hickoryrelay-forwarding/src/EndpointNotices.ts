import {
  AvailabilityChange,
  describeAvailabilityChange,
} from 'hickoryrelay-endpoint/EndpointAvailability';
import { describeRateLimitChange, RateLimitChange } from 'hickoryrelay-endpoint/EndpointRateLimit';

import type { ReceivedNotice } from './EndpointLink.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { EndpointAvailability, SendPermit } from 'hickoryrelay-endpoint/EndpointAvailability';
import type { RateLimitStatement } from 'hickoryrelay-endpoint/RateLimitStatement';

/** Collaborators of the notices. */
export interface EndpointNoticesParts {
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly metrics: ForwardingMetrics;
  readonly log: ComponentLogger;
}

/** Applies what endpoints state about themselves in their responses. */
export class EndpointNotices {
  private readonly parts: EndpointNoticesParts;

  private readonly counts = {
    [AvailabilityChange.Leaving]: 0,
    [AvailabilityChange.BackingOff]: 0,
    [AvailabilityChange.Available]: 0,
  };

  /** Times that an endpoint has named a rate limit or changed it noticeably. */
  private rateLimitCount = 0;

  constructor(parts: EndpointNoticesParts) {
    this.parts = parts;
    const { metrics } = parts;
    metrics.registerCounter('endpoints_leaving_total', () => this.counts.leaving);
    metrics.registerCounter('endpoint_backoffs_total', () => this.counts['backing-off']);
    metrics.registerCounter('endpoint_rate_limits_total', () => this.rateLimitCount);
  }

  /** Applies the notice in the response of an endpoint to a request. */
  receive(
    state: EndpointState,
    permit: SendPermit,
    notice: ReceivedNotice,
    request: string | undefined,
  ): void {
    const { clock } = this.parts;
    const now = clock.monotonicMilliseconds();
    const wallMilliseconds = clock.wallMilliseconds();
    for (const { availability, record } of this.sendersOf(state, notice)) {
      const change = availability.receive(notice, permit, now, wallMilliseconds);
      if (change !== AvailabilityChange.None) {
        this.counts[change] += 1;
        this.parts.log.info(describeAvailabilityChange(change), {
          endpoint: record.identifier,
          started: record.startedMilliseconds,
          service: record.service,
          address: record.address,
          backoffMilliseconds: notice.backoffMilliseconds,
          misdirected: notice.isMisdirected,
          request,
        });
      }
    }
    for (const availability of this.unregisteredSendersOf(state, notice)) {
      availability.receive(notice, permit, now, wallMilliseconds);
    }
    if (notice.rateLimit !== undefined) {
      this.receiveRateLimit(state, permit, notice, notice.rateLimit);
    }
  }

  /**
   * Applies a rate limit to all endpoints that the response may come from. Only if that is certain does
   * a response raise or end the limit of its endpoint.
   */
  private receiveRateLimit(
    state: EndpointState,
    permit: SendPermit,
    { isMisdirected }: ReceivedNotice,
    statement: RateLimitStatement,
  ): void {
    const { registry, clock } = this.parts;
    const isLimited =
      statement.requestsPerSecond !== undefined ||
      state.availability.rateLimit.requestsPerSecond !== undefined;
    const { address } = state.record;
    const others = isLimited ? registry.atAddress(address).filter((other) => other !== state) : [];
    const isCertain = !isMisdirected && others.length === 0;
    const applyTo = ({ rateLimit }: EndpointAvailability, mayRaise: boolean) =>
      mayRaise || !rateLimit.isRaisedBy(statement)
        ? rateLimit.receive(
            statement,
            permit.startedMilliseconds,
            clock.monotonicMilliseconds(),
            clock.wallMilliseconds(),
          )
        : RateLimitChange.None;
    for (const each of [state, ...others]) {
      const change = applyTo(each.availability, isCertain);
      if (change !== RateLimitChange.None) {
        this.recordRateLimit(each, statement, change);
      }
    }
    for (const availability of isLimited ? registry.unregisteredAt(address, undefined) : []) {
      if (availability !== state.availability) {
        applyTo(availability, false);
      }
    }
  }

  private recordRateLimit(
    { record }: EndpointState,
    { requestsPerSecond }: RateLimitStatement,
    change: RateLimitChange,
  ): void {
    this.rateLimitCount += Number(change === RateLimitChange.Limited);
    this.parts.log.info(describeRateLimitChange(change), {
      endpoint: record.identifier,
      service: record.service,
      requestsPerSecond,
    });
  }

  /**
   * Availabilities that a notice applies to once their registrations are back: the endpoint may have
   * restarted, and its new registration may be missing for a while.
   */
  private unregisteredSendersOf(
    state: EndpointState,
    notice: ReceivedNotice,
  ): EndpointAvailability[] {
    const isBackingOff = notice.backoffMilliseconds !== undefined;
    if (!notice.isLeaving && !isBackingOff) {
      return [];
    }
    const { identifier, address } = state.record;
    const isFromAny = notice.isMisdirected || isBackingOff;
    return this.parts.registry
      .unregisteredAt(address, isFromAny ? undefined : identifier)
      .filter((availability) => availability !== state.availability);
  }

  /**
   * The states whose requests reach the sender of a notice: the addressed one, and those that are
   * registered with its address. A notice of leaving has no end, so it counts only for incarnations
   * of the addressed endpoint, unless another one may have responded.
   */
  private sendersOf(state: EndpointState, notice: ReceivedNotice): Iterable<EndpointState> {
    const isBackingOff = notice.backoffMilliseconds !== undefined;
    if (!notice.isLeaving && !isBackingOff) {
      return [state];
    }
    const { identifier, address } = state.record;
    const others = this.parts.registry
      .atAddress(address)
      .filter(
        ({ record }) => notice.isMisdirected || isBackingOff || record.identifier === identifier,
      );
    return new Set([state, ...others]);
  }
}
