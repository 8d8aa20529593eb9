import { describeRateLimitChange, RateLimitChange } from 'hickoryrelay-endpoint/EndpointRateLimit';

import type { EndpointRegistry } from './EndpointRegistry.js';
import type { InstanceRateLimitShares } from './InstanceRateLimitShares.js';
import type { LoadMessage } from './PeerMessage.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { EndpointRateLimit } from 'hickoryrelay-endpoint/EndpointRateLimit';
import type { RateLimitReport } from 'hickoryrelay-endpoint/RateLimitStatement';

/** A changed limit is in each message for this long, since messages may be lost. */
const CHANGE_REPORT_MILLISECONDS = 1500;

/** Time for which the end of a limit is repeated. */
const END_REPORT_MILLISECONDS = 10_000;

/** Unchanged limits are repeated in one of these slots each, for instances that missed the change. */
const REPEAT_SLOTS = 8;
const REPEAT_SLOT_MILLISECONDS = 300;

/** Keeps a message of many limited endpoints small. */
const MAXIMUM_REPORTS = 24;

/** Without a message of its own for this long, this instance was paused, and messages have waited. */
const PAUSE_MILLISECONDS = 600;

/** Time after a pause in which messages may be as old as the pause was long. */
const BACKLOG_MILLISECONDS = 1000;

/** Collaborators of the exchange. */
export interface RateLimitExchangeParts {
  readonly registry: EndpointRegistry;
  readonly shares: InstanceRateLimitShares;
  /** The clock of the calls. */
  readonly clock: Clock;
  readonly log: ComponentLogger;
}

/**
 * Passes on the rate limits that endpoints have stated, in the load messages of the instances. An
 * instance repeats what it has learned from others as well, so that the limits also pass the relays.
 * Instances that may not send to an endpoint learn the end of its limit only from the others.
 */
export class RateLimitExchange {
  private readonly parts: RateLimitExchangeParts;

  /** Time of the last message of this instance. */
  private lastMessageMilliseconds: number | undefined;

  private backlogUntilMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(parts: RateLimitExchangeParts) {
    this.parts = parts;
  }

  /** The statements to include in a message now: those that changed lately come first. */
  reports(): RateLimitReport[] {
    const now = this.parts.clock.monotonicMilliseconds();
    this.detectPause(now);
    this.lastMessageMilliseconds = now;
    return [...this.parts.registry.rateLimits()]
      .filter((each) => RateLimitExchange.isDue(each, now))
      .toSorted((left, right) => left.changeAgeMilliseconds(now) - right.changeAgeMilliseconds(now))
      .slice(0, MAXIMUM_REPORTS)
      .map((each) => each.report(now));
  }

  /** Applies the statements in a message of another instance. */
  receive({ sender, rateLimits }: Pick<LoadMessage, 'sender' | 'rateLimits'>): void {
    const { registry, shares, clock, log } = this.parts;
    const now = clock.monotonicMilliseconds();
    shares.recordMessage(sender);
    this.detectPause(now);
    if (now < this.backlogUntilMilliseconds) {
      return;
    }
    for (const report of rateLimits) {
      const state = registry.findByHash(report.endpoint);
      const change = state?.availability.rateLimit.receiveReport(
        report,
        now,
        clock.wallMilliseconds(),
      );
      if (state !== undefined && change !== undefined && change !== RateLimitChange.None) {
        log.info(describeRateLimitChange(change), {
          endpoint: state.record.identifier,
          service: state.record.service,
          requestsPerSecond: report.requestsPerSecond,
          reporter: sender,
        });
      }
    }
  }

  /** The age in a message does not include the time for which it waited for a paused instance. */
  private detectPause(now: number): void {
    const { lastMessageMilliseconds = now } = this;
    if (now - lastMessageMilliseconds > PAUSE_MILLISECONDS) {
      this.backlogUntilMilliseconds = now + BACKLOG_MILLISECONDS;
    }
  }

  private static isDue(rateLimit: EndpointRateLimit, now: number): boolean {
    const changeAge = rateLimit.changeAgeMilliseconds(now);
    if (changeAge < CHANGE_REPORT_MILLISECONDS) {
      return true;
    }
    const isReported =
      rateLimit.requestsPerSecond !== undefined || changeAge < END_REPORT_MILLISECONDS;
    const slot = Math.floor(now / REPEAT_SLOT_MILLISECONDS) % REPEAT_SLOTS;
    return isReported && rateLimit.endpoint % REPEAT_SLOTS === slot;
  }
}
