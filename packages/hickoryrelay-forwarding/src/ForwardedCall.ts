import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';

import { AttemptTimeout } from './AttemptTimeout.js';
import { CallContext } from './CallContext.js';
import { CallDeadline, EndReason } from './CallDeadline.js';
import { CallRelay } from './CallRelay.js';
import { AttemptResult, EndpointAttempts } from './EndpointAttempts.js';
import {
  HONOURED_RETRY_FRACTION,
  MINIMUM_ATTEMPT_MILLISECONDS,
  MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS,
  RESPONSE_TIMEOUT_TARGET_MULTIPLE,
  RETRY_AFTER_MILLISECONDS,
  STALLED_STREAM_FRACTION,
} from './ForwardingLimits.js';
import { GenerationRouting } from './GenerationRouting.js';
import { HedgedAttempts } from './HedgedAttempts.js';
import { addRetryAfterJitter } from './RequestAdmission.js';

import type { AdmittedRequest, Destination, ForwardedCallParts } from './CallContext.js';
import type { CallTrace } from './CallTrace.js';
import type { CapacityPermit } from './CapacityAdmission.js';
import type { RelayObserver, EndpointResponseRelay } from './EndpointResponseRelay.js';
import type { ForwardedRequest } from './ForwardedRequest.js';
import type { PreparedAttempt } from './HedgedAttempts.js';
import type { OpenAttempt } from './OpenAttempt.js';
import type { ResponseSink } from './ResponseSink.js';
import type { ReturnTime } from './ReturnSchedule.js';
import type { QuarantinedGroup } from './SegmentQuarantine.js';

const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

/** Sends one admitted request to endpoints until a response is complete or no attempt is left. */
export class ForwardedCall {
  private readonly call: CallContext;

  private readonly generation: GenerationRouting;

  private readonly attempts: EndpointAttempts;

  private readonly hedges: HedgedAttempts;

  private readonly relay: CallRelay;

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
    this.attempts = new EndpointAttempts(this.call, this.generation);
    this.relay = new CallRelay(this.call);
    this.hedges = new HedgedAttempts({
      attempts: this.attempts,
      trace,
      watch: (handleOverdue) => {
        const timeout = new AttemptTimeout(parts.clock, handleOverdue);
        this.startResponseTimeout(timeout);
        return () => timeout.cancel();
      },
    });
  }

  /** Responds to the request. Returns the outcome for the log and the metrics. */
  async run(): Promise<string> {
    const { parts, admitted, sink, deadline } = this.call;
    if (!parts.shutdown.canAnswerBy(deadline.endMilliseconds)) {
      this.call.trace.addStep(EndReason.Stopping);
      // Another instance may serve a request that has been passed on to this one.
      const { isReceiver } = this.relay;
      return this.refuse(EndReason.Stopping, RETRY_AFTER_MILLISECONDS.Stopping, isReceiver);
    }
    const isRelayed = this.relay.shouldReplaceAttempts();
    const stopDeadline = deadline.watch(sink, parts.shutdown);
    try {
      const isGone = sink.gone.aborted;
      if (isRelayed && !isGone) {
        return await this.passOn('the endpoints cannot be reached');
      }
      const refusal =
        this.call.resumesStream && !isGone ? await this.refuseUnknownOrigin() : undefined;
      // The service of a resumption is known only now.
      parts.budgets.addRequest(this.call.admitted.service);
      if (isGone) {
        admitted.quotaTake?.giveBack();
        return sink.goneOutcome;
      }
      return refusal ?? (await this.attemptUntilDone());
    } finally {
      this.call.endStream();
      await this.hedges.close();
      this.generation.releaseKept();
      stopDeadline();
    }
  }

  /**
   * Refuses to resume a stream if it is not known which software version began it, since endpoints do not check
   * that. Returns the outcome if the call has ended with it.
   */
  private async refuseUnknownOrigin(): Promise<string | undefined> {
    try {
      return (await this.call.findOrigin())
        ? undefined
        : this.fail(
            'it is not known which software version began the stream',
            RETRY_AFTER_MILLISECONDS.UnknownOrigin,
          );
    } catch (error) {
      return this.fail(describeFailure(failureOf(error)));
    }
  }

  private async attemptUntilDone(): Promise<string> {
    for (;;) {
      const successor = this.hedges.isActive ? await this.hedges.takeSuccessor() : undefined;
      const outcome =
        successor === undefined ? await this.makeAttempt() : await this.adopt(successor);
      if (outcome !== undefined) {
        return outcome;
      }
    }
  }

  /** Makes one attempt, if it is admitted. Returns the outcome if the call has ended with it. */
  private async makeAttempt(): Promise<string | undefined> {
    const { deadline, parts } = this.call;
    const { exhaustedReason } = this.attempts;
    if (exhaustedReason !== undefined) {
      return this.endUnsent(exhaustedReason);
    }
    if (deadline.signal.aborted || deadline.remaining() < MINIMUM_ATTEMPT_MILLISECONDS) {
      return this.fail(deadline.endReason);
    }
    const permit = parts.capacity.tryAdmit(this.call) ?? (await this.waitForRoom());
    return typeof permit === 'string' ? this.fail(permit) : this.makeAdmittedAttempt(permit);
  }

  private async makeAdmittedAttempt(permit: CapacityPermit): Promise<string | undefined> {
    let attempt: OpenAttempt | undefined;
    let reason: string;
    try {
      const choice = this.attempts.choose(this.call.deadline.signal);
      const started = this.startAttempt(choice instanceof Promise ? await choice : choice);
      if (typeof started !== 'string') {
        attempt = started;
        return await this.relayAttempt(attempt);
      }
      reason = started;
    } finally {
      permit.end(attempt?.hasBegun === true ? attempt.state : undefined);
    }
    const group = this.call.quarantinedGroup;
    return group === undefined ? this.endUnsent(reason) : this.refuseQuarantined(group);
  }

  /** Waits for room at the endpoints. Returns the reason if the call is refused. */
  private async waitForRoom(): Promise<CapacityPermit | string> {
    const { deadline, parts, trace } = this.call;
    const startMilliseconds = parts.clock.monotonicMilliseconds();
    const permit = await parts.capacity.wait(this.call);
    const elapsedMilliseconds = parts.clock.monotonicMilliseconds() - startMilliseconds;
    if (elapsedMilliseconds > 0) {
      trace.addStep(`waited ${Math.round(elapsedMilliseconds)} ms for room`);
    }
    if (typeof permit !== 'string' && deadline.signal.aborted) {
      permit.end(undefined);
      return deadline.endReason;
    }
    return permit;
  }

  /** Starts an attempt at the endpoint that was chosen. Returns the reason if none is made. */
  private startAttempt(destination: Destination | string): OpenAttempt | string {
    return typeof destination === 'string' ? destination : this.attempts.start(destination);
  }

  /** Relays the response of an attempt that has been started. Returns the outcome if the call has ended with it. */
  private relayAttempt(attempt: OpenAttempt): Promise<string | undefined> {
    const timeout = new AttemptTimeout(this.call.parts.clock, () => this.hedges.start());
    this.startResponseTimeout(timeout);
    return this.relayResponse(attempt, timeout, () =>
      this.attempts.prepare(attempt, () => timeout.cancel()),
    );
  }

  /** Relays the response of a hedge that has taken the request. */
  private adopt({ attempt, relay }: PreparedAttempt): Promise<string | undefined> {
    const timeout = new AttemptTimeout(this.call.parts.clock, () => this.hedges.start());
    return this.relayResponse(attempt, timeout, async () => relay);
  }

  /** Relays the response of an attempt. Returns the outcome if the call has ended with it. */
  private async relayResponse(
    attempt: OpenAttempt,
    timeout: AttemptTimeout,
    prepare: () => Promise<EndpointResponseRelay | AttemptResult>,
  ): Promise<string | undefined> {
    const { trace } = this.call;
    let relay: EndpointResponseRelay | undefined;
    let result: AttemptResult;
    this.hedges.setCurrent(attempt);
    try {
      const prepared = await prepare();
      if (typeof prepared !== 'string') {
        relay = prepared;
        await relay.relay(this.observe(timeout));
        this.attempts.recordRelayed(attempt, relay);
        return 'done';
      }
      result = prepared;
    } catch (error) {
      result = await this.attempts.resultOf(attempt, error);
    } finally {
      timeout.cancel();
      this.hedges.setCurrent(undefined);
      relay?.discard();
      attempt.close();
      if (trace.steps.length === 0) {
        trace.addStep(`run ${attempt.state.record.identifier}`);
      }
    }
    this.attempts.recordResult(attempt, result);
    return result === AttemptResult.Crashed && this.isSuspect
      ? this.fail('a prompt segment may have crashed the engine')
      : undefined;
  }

  /** Hedges are given up when the endpoint continues, and may start when it falls silent. */
  private observe(timeout: AttemptTimeout): RelayObserver {
    return {
      onArrival: () => {
        timeout.pause();
        this.hedges.cancel();
      },
      onWritten: (isFirst) => this.watchForStall(timeout, isFirst),
    };
  }

  /** Hedges a retryable attempt if no response begins in time. */
  private startResponseTimeout(timeout: AttemptTimeout): void {
    const { route } = this.call.admitted;
    if (this.call.isRetryable && this.call.hasAnotherAttempt) {
      timeout.start(
        Math.max(
          MINIMUM_RESPONSE_TIMEOUT_MILLISECONDS,
          route.latencyTargetMilliseconds * RESPONSE_TIMEOUT_TARGET_MULTIPLE,
        ),
      );
    }
  }

  /** After an event, waits for the next one if another endpoint could resume the stream. */
  private watchForStall(timeout: AttemptTimeout, isFirst: boolean): void {
    if (!this.call.isRetryable || !this.call.hasAnotherAttempt) {
      timeout.cancel();
    } else if (isFirst) {
      timeout.start(this.call.deadline.eventTimeoutMilliseconds * STALLED_STREAM_FRACTION);
    } else {
      timeout.recordProgress();
    }
  }

  private get isSuspect(): boolean {
    const { parts, sharedSegmentHashes } = this.call;
    return parts.quarantine.isSuspect(sharedSegmentHashes);
  }

  /** Ends a request for which no further attempt is made. Returns the outcome. */
  private async endUnsent(reason: string): Promise<string> {
    return this.attempts.isUnreached(reason) ? this.passOn(reason) : this.fail(reason);
  }

  /** Passes on a request that has not run, or refuses it if another instance has passed it on. Returns the outcome. */
  private async passOn(reason: string): Promise<string> {
    if (this.relay.isReceiver) {
      this.call.trace.addStep(reason);
      return this.refuse(reason, RETRY_AFTER_MILLISECONDS.NoCapacity, true);
    }
    const failure = await this.relay.run();
    if (failure !== undefined) {
      return this.fail(`${reason}: ${failure}`);
    }
    this.call.trace.addStep(reason);
    return 'relayed';
  }

  /** Refuses a request with quarantined prompt segments. Returns the outcome. */
  private refuseQuarantined({ segments, crashes }: QuarantinedGroup): string {
    const { parts, sharedSegments, sharedSegmentHashes } = this.call;
    parts.quarantine.recordRefusal(segments);
    const names = sharedSegments
      .filter((_segment, index) => segments.includes(sharedSegmentHashes[index] as number))
      .map(({ identifier }) => identifier);
    return this.fail(
      `prompt segment ${names.join(' ')} is quarantined after ${crashes} crashes`,
      RETRY_AFTER_MILLISECONDS.Quarantined,
    );
  }

  /** Ends a request without a complete response from an endpoint. Returns the outcome. */
  private fail(reason: string, retryAfterMilliseconds?: number): string {
    const { sink, trace, deadline } = this.call;
    trace.addStep(reason);
    if (sink.gone.aborted) {
      if (trace.attempts === 0 && this.call.openAttempts === 0 && !this.attempts.mayHaveRun) {
        this.call.admitted.quotaTake?.giveBack();
      }
      return sink.goneOutcome;
    }
    if (sink.hasSent) {
      sink.abort();
      return 'broken-off';
    }
    if (this.attempts.mayHaveRun || this.relay.mayHaveRun) {
      const status = deadline.hasExpired ? GATEWAY_TIMEOUT : BAD_GATEWAY;
      sink.answer({ status, reason });
      return `own-${status}`;
    }
    const isStopping = deadline.endReason === EndReason.Stopping;
    return this.refuse(
      reason,
      isStopping
        ? RETRY_AFTER_MILLISECONDS.Stopping
        : (retryAfterMilliseconds ?? this.nextReturn()),
    );
  }

  /** Refuses a request that has not run. Returns the outcome. */
  private refuse(reason: string, retryAfter: number | ReturnTime, isUnreachable = false): string {
    const { sink, parts, admitted } = this.call;
    admitted.quotaTake?.giveBack();
    const { milliseconds, isInSequence } =
      typeof retryAfter === 'number'
        ? { milliseconds: retryAfter, isInSequence: false }
        : retryAfter;
    const retryAfterMilliseconds = isInSequence
      ? milliseconds
      : addRetryAfterJitter(milliseconds, parts.random);
    sink.answer({
      status: SERVICE_UNAVAILABLE,
      reason,
      retryAfterMilliseconds,
      ...(isUnreachable ? { isUnreachable } : {}),
    });
    return `own-${SERVICE_UNAVAILABLE}`;
  }

  private nextReturn(): ReturnTime {
    const { returns, clock, capacity } = this.call.parts;
    return returns.next(
      this.call.admitted.service,
      clock.monotonicMilliseconds(),
      this.call.deadline.remaining() * HONOURED_RETRY_FRACTION,
      capacity.shortageDrainPerSecond(this.call),
    );
  }
}
