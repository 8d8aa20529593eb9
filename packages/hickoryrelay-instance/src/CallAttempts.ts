import { backoffDelays } from 'hickoryrelay/Backoff';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { Attempt } from './Attempt.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { StallTimeouts } from './ProgressDeadline.js';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';
import type { ResumePoint } from 'hickoryrelay-link/EndpointLink';

const RETRY_AFTER_SECONDS = 1;

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
      const attempt = this.attempt(endpoint, resume);
      try {
        await attempt.answer.headReceived;
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

  /** Returns the best candidate that has not failed, or the best one overall if all have. */
  private selectEndpoint(): Endpoint {
    const { selection, fleet } = this.parts;
    let bestEndpoint: Endpoint | undefined;
    for (const endpoint of selection.candidates(this.call, fleet)) {
      if (!this.failed.has(endpoint)) {
        return endpoint;
      }
      bestEndpoint ??= endpoint;
    }
    if (bestEndpoint === undefined) {
      throw (
        this.lastError ??
        new RelayError({
          kind: FailureKind.NoEndpoint,
          className: this.call.className,
          retryAfterSeconds: RETRY_AFTER_SECONDS,
        })
      );
    }
    this.failed.clear();
    return bestEndpoint;
  }
}
