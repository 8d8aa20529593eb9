import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';

import { CallContext } from './CallContext.js';
import { CallDeadline } from './CallDeadline.js';
import { AttemptKind } from './EndpointLink.js';
import { EndpointResponseRelay } from './EndpointResponseRelay.js';
import {
  RETRY_AFTER_MILLISECONDS,
  MINIMUM_ATTEMPT_MILLISECONDS,
  MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS,
  RESPONSE_TIMEOUT_TARGET_MULTIPLE,
} from './ForwardingLimits.js';
import { GenerationRouting } from './GenerationRouting.js';
import { spreadRetryAfter } from './RequestAdmission.js';

import type { AdmittedRequest, Destination, ForwardedCallParts } from './CallContext.js';
import type { CallTrace } from './CallTrace.js';
import type { Attempt, EndpointResponse } from './EndpointLink.js';
import type { EndpointState } from './EndpointState.js';
import type { ForwardedRequest } from './ForwardedRequest.js';
import type { ResponseSink } from './ResponseSink.js';

const UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

/** First status of endpoint failures. */
const FIRST_ERROR = 500;
const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;

/** Statuses that promise that a request has not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Endpoints to which a connection is tried for one request; none of these was sent anything. */
const MOST_UNSENT_TRIES = 4;

/** How one send ended. */
const SendResult = {
  /** The answer is complete. */
  Done: 'done',
  /** The request has certainly not run at the endpoint. */
  NotRun: 'not-run',
  /** No byte of the request was sent. */
  NotSent: 'not-sent',
  /** The request may have run. */
  Failed: 'failed',
} as const;

type SendResult = (typeof SendResult)[keyof typeof SendResult];

/** One request on its way through endpoints, until its answer is complete or given up. */
export class ForwardedCall {
  private readonly call: CallContext;

  private readonly generation: GenerationRouting;

  private readonly relay: EndpointResponseRelay;

  /** True once the fate of a send is not known. */
  private mayHaveRun = false;

  constructor(
    parts: ForwardedCallParts,
    request: ForwardedRequest,
    admitted: AdmittedRequest,
    sink: ResponseSink,
    trace: CallTrace,
  ) {
    const deadline = new CallDeadline(parts.clock, request, admitted.route);
    this.call = new CallContext(parts, request, admitted, sink, trace, deadline);
    this.generation = new GenerationRouting(this.call);
    this.relay = new EndpointResponseRelay(this.call);
  }

  /** Answers the request. Returns the outcome for the log. */
  async run(): Promise<string> {
    const { parts, admitted, sink, deadline } = this.call;
    parts.budgets.addRequest(admitted.service);
    const stopWatching = deadline.watch(sink.gone);
    try {
      return sink.gone.aborted ? 'gone' : await this.attemptUntilDone();
    } finally {
      stopWatching();
    }
  }

  private async attemptUntilDone(): Promise<string> {
    const { deadline, trace, admitted, parts, tried } = this.call;
    let unsentTries = 0;
    for (;;) {
      if (deadline.signal.aborted || deadline.remaining() < MINIMUM_ATTEMPT_MILLISECONDS) {
        return this.giveUp('the time is over');
      }
      const destination = this.call.isGeneration
        ? await this.generation.plan()
        : this.chooseService();
      if (typeof destination === 'string') {
        return this.giveUp(destination);
      }
      if (trace.attempts > 0 && !parts.budgets.tryTake(admitted.service)) {
        this.dropMemory(destination);
        return this.giveUp('the retry budget is used up');
      }
      tried.add(destination.state);
      const result = await this.send(destination);
      if (result === SendResult.Done) {
        return 'done';
      }
      if (result !== SendResult.Failed) {
        this.dropMemory(destination);
      }
      if (result === SendResult.NotSent) {
        unsentTries += 1;
      } else {
        trace.attempts += 1;
        this.mayHaveRun ||= result === SendResult.Failed;
      }
      const isSpent = trace.attempts >= admitted.route.maximumAttempts;
      const isFinal = this.mayHaveRun && !this.call.isRetryable;
      if (isSpent || isFinal || unsentTries >= MOST_UNSENT_TRIES) {
        return this.giveUp('no attempt is left');
      }
    }
  }

  /** Chooses an endpoint of a plain service, or says why there is none. */
  private chooseService(): Destination | string {
    const { parts, admitted } = this.call;
    const states = parts.registry.readyEndpoints(admitted.service);
    const state = parts.services.choose(states, this.call.placementContext());
    return state === undefined
      ? 'no endpoint is left'
      : { state, prefillMilliseconds: 0, prefillTokens: 0 };
  }

  private attempt({ state, prefilledPrompt: memory, fetchFrom }: Destination): Attempt {
    const { request, admitted, deadline, isGeneration, lastEvent } = this.call;
    return {
      kind: AttemptKind.Run,
      endpoint: state.record,
      request,
      account: admitted.grant?.account,
      remainingMilliseconds: Math.floor(deadline.remaining()),
      priority: isGeneration ? this.generation.urgency : undefined,
      ...(memory === undefined ? {} : { prefilledPrompt: memory }),
      ...(fetchFrom === undefined ? {} : { fetchFrom }),
      lastEvent,
    };
  }

  private dropMemory({ prefilledPrompt: memory }: Destination): void {
    if (memory !== undefined) {
      this.generation.release(memory);
    }
  }

  private async send(destination: Destination): Promise<SendResult> {
    const { parts, deadline, trace } = this.call;
    const { state } = destination;
    const begun = parts.clock.monotonicMilliseconds();
    const silence = new AbortController();
    const cancelSilenceAlarm = this.watchSilence(silence);
    state.beginRequest(begun);
    try {
      const signal = AbortSignal.any([deadline.signal, silence.signal]);
      const answer = await parts.link.send(this.attempt(destination), signal);
      state.recordActivity(parts.clock.monotonicMilliseconds());
      if (answer.isNotRun || answer.isMisdirected) {
        return this.takeRejection(state, answer);
      }
      return await this.takeAnswer(destination, answer, begun, cancelSilenceAlarm);
    } catch (error) {
      return this.takeFailure(state, error);
    } finally {
      cancelSilenceAlarm();
      state.finishRequest();
      if (trace.steps.length === 0) {
        trace.note(`run ${state.record.identifier}`);
      }
    }
  }

  /** Aborts a send that may be repeated when the endpoint stays silent for long. */
  private watchSilence(silence: AbortController): () => void {
    const { route } = this.call.admitted;
    const hasAnotherAttempt = this.call.trace.attempts + 1 < route.maximumAttempts;
    if (!this.call.isRetryable || !hasAnotherAttempt) {
      return () => {};
    }
    const span = Math.max(
      MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS,
      route.latencyTargetMilliseconds * RESPONSE_TIMEOUT_TARGET_MULTIPLE,
    );
    return this.call.parts.clock.schedule(span, () => silence.abort());
  }

  private takeRejection(state: EndpointState, answer: EndpointResponse): SendResult {
    const now = this.call.parts.clock.monotonicMilliseconds();
    answer.discard();
    if (answer.isMisdirected) {
      // Another endpoint lives at the address; the list will say so after the next reading.
      state.eject(now);
    } else {
      state.recordDelay(this.call.admitted.route.latencyTargetMilliseconds, now);
    }
    this.call.trace.note(`run ${state.record.identifier}: not run, status ${answer.status}`);
    return SendResult.NotRun;
  }

  private takeFailure(state: EndpointState, error: unknown): SendResult {
    const { parts, deadline, trace } = this.call;
    const failure = failureOf(error);
    trace.note(`run ${state.record.identifier}: ${describeFailure(failure)}`);
    const isUnsent = failure.kind === FailureKind.EndpointFailed && !failure.mayHaveRun;
    if (!deadline.signal.aborted) {
      state.recordFailure(parts.clock.monotonicMilliseconds());
    }
    if (!isUnsent) {
      this.call.recordUsage();
    }
    return isUnsent ? SendResult.NotSent : SendResult.Failed;
  }

  /** Passes an answer on, or drops one that is not for the caller. */
  private async takeAnswer(
    destination: Destination,
    answer: EndpointResponse,
    begun: number,
    cancelSilenceAlarm: () => void,
  ): Promise<SendResult> {
    const { parts, admitted, trace } = this.call;
    const { state } = destination;
    const isSuccess = answer.status >= FIRST_SUCCESS && answer.status < FIRST_REDIRECT;
    if (!isSuccess) {
      trace.note(`run ${state.record.identifier}: status ${answer.status}`);
    }
    if (this.isUnfit(answer, isSuccess)) {
      answer.discard();
      state.recordFailure(parts.clock.monotonicMilliseconds());
      this.call.recordUsage();
      return SendResult.Failed;
    }
    if (admitted.route.isStreaming && isSuccess) {
      await this.relay.relayStream(destination, answer, begun, cancelSilenceAlarm);
    } else {
      cancelSilenceAlarm();
      await this.relay.relayBuffered(destination, answer, begun);
    }
    const now = parts.clock.monotonicMilliseconds();
    if (answer.status >= FIRST_ERROR) {
      state.recordFailure(now);
    } else {
      state.recordSuccess(now);
    }
    return SendResult.Done;
  }

  /**
   * True for answers that are not passed on: a success that the endpoint did not sign, a promise that
   * the request has not run without the statement of it, a failure where another attempt is left, and
   * a failure within a stream that has begun.
   */
  private isUnfit(answer: EndpointResponse, isSuccess: boolean): boolean {
    if (isSuccess) {
      return !answer.isSigned;
    }
    return (
      this.call.sink.hasStarted ||
      PROMISES.has(answer.status) ||
      (answer.status >= FIRST_ERROR && this.canSendAgain())
    );
  }

  private canSendAgain(): boolean {
    const { trace, admitted, deadline } = this.call;
    return (
      this.call.isRetryable &&
      trace.attempts + 1 < admitted.route.maximumAttempts &&
      deadline.remaining() > MINIMUM_ATTEMPT_MILLISECONDS
    );
  }

  /** Ends a request that no endpoint answered. */
  private giveUp(reason: string): string {
    const { sink, trace, deadline, parts } = this.call;
    trace.note(reason);
    if (sink.gone.aborted) {
      return 'gone';
    }
    if (sink.hasStarted) {
      sink.abort();
      return 'broken-off';
    }
    if (this.mayHaveRun) {
      const status = deadline.hasExpired ? GATEWAY_TIMEOUT : BAD_GATEWAY;
      sink.answer({ status, reason });
      return `own-${status}`;
    }
    sink.answer({
      status: UNAVAILABLE,
      reason,
      retryAfterMilliseconds: spreadRetryAfter(RETRY_AFTER_MILLISECONDS.NoCapacity, parts.random),
    });
    return `own-${UNAVAILABLE}`;
  }
}
