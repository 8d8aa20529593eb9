import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';

import { AttemptKind } from './EndpointLink.js';
import { promptTokensOf } from './ForwardedRequest.js';
import { Repetition } from './ForwardingConfiguration.js';
import {
  ANSWER_MARGIN_MILLISECONDS,
  HELD_ANSWER_BYTES,
  READING_TIME_SHARE,
  RETRY_AFTER_MILLISECONDS,
  SEPARATE_READING_TOKENS,
  SHORTEST_ATTEMPT_MILLISECONDS,
  SHORTEST_SILENCE_MILLISECONDS,
  SILENCE_TARGET_MULTIPLE,
} from './ForwardingLimits.js';
import { spreadRetryAfter } from './RequestAdmission.js';
import { StreamEvents } from './StreamEvents.js';

import type { AnswerSink } from './AnswerSink.js';
import type { CallTrace } from './CallTrace.js';
import type { Attempt, EndpointAnswer, EndpointLink, PromptMemory } from './EndpointLink.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { ForwardedRequest } from './ForwardedRequest.js';
import type { Placement, PlacementContext } from './Placement.js';
import type { AdmissionResult } from './RequestAdmission.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { UsageTally } from './UsageTally.js';
import type { ConfirmedView } from './ConfirmedView.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';

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

/** What a call works with. */
export interface ForwardedCallParts {
  readonly zone: string;
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly placement: Placement;
  readonly link: EndpointLink;
  readonly budgets: RetryBudgets;
  readonly tally: UsageTally;
  /** The steady clock. */
  readonly clock: Clock;
  readonly random: RandomSource;
}

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
  private readonly parts: ForwardedCallParts;

  private readonly request: ForwardedRequest;

  private readonly admitted: AdmissionResult & { kind: 'admitted' };

  private readonly sink: AnswerSink;

  private readonly trace: CallTrace;

  private readonly tried = new Set<EndpointState>();

  /** Aborts at the deadline or when the caller has gone. */
  private readonly ending = new AbortController();

  private readonly deadlineMilliseconds: number;

  private isOverdue = false;

  /** True once the fate of a send is not known. */
  private mayHaveRun = false;

  /** Last event that the caller has. */
  private lastEvent: string | undefined;

  constructor(
    parts: ForwardedCallParts,
    request: ForwardedRequest,
    admitted: AdmissionResult & { kind: 'admitted' },
    sink: AnswerSink,
    trace: CallTrace,
  ) {
    this.parts = parts;
    this.request = request;
    this.admitted = admitted;
    this.sink = sink;
    this.trace = trace;
    this.lastEvent = request.lastEvent;
    const patience = request.patienceMilliseconds ?? Number.POSITIVE_INFINITY;
    this.deadlineMilliseconds =
      request.arrivedMilliseconds + Math.min(patience, admitted.route.timeoutMilliseconds);
  }

  /** Answers the request. Returns the outcome for the log. */
  async run(): Promise<string> {
    const { clock, budgets } = this.parts;
    const { service } = this.admitted;
    budgets.addRequest(service);
    const onGone = () => this.ending.abort();
    this.sink.gone.addEventListener('abort', onGone, { once: true });
    const cancelAlarm = clock.schedule(Math.max(0, this.remaining()), () => {
      this.isOverdue = true;
      this.ending.abort();
    });
    try {
      if (this.sink.gone.aborted) {
        return 'gone';
      }
      return await this.attemptUntilDone();
    } finally {
      cancelAlarm();
      this.sink.gone.removeEventListener('abort', onGone);
    }
  }

  private get isRepeatable(): boolean {
    return this.admitted.route.repetition !== Repetition.AtMostOnce;
  }

  private remaining(): number {
    return (
      this.deadlineMilliseconds -
      ANSWER_MARGIN_MILLISECONDS -
      this.parts.clock.monotonicMilliseconds()
    );
  }

  private async attemptUntilDone(): Promise<string> {
    let unsentTries = 0;
    let memory = await this.readSeparately();
    try {
      for (;;) {
        if (this.ending.signal.aborted || this.remaining() < SHORTEST_ATTEMPT_MILLISECONDS) {
          return this.giveUp('the time is over');
        }
        const state = this.choose();
        if (state === undefined) {
          return this.giveUp('no endpoint is left');
        }
        if (this.trace.attempts > 0 && !this.parts.budgets.tryTake(this.admitted.service)) {
          return this.giveUp('the retry budget is used up');
        }
        this.tried.add(state);
        const handed = memory;
        memory = undefined;
        const result = await this.send(state, handed);
        if (result === SendResult.Done) {
          return 'done';
        }
        if (result === SendResult.NotSent) {
          unsentTries += 1;
          memory = handed;
        } else {
          this.trace.attempts += 1;
          this.mayHaveRun ||= result === SendResult.Failed;
          if (handed !== undefined && result === SendResult.NotRun) {
            this.releaseMemory(handed);
          }
        }
        const isSpent = this.trace.attempts >= this.admitted.route.maximumAttempts;
        if (isSpent || unsentTries >= MOST_UNSENT_TRIES || (this.mayHaveRun && !this.isRepeatable)) {
          return this.giveUp('no attempt is left');
        }
      }
    } finally {
      if (memory !== undefined) {
        this.releaseMemory(memory);
      }
    }
  }

  private context(): PlacementContext {
    const { zone, random, clock } = this.parts;
    return { zone, random, now: clock.monotonicMilliseconds(), tried: this.tried };
  }

  private get isGeneration(): boolean {
    return this.parts.view.configuration?.services.get(this.admitted.service)?.engine !== undefined;
  }

  private choose(): EndpointState | undefined {
    const { registry, placement } = this.parts;
    const states = registry.readyOf(this.admitted.service);
    return this.isGeneration
      ? placement.chooseEngine(states, this.context())
      : placement.chooseService(states, this.context());
  }

  private attempt(kind: AttemptKind, state: EndpointState, memory?: PromptMemory): Attempt {
    const { route, grant } = this.admitted;
    return {
      kind,
      endpoint: state.record,
      request: this.request,
      account: grant?.account,
      remainingMilliseconds: Math.floor(this.remaining()),
      urgency: this.isGeneration ? (grant?.priority ?? route.priority) : undefined,
      memory,
      lastEvent: this.lastEvent,
    };
  }

  /** Has a long prompt read by an engine of its own. Undefined if the prompt is read in place. */
  private async readSeparately(): Promise<PromptMemory | undefined> {
    const { registry, placement, link, clock } = this.parts;
    const tokens = promptTokensOf(this.request);
    if (!this.isGeneration || tokens < SEPARATE_READING_TOKENS) {
      return undefined;
    }
    const states = registry.readyOf(this.admitted.service);
    const reader = placement.chooseReader(states, this.request, this.context());
    if (reader === undefined) {
      return undefined;
    }
    const begun = clock.monotonicMilliseconds();
    const limit = new AbortController();
    const cancelAlarm = clock.schedule(this.remaining() * READING_TIME_SHARE, () => limit.abort());
    reader.readingTokens += tokens;
    reader.begin(begun);
    try {
      const signal = AbortSignal.any([this.ending.signal, limit.signal]);
      const memory = await link.readPrompt(this.attempt(AttemptKind.ReadPrompt, reader), signal);
      const now = clock.monotonicMilliseconds();
      reader.hear(now);
      if (memory === undefined) {
        reader.recordFailure(now);
        reader.recordDelay(this.admitted.route.latencyTargetMilliseconds, now);
        // A read that was refused counts as an arrival beyond the first.
        this.parts.budgets.tryTake(this.admitted.service);
        this.trace.note(`read ${reader.record.identifier}: refused`);
      } else {
        reader.recordSuccess(now);
        this.trace.note(`read ${reader.record.identifier}: ${Math.round(now - begun)} ms`);
      }
      return memory;
    } catch (error) {
      this.parts.budgets.tryTake(this.admitted.service);
      if (!this.ending.signal.aborted) {
        reader.recordFailure(clock.monotonicMilliseconds());
      }
      this.trace.note(`read ${reader.record.identifier}: ${describeFailure(failureOf(error))}`);
      return undefined;
    } finally {
      cancelAlarm();
      reader.readingTokens -= tokens;
      reader.finish();
    }
  }

  private releaseMemory(memory: PromptMemory): void {
    this.parts.link.release(memory).catch((error: unknown) => {
      this.trace.note(`release: ${describeFailure(failureOf(error))}`);
    });
  }

  private async send(state: EndpointState, memory?: PromptMemory): Promise<SendResult> {
    const { link, clock } = this.parts;
    const { identifier } = state.record;
    const begun = clock.monotonicMilliseconds();
    const silence = new AbortController();
    const cancelAlarm = this.watchSilence(silence);
    state.begin(begun);
    try {
      const signal = AbortSignal.any([this.ending.signal, silence.signal]);
      const attempt = this.attempt(AttemptKind.Run, state, memory);
      const answer = await link.send(attempt, signal);
      state.hear(clock.monotonicMilliseconds());
      if (answer.isNotRun || answer.isMisdirected) {
        return this.takeRejection(state, answer);
      }
      return await this.relay(state, answer, begun, cancelAlarm);
    } catch (error) {
      return this.takeFailure(state, error);
    } finally {
      cancelAlarm();
      state.finish();
      if (this.trace.steps.length === 0) {
        this.trace.note(`run ${identifier}`);
      }
    }
  }

  /** Aborts a send that may be repeated when the endpoint stays silent for long. */
  private watchSilence(silence: AbortController): () => void {
    const { route } = this.admitted;
    const hasAnotherAttempt = this.trace.attempts + 1 < route.maximumAttempts;
    if (!this.isRepeatable || !hasAnotherAttempt) {
      return () => {};
    }
    const span = Math.max(
      SHORTEST_SILENCE_MILLISECONDS,
      route.latencyTargetMilliseconds * SILENCE_TARGET_MULTIPLE,
    );
    return this.parts.clock.schedule(span, () => silence.abort());
  }

  private takeRejection(state: EndpointState, answer: EndpointAnswer): SendResult {
    const now = this.parts.clock.monotonicMilliseconds();
    answer.discard();
    if (answer.isMisdirected) {
      // Another endpoint lives at the address; the list will say so after the next reading.
      state.eject(now);
    } else {
      state.recordDelay(this.admitted.route.latencyTargetMilliseconds, now);
    }
    this.trace.note(`run ${state.record.identifier}: not run, status ${answer.status}`);
    return SendResult.NotRun;
  }

  private takeFailure(state: EndpointState, error: unknown): SendResult {
    const failure = failureOf(error);
    this.trace.note(`run ${state.record.identifier}: ${describeFailure(failure)}`);
    const isUnsent = failure.kind === FailureKind.EndpointFailed && !failure.mayHaveRun;
    if (!this.ending.signal.aborted) {
      state.recordFailure(this.parts.clock.monotonicMilliseconds());
    }
    if (!isUnsent) {
      this.countRun();
    }
    return isUnsent ? SendResult.NotSent : SendResult.Failed;
  }

  private countRun(): void {
    const { account } = this.trace;
    if (account !== undefined) {
      this.parts.tally.add(account, this.parts.clock.wallMilliseconds());
    }
  }

  /** Passes an answer on. A failed answer is dropped if the request may be sent again. */
  private async relay(
    state: EndpointState,
    answer: EndpointAnswer,
    begun: number,
    cancelSilenceAlarm: () => void,
  ): Promise<SendResult> {
    const isSuccess = answer.status >= FIRST_SUCCESS && answer.status < FIRST_REDIRECT;
    const isBroken =
      (isSuccess && !answer.isSigned) || (answer.status >= FIRST_ERROR && this.canSendAgain());
    const isFalsePromise = PROMISES.has(answer.status);
    if (isBroken || isFalsePromise) {
      answer.discard();
      state.recordFailure(this.parts.clock.monotonicMilliseconds());
      this.trace.note(`run ${state.record.identifier}: status ${answer.status}`);
      this.countRun();
      return SendResult.Failed;
    }
    if (answer.status >= FIRST_ERROR) {
      this.trace.note(`run ${state.record.identifier}: status ${answer.status}`);
    }
    if (this.admitted.route.isStreaming && isSuccess) {
      await this.relayStream(state, answer, begun, cancelSilenceAlarm);
    } else {
      cancelSilenceAlarm();
      await this.relayWhole(state, answer, begun);
    }
    const now = this.parts.clock.monotonicMilliseconds();
    if (answer.status >= FIRST_ERROR) {
      state.recordFailure(now);
    } else {
      state.recordSuccess(now);
    }
    return SendResult.Done;
  }

  private canSendAgain(): boolean {
    return (
      this.isRepeatable &&
      this.trace.attempts + 1 < this.admitted.route.maximumAttempts &&
      this.remaining() > SHORTEST_ATTEMPT_MILLISECONDS
    );
  }

  /** Records the first byte of an answer, which is also when the request counts as begun. */
  private markFirstByte(state: EndpointState, begun: number): void {
    const { clock } = this.parts;
    const now = clock.monotonicMilliseconds();
    state.recordDelay(now - begun, now);
    this.trace.firstByteMilliseconds ??= now - this.request.arrivedMilliseconds;
    this.countRun();
  }

  /** Holds a plain answer until it is complete, unless it is long. */
  private async relayWhole(
    state: EndpointState,
    answer: EndpointAnswer,
    begun: number,
  ): Promise<void> {
    const held: Buffer[] = [];
    let heldBytes = 0;
    for await (const piece of answer.body) {
      if (this.sink.hasStarted) {
        await this.sink.write(piece);
      } else {
        held.push(piece);
        heldBytes += piece.length;
        if (heldBytes > HELD_ANSWER_BYTES) {
          await this.startHeld(answer, held);
        }
      }
    }
    this.markFirstByte(state, begun);
    if (!this.sink.hasStarted) {
      await this.startHeld(answer, held, answer.length ?? heldBytes);
    }
    this.sink.end();
  }

  private async startHeld(
    answer: EndpointAnswer,
    held: readonly Buffer[],
    length = answer.length,
  ): Promise<void> {
    this.sink.start(answer.status, answer.headers, length);
    for (const piece of held) {
      await this.sink.write(piece);
    }
  }

  /** Passes complete events on as they come, so that another endpoint can continue after them. */
  private async relayStream(
    state: EndpointState,
    answer: EndpointAnswer,
    begun: number,
    cancelSilenceAlarm: () => void,
  ): Promise<void> {
    const { clock } = this.parts;
    const events = new StreamEvents();
    let isFirst = true;
    for await (const piece of answer.body) {
      state.hear(clock.monotonicMilliseconds());
      for (const event of events.add(piece)) {
        if (isFirst) {
          isFirst = false;
          cancelSilenceAlarm();
          this.markFirstByte(state, begun);
        }
        this.startStream(answer);
        await this.sink.write(event.bytes);
        this.lastEvent = event.identifier ?? this.lastEvent;
      }
    }
    this.startStream(answer);
    if (events.remainder.length > 0) {
      await this.sink.write(events.remainder);
    }
    this.sink.end();
  }

  private startStream(answer: EndpointAnswer): void {
    if (!this.sink.hasStarted) {
      this.sink.start(answer.status, answer.headers, answer.length);
    }
  }

  /** Ends a request that no endpoint answered. */
  private giveUp(reason: string): string {
    this.trace.note(reason);
    if (this.sink.gone.aborted) {
      return 'gone';
    }
    if (this.sink.hasStarted) {
      this.sink.breakOff();
      return 'broken-off';
    }
    if (this.mayHaveRun) {
      const status = this.isOverdue ? GATEWAY_TIMEOUT : BAD_GATEWAY;
      this.sink.answer({ status, reason });
      return `own-${status}`;
    }
    this.sink.answer({
      status: UNAVAILABLE,
      reason,
      retryAfterMilliseconds: spreadRetryAfter(
        RETRY_AFTER_MILLISECONDS.NoRoom,
        this.parts.random,
      ),
    });
    return `own-${UNAVAILABLE}`;
  }
}
