import { backoffDelays } from 'hickoryrelay/Backoff';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { Attempt } from './Attempt.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { SilenceLimits } from './ProgressDeadline.js';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';
import type { ResumePoint } from 'hickoryrelay-link/EndpointLink';

const RETRY_AFTER_SECONDS = 1;

/** Failures of an attempt that another attempt may make good. */
const RETRIED_KINDS: ReadonlySet<FailureKind> = new Set([
  FailureKind.EndpointFailed,
  FailureKind.ProtocolViolation,
]);

/** The attempts of one call: where the next one goes, and whether there may be one. */
export class CallAttempts {
  private readonly call: Call;

  private readonly parts: ExchangeParts;

  private readonly metering: CallMetering;

  /** Aborts when the call is cancelled or its deadline passes. */
  readonly signal: AbortSignal;

  private readonly delays: Generator<number, never, void>;

  /** Endpoints that failed since all candidates were last tried. */
  private readonly failed = new Set<Endpoint>();

  private lastError: RelayError | undefined;

  private fruitless = 0;

  private hasRunSomewhere = false;

  constructor(call: Call, parts: ExchangeParts, metering: CallMetering, signal: AbortSignal) {
    this.call = call;
    this.parts = parts;
    this.metering = metering;
    this.signal = signal;
    this.delays = backoffDelays(parts.limits.backoff, parts.random);
  }

  /** False only if it is certain that no endpoint has started the call. */
  get mayHaveRun(): boolean {
    return this.hasRunSomewhere;
  }

  /**
   * Sends the call until an endpoint answers. Throws the last failure when the call may not be
   * sent again.
   */
  async open(resume?: ResumePoint): Promise<Attempt> {
    for (;;) {
      await this.waitForTurn();
      const endpoint = this.nextEndpoint();
      this.metering.sendTo(endpoint.identifier);
      const attempt = this.attempt(endpoint, resume);
      try {
        await attempt.answer.begun;
        this.hasRunSomewhere = true;
        return attempt;
      } catch (error) {
        attempt.fail(error);
        await attempt.end();
        this.recordFailure(endpoint, error);
      }
    }
  }

  /** Records that an attempt brought something, so that later failures start a new count. */
  recordProgress(): void {
    this.fruitless = 0;
  }

  /** Records a failed attempt. Throws the failure if the call may not be sent again. */
  recordFailure(endpoint: Endpoint, error: unknown): void {
    const failure = failureOf(error);
    const wasSent = failure.kind !== FailureKind.EndpointFailed || failure.mayHaveRun;
    this.hasRunSomewhere ||= wasSent;
    this.failed.add(endpoint);
    this.fruitless += 1;
    this.lastError = error instanceof RelayError ? error : new RelayError(failure, error);
    const mayBeRepeated = this.call.isIdempotent || !wasSent;
    const isExhausted = this.fruitless >= this.parts.limits.fruitlessAttempts;
    if (
      this.signal.aborted ||
      !mayBeRepeated ||
      isExhausted ||
      !RETRIED_KINDS.has(failure.kind) ||
      !this.parts.retryBudget.tryTake()
    ) {
      throw this.lastError;
    }
    this.parts.counters.retries += 1;
  }

  private attempt(endpoint: Endpoint, resume: ResumePoint | undefined): Attempt {
    const { begin, clock, counters, limits, links } = this.parts;
    return new Attempt(
      {
        call: this.call,
        endpoint,
        begin,
        link: links.linkTo(endpoint),
        clock,
        silence: this.silenceLimits(),
        drainMilliseconds: limits.drainMilliseconds,
        counters,
        signal: this.signal,
      },
      resume,
    );
  }

  private silenceLimits(): SilenceLimits {
    const { limits } = this.parts;
    const isWhole = this.call.kind === WorkKind.Model && !this.call.isStreaming;
    return {
      firstMilliseconds: isWhole ? limits.wholeAnswerMilliseconds : limits.firstPieceMilliseconds,
      nextMilliseconds: limits.progressMilliseconds,
      condemnedMilliseconds: limits.condemnedProgressMilliseconds,
    };
  }

  private async waitForTurn(): Promise<void> {
    if (this.lastError !== undefined) {
      await this.parts.clock.sleep(this.delays.next().value, this.signal);
    }
    if (this.signal.aborted) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the call was ended' });
    }
  }

  /** The best candidate that has not failed, or the best one again if all have. */
  private nextEndpoint(): Endpoint {
    const { selection, fleet } = this.parts;
    let first: Endpoint | undefined;
    for (const endpoint of selection.candidates(this.call, fleet)) {
      if (!this.failed.has(endpoint)) {
        return endpoint;
      }
      first ??= endpoint;
    }
    if (first === undefined) {
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
    return first;
  }
}
