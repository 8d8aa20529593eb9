import { backoffDelays } from 'hickoryrelay/Backoff';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import {
  AvailabilityChange,
  describeAvailabilityChange,
} from 'hickoryrelay-endpoint/EndpointAvailability';

import { Attempt } from './Attempt.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { StallTimeouts } from './ProgressDeadline.js';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';
import type { ResumePoint } from 'hickoryrelay-link/EndpointLink';

const MILLISECONDS_PER_SECOND = 1000;
const MINIMUM_RETRY_AFTER_SECONDS = 1;

/** Other endpoints may start sooner than one that asked for no calls takes them again. */
const MAXIMUM_RETRY_AFTER_SECONDS = 60;

/** Failures after which another attempt may succeed. */
const RETRYABLE_KINDS: ReadonlySet<FailureKind> = new Set([
  FailureKind.EndpointFailed,
  FailureKind.ProtocolViolation,
]);

/** The attempts of one call. Selects an endpoint for each, and decides whether to retry. */
export class CallAttempts {
  private readonly call: Call;

  private readonly parts: ExchangeParts;

  private readonly metering: CallMetering;

  /** Aborts when the call is cancelled or its deadline passes. */
  readonly signal: AbortSignal;

  private readonly delays: Generator<number, never, void>;

  /** Endpoints that have failed in the current pass over the candidates. */
  private readonly failed = new Set<Endpoint>();

  private lastError: RelayError | undefined;

  /** Called before the call is sent to an endpoint. */
  onSend = () => {};

  private attemptsWithoutProgress = 0;

  private hasBeenSent = false;

  constructor(call: Call, parts: ExchangeParts, metering: CallMetering, signal: AbortSignal) {
    this.call = call;
    this.parts = parts;
    this.metering = metering;
    this.signal = signal;
    this.delays = backoffDelays(parts.limits.backoff, parts.random);
  }

  /** False only if it is certain that no endpoint has started to run the call. */
  get mayHaveRun(): boolean {
    return this.hasBeenSent;
  }

  /**
   * Sends the call to endpoints until one responds. Throws the last failure if the call may not be
   * retried.
   */
  async open(resume?: ResumePoint): Promise<Attempt> {
    for (;;) {
      await this.backOff();
      const endpoint = this.selectEndpoint();
      this.metering.recordAttempt(endpoint.identifier);
      this.onSend();
      const attempt = this.attempt(endpoint, resume);
      try {
        this.recordChange(endpoint, await attempt.receiveHead());
        this.hasBeenSent = true;
        return attempt;
      } catch (error) {
        attempt.fail(error);
        await attempt.end();
        this.recordFailure(endpoint, error);
      }
    }
  }

  /** Resets the count of attempts without progress. */
  recordProgress(): void {
    this.attemptsWithoutProgress = 0;
  }

  /** Records a failed attempt. Throws the failure if the call may not be retried. */
  recordFailure(endpoint: Endpoint, error: unknown): void {
    const failure = failureOf(error);
    const wasSent = failure.kind !== FailureKind.EndpointFailed || failure.mayHaveRun;
    this.hasBeenSent ||= wasSent;
    this.failed.add(endpoint);
    this.attemptsWithoutProgress += 1;
    this.lastError = error instanceof RelayError ? error : new RelayError(failure, error);
    const canBeRepeated = this.call.isIdempotent || !wasSent;
    const isExhausted =
      this.attemptsWithoutProgress >= this.parts.limits.maximumAttemptsWithoutProgress;
    if (
      this.signal.aborted ||
      !canBeRepeated ||
      isExhausted ||
      !RETRYABLE_KINDS.has(failure.kind) ||
      !this.parts.retryBudget.tryTake()
    ) {
      throw this.lastError;
    }
    this.parts.counters.retries += 1;
  }

  private attempt(endpoint: Endpoint, resume: ResumePoint | undefined): Attempt {
    const { beginAttempt, clock, counters, limits, links } = this.parts;
    return new Attempt(
      {
        call: this.call,
        endpoint,
        beginAttempt,
        link: links.linkTo(endpoint),
        clock,
        stallTimeouts: this.stallTimeouts(),
        drainTimeoutMilliseconds: limits.drainTimeoutMilliseconds,
        counters,
        signal: this.signal,
      },
      resume,
    );
  }

  private stallTimeouts(): StallTimeouts {
    const { limits } = this.parts;
    const isBuffered = this.call.kind === WorkKind.Model && !this.call.isStreaming;
    return {
      firstChunkMilliseconds: isBuffered
        ? limits.bufferedResponseTimeoutMilliseconds
        : limits.firstChunkTimeoutMilliseconds,
      nextChunkMilliseconds: limits.nextChunkTimeoutMilliseconds,
      suspectMilliseconds: limits.suspectTimeoutMilliseconds,
    };
  }

  private async backOff(): Promise<void> {
    if (this.lastError !== undefined) {
      await this.parts.clock.sleep(this.delays.next().value, this.signal);
    }
    if (this.signal.aborted) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the call was cancelled' });
    }
  }

  private recordChange({ identifier }: Endpoint, change: AvailabilityChange): void {
    if (change === AvailabilityChange.None) {
      return;
    }
    const { counters, endpointLog } = this.parts;
    counters.endpointsLeaving += Number(change === AvailabilityChange.Leaving);
    counters.endpointBackoffs += Number(change === AvailabilityChange.BackingOff);
    endpointLog.info(describeAvailabilityChange(change), {
      endpoint: identifier,
      request: this.call.requestIdentifier,
    });
  }

  /**
   * Returns the best candidate that takes calls and has not failed, or the best one that takes calls
   * if all have failed.
   */
  private selectEndpoint(): Endpoint {
    const { selection, fleet, clock } = this.parts;
    const now = clock.monotonicMilliseconds();
    let bestEndpoint: Endpoint | undefined;
    let waitMilliseconds = Number.POSITIVE_INFINITY;
    for (const endpoint of selection.candidates(this.call, fleet)) {
      const { availability } = endpoint;
      const isAllowed = availability.allowsRequest(now);
      if (isAllowed && !this.failed.has(endpoint)) {
        return endpoint;
      }
      bestEndpoint ??= isAllowed ? endpoint : undefined;
      waitMilliseconds = Math.min(waitMilliseconds, availability.waitMilliseconds(now));
    }
    if (bestEndpoint === undefined) {
      throw (
        this.lastError ??
        new RelayError({
          kind: FailureKind.NoEndpoint,
          className: this.call.className,
          retryAfterSeconds: CallAttempts.retryAfterSeconds(waitMilliseconds),
        })
      );
    }
    this.failed.clear();
    return bestEndpoint;
  }

  /** Time until an endpoint takes calls; the minimum if none is known to. */
  private static retryAfterSeconds(waitMilliseconds: number): number {
    const seconds = Math.ceil(waitMilliseconds / MILLISECONDS_PER_SECOND);
    return Number.isFinite(seconds)
      ? Math.min(Math.max(MINIMUM_RETRY_AFTER_SECONDS, seconds), MAXIMUM_RETRY_AFTER_SECONDS)
      : MINIMUM_RETRY_AFTER_SECONDS;
  }
}
