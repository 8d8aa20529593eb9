import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { failureOf } from 'hickoryrelay/RelayError';

import { AttemptKind } from './EndpointLink.js';
import { shapeOf } from './EnginePlacement.js';
import { Repetition } from './ForwardingConfiguration.js';
import {
  ANSWER_MARGIN_MILLISECONDS,
  EVENT_PATIENCE,
  EXPECTED_PATIENCE_PART,
  HELD_ANSWER_BYTES,
  LATE_URGENCY,
  RETRY_AFTER_MILLISECONDS,
  SHORTEST_ATTEMPT_MILLISECONDS,
  SHORTEST_SILENCE_MILLISECONDS,
  SILENCE_TARGET_MULTIPLE,
} from './ForwardingLimits.js';
import { spreadRetryAfter } from './RequestAdmission.js';
import { StreamEvents } from './StreamEvents.js';

import type { AnswerSink } from './AnswerSink.js';
import type { CallTrace } from './CallTrace.js';
import type { ConfirmedView } from './ConfirmedView.js';
import type { Attempt, EndpointAnswer, EndpointLink, PromptMemory } from './EndpointLink.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { EnginePlacement, GenerationPlan, PromptShape } from './EnginePlacement.js';
import type { ForwardedRequest } from './ForwardedRequest.js';
import type { PartDirectory } from './PartDirectory.js';
import type { PlacementContext, ServicePlacement } from './Placement.js';
import type { ReadingPace } from './ReadingPace.js';
import type { AdmissionResult } from './RequestAdmission.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { UsageTally } from './UsageTally.js';
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
  readonly services: ServicePlacement;
  readonly engines: EnginePlacement;
  readonly directory: PartDirectory;
  readonly pace: ReadingPace;
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

/** Engines that are asked to read the prompt of one request. */
const MOST_READS = 2;

/** Where a request is sent. */
interface Destination {
  readonly state: EndpointState;
  /** Expected time of the reading in place, in milliseconds. */
  readonly expectedMilliseconds: number;
  /** Memory of the prompt that another engine has read. */
  readonly memory?: PromptMemory;
  /** Address of an engine from which shared parts of the prompt can be fetched. */
  readonly fetchFrom?: string | undefined;
}

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

  /** True once the first event is expected after the latency target. */
  private isLate = false;

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
    for (;;) {
      if (this.ending.signal.aborted || this.remaining() < SHORTEST_ATTEMPT_MILLISECONDS) {
        return this.giveUp('the time is over');
      }
      const route = this.isGeneration ? await this.planGeneration() : this.planService();
      if (typeof route === 'string') {
        return this.giveUp(route);
      }
      if (this.trace.attempts > 0 && !this.parts.budgets.tryTake(this.admitted.service)) {
        this.dropMemory(route);
        return this.giveUp('the retry budget is used up');
      }
      this.tried.add(route.state);
      const result = await this.send(route);
      if (result === SendResult.Done) {
        return 'done';
      }
      if (result !== SendResult.Failed) {
        this.dropMemory(route);
      }
      if (result === SendResult.NotSent) {
        unsentTries += 1;
      } else {
        this.trace.attempts += 1;
        this.mayHaveRun ||= result === SendResult.Failed;
      }
      const isSpent = this.trace.attempts >= this.admitted.route.maximumAttempts;
      if (isSpent || unsentTries >= MOST_UNSENT_TRIES || (this.mayHaveRun && !this.isRepeatable)) {
        return this.giveUp('no attempt is left');
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

  /** Chooses an endpoint of a plain service, or says why there is none. */
  private planService(): Destination | string {
    const { registry, services } = this.parts;
    const states = registry.readyOf(this.admitted.service);
    const state = services.choose(states, this.context());
    return state === undefined ? 'no endpoint is left' : { state, expectedMilliseconds: 0 };
  }

  /** Time from now in which a caller waits for the first event, in milliseconds. */
  private firstEventPatience(): number {
    const { latencyTargetMilliseconds, pauseTargetMilliseconds } = this.admitted.route;
    const elapsed = this.parts.clock.monotonicMilliseconds() - this.request.arrivedMilliseconds;
    const patience = Math.max(
      EVENT_PATIENCE.Shortest,
      EVENT_PATIENCE.TargetMultiple * latencyTargetMilliseconds,
      EVENT_PATIENCE.PauseMultiple * pauseTargetMilliseconds,
    );
    return Math.min(this.remaining(), patience - elapsed);
  }

  /** True if a first event after the given time from now would be late. */
  private wouldBeLate(milliseconds: number): boolean {
    const elapsed = this.parts.clock.monotonicMilliseconds() - this.request.arrivedMilliseconds;
    return elapsed + milliseconds > this.admitted.route.latencyTargetMilliseconds;
  }

  /**
   * Chooses engines for a generation, and has its prompt read where another engine does that. Says
   * why if no engine is left or none can answer in time; then the request has not run.
   */
  private async planGeneration(): Promise<Destination | string> {
    const { registry, engines } = this.parts;
    const prompt = shapeOf(this.request.promptParts);
    for (let reads = 0; reads < MOST_READS; reads += 1) {
      const states = registry.readyOf(this.admitted.service);
      let plan = engines.plan(states, prompt, false, this.context());
      if (plan !== undefined && this.wouldBeLate(plan.firstTokenMilliseconds)) {
        this.isLate = true;
        plan = engines.plan(states, prompt, true, this.context());
      }
      if (plan === undefined) {
        return 'no engine is left';
      }
      const expected = Math.round(plan.firstTokenMilliseconds);
      if (expected > this.firstEventPatience() * EXPECTED_PATIENCE_PART) {
        return `no engine can begin in time, the best in ${expected} ms`;
      }
      const expectedMilliseconds = plan.reader === undefined ? plan.readingMilliseconds : 0;
      if (plan.reader === undefined) {
        return { state: plan.engine, expectedMilliseconds, fetchFrom: plan.source?.record.address };
      }
      const memory = await this.read(plan, prompt);
      if (memory !== undefined) {
        // Engines may have left or filled up while the prompt was read.
        const current = registry.readyOf(this.admitted.service);
        const state = engines.planTransfer(current, prompt, this.context());
        if (state === undefined) {
          this.releaseMemory(memory);
          return 'no engine is left';
        }
        return { state, expectedMilliseconds, memory };
      }
      if (this.ending.signal.aborted) {
        return 'the time is over';
      }
      this.tried.add(plan.reader);
      // A read that was refused or failed counts as an arrival beyond the first.
      if (!this.parts.budgets.tryTake(this.admitted.service)) {
        return 'the retry budget is used up';
      }
    }
    return 'the prompt could not be read';
  }

  private attempt(
    kind: AttemptKind,
    state: EndpointState,
    { memory, fetchFrom }: Pick<Destination, 'memory' | 'fetchFrom'>,
  ): Attempt {
    const { grant } = this.admitted;
    return {
      kind,
      endpoint: state.record,
      request: this.request,
      account: grant?.account,
      remainingMilliseconds: Math.floor(this.remaining()),
      urgency: this.isGeneration ? this.urgency() : undefined,
      ...(memory === undefined ? {} : { memory }),
      ...(fetchFrom === undefined ? {} : { fetchFrom }),
      lastEvent: this.lastEvent,
    };
  }

  private urgency(): number {
    const { route, grant } = this.admitted;
    return this.isLate ? LATE_URGENCY : (grant?.priority ?? route.priority);
  }

  /** Has the prompt read by the plan's reading engine. Undefined if it was not read. */
  private async read(plan: GenerationPlan, prompt: PromptShape): Promise<PromptMemory | undefined> {
    const { link, clock } = this.parts;
    const { reader, unreadTokens } = plan;
    invariant(reader !== undefined, 'The plan has no reading engine.');
    const { identifier } = reader.record;
    const begun = clock.monotonicMilliseconds();
    const limit = new AbortController();
    const cancelAlarm = clock.schedule(Math.max(0, this.firstEventPatience()), () => limit.abort());
    const attempt = this.attempt(AttemptKind.ReadPrompt, reader, {
      fetchFrom: plan.source?.record.address,
    });
    const isAlone = reader.tokensBefore(true) === 0;
    const release = reader.reserveReading(unreadTokens, this.isLate);
    reader.begin(begun);
    try {
      const signal = AbortSignal.any([this.ending.signal, limit.signal]);
      const memory = await link.readPrompt(attempt, signal);
      const now = clock.monotonicMilliseconds();
      reader.hear(now);
      if (memory === undefined) {
        reader.recordDelay(this.admitted.route.latencyTargetMilliseconds, now);
        this.trace.note(`read ${identifier}: refused`);
      } else {
        reader.recordSuccess(now);
        reader.recordDelay(Math.max(0, now - begun - plan.readingMilliseconds), now);
        this.recordPart(reader, prompt);
        if (isAlone) {
          this.parts.pace.learn(unreadTokens, now - begun);
        }
        this.trace.note(
          `read ${identifier}: ${unreadTokens} of ${prompt.tokens} tokens, ${plan.source === undefined ? '' : 'fetched, '}${Math.round(now - begun)} ms`,
        );
      }
      return memory;
    } catch (error) {
      if (!this.ending.signal.aborted) {
        reader.recordFailure(clock.monotonicMilliseconds());
      }
      this.trace.note(`read ${identifier}: ${describeFailure(failureOf(error))}`);
      return undefined;
    } finally {
      cancelAlarm();
      release();
      reader.finish();
    }
  }

  /** Records that an engine holds the shared part of a prompt now. */
  private recordPart({ hash }: EndpointState, { shared }: PromptShape): void {
    if (shared !== undefined) {
      const now = this.parts.clock.monotonicMilliseconds();
      this.parts.directory.recordOwn({ engine: hash, part: shared.hash }, now);
    }
  }

  private dropMemory({ memory }: Destination): void {
    if (memory !== undefined) {
      this.releaseMemory(memory);
    }
  }

  private releaseMemory(memory: PromptMemory): void {
    this.parts.link.release(memory).catch((error: unknown) => {
      this.trace.note(`release: ${describeFailure(failureOf(error))}`);
    });
  }

  private async send(destination: Destination): Promise<SendResult> {
    const { state } = destination;
    const { link, clock } = this.parts;
    const { identifier } = state.record;
    const begun = clock.monotonicMilliseconds();
    const silence = new AbortController();
    const cancelAlarm = this.watchSilence(silence);
    state.begin(begun);
    try {
      const signal = AbortSignal.any([this.ending.signal, silence.signal]);
      const attempt = this.attempt(AttemptKind.Run, state, destination);
      const answer = await link.send(attempt, signal);
      state.hear(clock.monotonicMilliseconds());
      if (answer.isNotRun || answer.isMisdirected) {
        return this.takeRejection(state, answer);
      }
      return await this.relay(destination, answer, begun, cancelAlarm);
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
    destination: Destination,
    answer: EndpointAnswer,
    begun: number,
    cancelSilenceAlarm: () => void,
  ): Promise<SendResult> {
    const { state } = destination;
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
      await this.relayStream(destination, answer, begun, cancelSilenceAlarm);
    } else {
      cancelSilenceAlarm();
      await this.relayWhole(destination, answer, begun);
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
  private markFirstByte({ state, expectedMilliseconds }: Destination, begun: number): void {
    const { clock } = this.parts;
    const now = clock.monotonicMilliseconds();
    state.recordDelay(Math.max(0, now - begun - expectedMilliseconds), now);
    if (this.isGeneration) {
      this.recordPart(state, shapeOf(this.request.promptParts));
    }
    this.trace.firstByteMilliseconds ??= now - this.request.arrivedMilliseconds;
    this.countRun();
  }

  /** Holds a plain answer until it is complete, unless it is long. */
  private async relayWhole(
    destination: Destination,
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
    this.markFirstByte(destination, begun);
    if (!this.sink.hasStarted) {
      await this.startHeld(answer, held, heldBytes);
    }
    this.sink.end();
  }

  /** Starts an answer with the pieces that were held; their length, where they are all, is known. */
  private async startHeld(
    answer: EndpointAnswer,
    held: readonly Buffer[],
    wholeLength?: number,
  ): Promise<void> {
    const length = answer.length ?? (answer.endsWithConnection ? undefined : wholeLength);
    this.sink.start({ ...answer, length });
    for (const piece of held) {
      await this.sink.write(piece);
    }
  }

  /** Passes complete events on as they come, so that another endpoint can continue after them. */
  private async relayStream(
    destination: Destination,
    answer: EndpointAnswer,
    begun: number,
    cancelSilenceAlarm: () => void,
  ): Promise<void> {
    const { clock } = this.parts;
    const { state } = destination;
    const events = new StreamEvents();
    let isFirst = true;
    for await (const piece of answer.body) {
      state.hear(clock.monotonicMilliseconds());
      for (const event of events.add(piece)) {
        if (isFirst) {
          isFirst = false;
          cancelSilenceAlarm();
          this.markFirstByte(destination, begun);
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
      this.sink.start(answer);
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
      retryAfterMilliseconds: spreadRetryAfter(RETRY_AFTER_MILLISECONDS.NoRoom, this.parts.random),
    });
    return `own-${UNAVAILABLE}`;
  }
}
