import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { AvailabilityChange } from 'hickoryrelay-endpoint/EndpointAvailability';

import { ProgressDeadline } from './ProgressDeadline.js';
import type { ExchangeCounters } from './ExchangeCounters.js';
import type { StallTimeouts } from './ProgressDeadline.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';
import type { EndpointLink, ResumePoint } from 'hickoryrelay-link/EndpointLink';
import type { ResponseStream } from 'hickoryrelay-link/ResponseStream';
import type { EndpointCall } from 'hickoryrelay-zone/EndpointCall';

/** Dependencies of an attempt. */
export interface AttemptParts {
  readonly call: Call;
  readonly endpoint: Endpoint;
  readonly beginAttempt: (endpoint: Endpoint, call: Call) => EndpointCall;
  readonly link: EndpointLink;
  readonly clock: Clock;
  readonly stallTimeouts: StallTimeouts;
  readonly drainTimeoutMilliseconds: number;
  readonly counters: ExchangeCounters;
  /** Aborts when the call is cancelled or its deadline passes. */
  readonly signal: AbortSignal;
}

/** One attempt to run a call at one endpoint, from sending it to the end of the response. */
export class Attempt {
  readonly endpoint: Endpoint;

  readonly answer: ResponseStream;

  private readonly parts: AttemptParts;

  private readonly abort = new AbortController();

  private readonly deadline: ProgressDeadline;

  private readonly endpointCall: EndpointCall;

  private hasFailed = false;

  constructor(parts: AttemptParts, resume: ResumePoint | undefined) {
    const { call, endpoint, link, clock, stallTimeouts, signal } = parts;
    this.parts = parts;
    this.endpoint = endpoint;
    this.endpointCall = parts.beginAttempt(endpoint, call);
    signal.addEventListener('abort', this.onCancel);
    if (signal.aborted) {
      this.onCancel();
    }
    this.answer = link.send(call, this.abort.signal, resume, this.endpointCall.permit);
    this.deadline = new ProgressDeadline(
      clock,
      stallTimeouts,
      () => this.answer.isConnectionSuspect,
      (stalledMilliseconds) => this.failStalled(stalledMilliseconds),
    );
  }

  /** Resolves when the response head has arrived, and applies the endpoint's notice in it. */
  async receiveHead(): Promise<AvailabilityChange> {
    await this.answer.headReceived;
    const { notice } = this.answer;
    return notice === undefined ? AvailabilityChange.None : this.endpointCall.receiveNotice(notice);
  }

  /** Suspends the progress deadline when data has arrived and the exchange waits for the caller. */
  pauseDeadline(): void {
    this.endpointCall.recordFirstChunk();
    this.deadline.pause();
  }

  /** Restarts the progress deadline when the exchange waits for the endpoint again. */
  resumeDeadline(): void {
    this.deadline.resume();
  }

  /**
   * Records the number of tokens delivered so far, from which the time between tokens is estimated.
   */
  recordTokens(tokens: number): void {
    this.endpointCall.progress(tokens);
  }

  /**
   * Records the error that ends the attempt. Must be called before `end`. Only errors of the
   * endpoint count against it.
   */
  fail(error: unknown): void {
    const { kind } = failureOf(error);
    this.hasFailed ||=
      kind === FailureKind.EndpointFailed || kind === FailureKind.ProtocolViolation;
  }

  /** Ends the attempt. Cancels the call at the endpoint unless its response is complete. */
  async end(): Promise<void> {
    this.release();
    await this.answer.chunks.return?.();
  }

  /**
   * Ends the attempt after its last chunk. Drains the rest of the body in the background, so that
   * the connection can be reused.
   */
  finish(): void {
    this.release();
    const { clock, drainTimeoutMilliseconds } = this.parts;
    const cancelTimer = clock.schedule(drainTimeoutMilliseconds, () => this.abort.abort());
    void this.drain().finally(cancelTimer);
  }

  private readonly onCancel = (): void => {
    this.abort.abort(this.parts.signal.reason);
  };

  private release(): void {
    this.deadline.stop();
    // A cancelled call is neither a success nor a failure of the endpoint.
    this.endpointCall.end(this.parts.signal.aborted ? undefined : !this.hasFailed);
    this.parts.signal.removeEventListener('abort', this.onCancel);
  }

  private async drain(): Promise<void> {
    try {
      let result = await this.answer.chunks.next();
      while (result.done !== true) {
        result = await this.answer.chunks.next();
      }
    } catch {
      // The response was already complete; only the connection is lost.
    }
  }

  private failStalled(stalledMilliseconds: number): void {
    this.parts.counters.stalls += 1;
    this.answer.retireConnections();
    this.abort.abort(
      new RelayError({
        kind: FailureKind.EndpointFailed,
        endpoint: this.endpoint.identifier,
        reason: `no data for ${Math.round(stalledMilliseconds)} ms`,
        mayHaveRun: true,
      }),
    );
  }
}
