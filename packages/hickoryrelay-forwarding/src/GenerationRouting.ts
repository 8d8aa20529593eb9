import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { failureOf } from 'hickoryrelay/RelayError';

import { AttemptKind } from './EndpointLink.js';
import { summarizePrompt } from './EnginePlacement.js';
import { FIRST_EVENT_TIMEOUT_FRACTION, LATE_PRIORITY } from './ForwardingLimits.js';

import type { CallContext, Destination } from './CallContext.js';
import type { Attempt, PrefilledPrompt } from './EndpointLink.js';
import type { EndpointState } from './EndpointState.js';
import type { GenerationPlan, PromptSummary } from './EnginePlacement.js';

/** Limit on the prefill engines that are tried for one request. */
const MAXIMUM_PREFILL_ATTEMPTS = 2;

/** Reason why a remote prefill has ended early. */
const UNNEEDED = 'the prefill is not needed';

/** Reason why a request with quarantined prompt segments is not sent. */
const QUARANTINED = 'a prompt segment is quarantined';

/** Reason why a request is not sent after its prefills have failed. */
export const NOT_PREFILLED = 'the prompt could not be read';

/** Chooses the engines of one generation and runs its remote prefill. */
export class GenerationRouting {
  private readonly call: CallContext;

  /** True once the first event is expected after the latency target. */
  private isLate = false;

  /** The prefilled prompt of a run that was not sent, for the next attempt. */
  private kept: PrefilledPrompt | undefined;

  constructor(call: CallContext) {
    this.call = call;
  }

  /** Priority of the request at engines, 0 is the highest. */
  get priority(): number {
    const { route, grant } = this.call.admitted;
    return this.isLate ? LATE_PRIORITY : (grant?.priority ?? route.priority);
  }

  /**
   * Chooses the decode engine, after a remote prefill if that is planned. Returns the reason if no
   * engine is left or none can respond in time; the request has not run then. The signal ends a
   * remote prefill that is no longer needed.
   */
  async plan(signal: AbortSignal): Promise<Destination | string> {
    const prompt = summarizePrompt(this.call.request.promptSegments);
    const { kept } = this;
    if (kept !== undefined) {
      this.kept = undefined;
      const destination = this.decodeDestination(kept, prompt);
      if (destination !== undefined) {
        return destination;
      }
    }
    for (let attempts = 0; attempts < MAXIMUM_PREFILL_ATTEMPTS; attempts += 1) {
      const plan = this.choosePlan(prompt);
      if (typeof plan === 'string') {
        return plan;
      }
      if (plan.prefillEngine === undefined) {
        return {
          state: plan.engine,
          prefillMilliseconds: plan.prefillMilliseconds,
          prefillTokens: plan.source === undefined ? plan.prefillTokens : 0,
          fetchFrom: plan.source?.record.address,
        };
      }
      const prefilledPrompt = await this.prefill(plan, prompt, signal);
      const destination = prefilledPrompt && this.decodeDestination(prefilledPrompt, prompt);
      if (destination !== undefined) {
        return destination;
      }
      if (this.call.deadline.signal.aborted) {
        return this.call.deadline.endReason;
      }
      if (signal.aborted) {
        return UNNEEDED;
      }
      this.call.tried.add(plan.prefillEngine);
      // A prefill that was refused, failed or is of no use makes the next one a retry.
      if (!this.call.parts.budgets.tryTake(this.call.admitted.service)) {
        return 'the retry budget is used up';
      }
    }
    return NOT_PREFILLED;
  }

  /** True if an engine could be chosen now. */
  hasPlan(): boolean {
    return typeof this.choosePlan(summarizePrompt(this.call.request.promptSegments)) !== 'string';
  }

  /** Chooses engines, or returns the reason if none is left or none can begin in time. */
  private choosePlan(prompt: PromptSummary): GenerationPlan | string {
    if (this.call.quarantinedGroup !== undefined) {
      return QUARANTINED;
    }
    const { engines } = this.call.parts;
    const { deadline, acceptingEndpoints: states } = this.call;
    let plan = engines.plan(states, prompt, false, this.call.placementContext());
    if (plan !== undefined && deadline.wouldBeLate(plan.firstTokenMilliseconds)) {
      this.isLate = true;
      plan = engines.plan(states, prompt, true, this.call.placementContext());
    }
    if (plan === undefined) {
      return this.call.noEndpointReason;
    }
    const expectedMilliseconds = Math.round(plan.firstTokenMilliseconds);
    return expectedMilliseconds > deadline.firstEventTimeout() * FIRST_EVENT_TIMEOUT_FRACTION
      ? `no engine can begin in time, the best in ${expectedMilliseconds} ms`
      : plan;
  }

  /** Keeps the prefilled prompt of a run that was not sent, for the next attempt. */
  keep(prefilledPrompt: PrefilledPrompt | undefined): void {
    if (prefilledPrompt !== undefined) {
      this.releaseKept();
      this.kept = prefilledPrompt;
    }
  }

  /** Frees the KV cache of a prefilled prompt that is kept, if any. */
  releaseKept(): void {
    if (this.kept !== undefined) {
      this.release(this.kept);
      this.kept = undefined;
    }
  }

  /** Frees the KV cache of a prefilled prompt that no engine will fetch. */
  release(prefilledPrompt: PrefilledPrompt): void {
    const { registry, clock } = this.call.parts;
    const now = clock.monotonicMilliseconds();
    const holders = registry.atAddress(prefilledPrompt.address);
    const isAllowed =
      holders.every(({ availability }) => availability.allowsRequest(now)) &&
      holders.every(({ availability }) => availability.rateLimit.tryTake(now));
    if (!isAllowed) {
      // The cache of an engine that takes no requests is freed when its handle expires.
      return;
    }
    this.call.parts.link.release(prefilledPrompt).catch((error: unknown) => {
      this.call.trace.addStep(`release: ${describeFailure(failureOf(error))}`);
    });
  }

  /**
   * Chooses the engine that receives a prefilled prompt, or releases the prompt. Returns undefined if there are only
   * engines of other software versions, which need a prefill of their own.
   */
  private decodeDestination(
    prefilledPrompt: PrefilledPrompt,
    prompt: PromptSummary,
  ): Destination | string | undefined {
    const { engines } = this.call.parts;
    // Engines may have left or filled up, or a segment been quarantined, during the prefill.
    const { acceptingEndpoints } = this.call;
    const states = acceptingEndpoints.filter(
      ({ record }) => record.softwareVersion === prefilledPrompt.softwareVersion,
    );
    const context = this.call.placementContext();
    const state = engines.chooseDecodeEngine(states, prompt, context);
    const isQuarantined = this.call.quarantinedGroup !== undefined;
    if (state !== undefined && !isQuarantined) {
      return { state, prefillMilliseconds: 0, prefillTokens: 0, prefilledPrompt };
    }
    this.release(prefilledPrompt);
    if (isQuarantined) {
      return QUARANTINED;
    }
    const other = engines.chooseDecodeEngine(acceptingEndpoints, prompt, context);
    return other === undefined ? this.call.noEndpointReason : undefined;
  }

  /** Prefills the prompt at the plan's prefill engine. Returns undefined if that fails. */
  private async prefill(
    plan: GenerationPlan,
    prompt: PromptSummary,
    callerSignal: AbortSignal,
  ): Promise<PrefilledPrompt | undefined> {
    const { link, clock } = this.call.parts;
    const { prefillEngine, prefillTokens } = plan;
    invariant(prefillEngine !== undefined, 'The plan has no prefill engine.');
    const { identifier } = prefillEngine.record;
    const sentMilliseconds = clock.monotonicMilliseconds();
    const prefillTimeout = new AbortController();
    const cancelTimer = clock.schedule(Math.max(0, this.call.deadline.firstEventTimeout()), () =>
      prefillTimeout.abort(),
    );
    const attempt = this.prefillAttempt(prefillEngine, plan.source);
    const isQueueEmpty = prefillEngine.queuedPrefillTokens(true) === 0;
    const releaseReservation = prefillEngine.reservePrefill(prefillTokens, this.isLate);
    prefillEngine.beginRequest(sentMilliseconds);
    // Requests with the same segment that arrive during the prefill wait for it instead of repeating it.
    this.call.recordCachedSegment(prefillEngine, prompt);
    try {
      const signal = AbortSignal.any([
        this.call.deadline.signal,
        prefillTimeout.signal,
        callerSignal,
      ]);
      const prefilledPrompt = GenerationRouting.markUnknown(
        attempt,
        await link.prefill(attempt, signal),
      );
      const now = clock.monotonicMilliseconds();
      prefillEngine.recordActivity(now);
      if (prefilledPrompt === undefined) {
        prefillEngine.recordDelay(this.call.admitted.route.latencyTargetMilliseconds, now);
        prefillEngine.speed.work.recordRejection();
        this.call.trace.addStep(`prefill ${identifier}: refused`);
      } else {
        prefillEngine.recordSuccess(now);
        prefillEngine.recordDelay(
          Math.max(0, now - sentMilliseconds - plan.prefillMilliseconds),
          now,
        );
        if (isQueueEmpty) {
          this.recordUnqueuedPrefill(plan, now - sentMilliseconds, now);
        }
        this.call.trace.addStep(
          `prefill ${identifier}: ${prefillTokens} of ${prompt.tokens} tokens, ${plan.source === undefined ? '' : 'fetched, '}${Math.round(now - sentMilliseconds)} ms`,
        );
      }
      return prefilledPrompt;
    } catch (error) {
      if (!this.call.deadline.signal.aborted && !callerSignal.aborted) {
        prefillEngine.recordFailure(clock.monotonicMilliseconds());
      }
      const failure = failureOf(error);
      if (failure.kind === FailureKind.EndpointFailed && !failure.mayHaveRun) {
        this.call.recordUnreached();
      }
      this.call.trace.addStep(`prefill ${identifier}: ${describeFailure(failure)}`);
      return undefined;
    } finally {
      cancelTimer();
      releaseReservation();
      attempt.permit.end();
      prefillEngine.finishRequest();
    }
  }

  /** Records with a prefilled prompt that its engine did not state its start. */
  private static markUnknown(
    { incarnationCheck }: Attempt,
    prefilledPrompt: PrefilledPrompt | undefined,
  ): PrefilledPrompt | undefined {
    return prefilledPrompt !== undefined && incarnationCheck?.isUnknown === true
      ? { ...prefilledPrompt, isVersionUnknown: true }
      : prefilledPrompt;
  }

  /** Learns from a prefill before which no other was queued. */
  private recordUnqueuedPrefill(
    { prefillEngine, prefillTokens, source }: GenerationPlan,
    milliseconds: number,
    now: number,
  ): void {
    const { prefillRate, registry } = this.call.parts;
    invariant(prefillEngine !== undefined, 'The plan has no prefill engine.');
    const { speed } = prefillEngine;
    prefillRate.recordRemote(prefillTokens, milliseconds, speed.relative);
    if (source === undefined) {
      registry.workload.recordPrefill(speed.endpoint, prefillTokens, milliseconds, now);
    }
  }

  private prefillAttempt(prefillEngine: EndpointState, source: EndpointState | undefined): Attempt {
    const { request, admitted, deadline, lastEvent } = this.call;
    return {
      kind: AttemptKind.Prefill,
      endpoint: prefillEngine.record,
      ...this.call.bindAttempt(prefillEngine),
      request,
      account: admitted.grant?.account,
      remainingMilliseconds: Math.floor(deadline.remaining()),
      priority: this.priority,
      ...(source === undefined ? {} : { fetchFrom: source.record.address }),
      lastEvent,
    };
  }
}
