import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';

import { ProgressDeadline } from './ProgressDeadline.js';
import type { ExchangeCounters } from './ExchangeCounters.js';
import type { SilenceLimits } from './ProgressDeadline.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { AnswerStream } from 'hickoryrelay-link/AnswerStream';
import type { Call } from 'hickoryrelay-link/Call';
import type { EndpointLink, ResumePoint } from 'hickoryrelay-link/EndpointLink';
import type { EndpointCall } from 'hickoryrelay-zone/EndpointCall';

/** What an attempt works with. */
export interface AttemptParts {
  readonly call: Call;
  readonly endpoint: Endpoint;
  readonly begin: (endpoint: Endpoint, call: Call) => EndpointCall;
  readonly link: EndpointLink;
  readonly clock: Clock;
  readonly silence: SilenceLimits;
  readonly drainMilliseconds: number;
  readonly counters: ExchangeCounters;
  /** Aborts when the exchange is cancelled. */
  readonly signal: AbortSignal;
}

/** One sending of a call to one endpoint, until its answer ends. */
export class Attempt {
  readonly endpoint: Endpoint;

  readonly answer: AnswerStream;

  private readonly parts: AttemptParts;

  private readonly abort = new AbortController();

  private readonly deadline: ProgressDeadline;

  private readonly endpointCall: EndpointCall;

  private hasFailed = false;

  constructor(parts: AttemptParts, resume: ResumePoint | undefined) {
    const { call, endpoint, link, clock, silence, signal } = parts;
    this.parts = parts;
    this.endpoint = endpoint;
    this.endpointCall = parts.begin(endpoint, call);
    signal.addEventListener('abort', this.onCancel);
    if (signal.aborted) {
      this.onCancel();
    }
    this.answer = link.send(call, this.abort.signal, resume);
    this.deadline = new ProgressDeadline(
      clock,
      silence,
      () => this.answer.isCondemned,
      (silentMilliseconds) => this.endSilent(silentMilliseconds),
    );
  }

  /** Records that the endpoint has brought something, and that the caller is waited for. */
  pauseDeadline(): void {
    this.endpointCall.recordFirstChunk();
    this.deadline.pause();
  }

  /** Records that the endpoint is waited for again. */
  resumeDeadline(): void {
    this.deadline.resume();
  }

  /** Records the tokens that the caller has got so far, to learn the time between them. */
  recordTokens(tokens: number): void {
    this.endpointCall.progress(tokens);
  }

  /** Records what broke the attempt, before it is ended. Only the endpoint's faults count. */
  fail(error: unknown): void {
    const { kind } = failureOf(error);
    this.hasFailed ||=
      kind === FailureKind.EndpointFailed || kind === FailureKind.ProtocolViolation;
  }

  /** Ends the attempt. The call is cancelled at the endpoint unless its answer has ended. */
  async end(): Promise<void> {
    this.release();
    await this.answer.pieces.return?.();
  }

  /**
   * Ends the attempt after its last piece. The end of the body is read in the background, so that
   * the connection can be used again.
   */
  finish(): void {
    this.release();
    const { clock, drainMilliseconds } = this.parts;
    const cancelAlarm = clock.schedule(drainMilliseconds, () => this.abort.abort());
    void this.drain().finally(cancelAlarm);
  }

  private readonly onCancel = (): void => {
    this.abort.abort(this.parts.signal.reason);
  };

  private release(): void {
    this.deadline.stop();
    // A call that was cancelled says nothing about the endpoint.
    this.endpointCall.end(this.parts.signal.aborted ? undefined : !this.hasFailed);
    this.parts.signal.removeEventListener('abort', this.onCancel);
  }

  private async drain(): Promise<void> {
    try {
      let step = await this.answer.pieces.next();
      while (step.done !== true) {
        step = await this.answer.pieces.next();
      }
    } catch {
      // The answer was complete; only its connection is lost.
    }
  }

  private endSilent(silentMilliseconds: number): void {
    this.parts.counters.silences += 1;
    this.answer.condemnConnections();
    this.abort.abort(
      new RelayError({
        kind: FailureKind.EndpointFailed,
        endpoint: this.endpoint.identifier,
        reason: `silent for ${Math.round(silentMilliseconds)} ms`,
        mayHaveRun: true,
      }),
    );
  }
}
