import { setTimeout as sleep } from 'node:timers/promises';

import { FailureKind } from 'hickoryrelay/Failure';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { RetryBudget } from 'hickoryrelay/RetryBudget';
import { ConcurrencyLimitAdmission } from 'hickoryrelay-admission/AdmissionPolicy';
import { EndpointLinks } from 'hickoryrelay-instance/EndpointLinks';
import { Exchange } from 'hickoryrelay-instance/Exchange';
import { ExchangeCounters } from 'hickoryrelay-instance/ExchangeCounters';
import { DEFAULT_EXCHANGE_LIMITS } from 'hickoryrelay-instance/ExchangeLimits';
import { ResponseMemoryBudget } from 'hickoryrelay-instance/ResponseMemoryBudget';
import { ResponseWriter } from 'hickoryrelay-instance/ResponseWriter';
import { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { ServiceStandIn } from 'hickoryrelay-standin/ServiceStandIn';
import { CallMeter } from 'hickoryrelay-usage/CallMeter';
import { ClaimRegister } from 'hickoryrelay-usage/ClaimRegister';
import { EndpointCall } from 'hickoryrelay-zone/EndpointCall';
import { Fleet } from 'hickoryrelay-zone/Fleet';
import { LeastOutstandingSelection } from 'hickoryrelay-zone/SelectionPolicy';

import type { ExchangeParts } from 'hickoryrelay-instance/Exchange';
import type { FailureReport } from 'hickoryrelay-instance/ResponseWriter';
import type { Call, ModelCall, ServiceCall } from 'hickoryrelay-link/Call';
import type { MeteredCall, TokenCounts } from 'hickoryrelay-usage/CallMeter';
import type { ClaimOutcome, StoredResponse } from 'hickoryrelay-usage/ClaimRegister';

/** Far longer than all backoff delays of a test, so that only `advancePastStall` reaches it. */
const STALL_MILLISECONDS = 10_000_000;
const MAXIMUM_TURNS = 4000;

/** An address without a listener. */
export const UNREACHABLE_ADDRESS = 'http://127.0.0.1:9';

const NEVER_MILLISECONDS = Number.MAX_SAFE_INTEGER;

/** A writer that records the response, and can simulate a disconnect of the caller. */
export class RecordingWriter extends ResponseWriter {
  status = 0;

  ended = false;

  /** True if the caller disconnected before its response was complete. */
  hasDisconnected = false;

  report: FailureReport | undefined;

  closesBeforeLastWrite = 0;

  passedOnCount = 0;

  /** Called before each chunk is recorded. */
  onWrite: (chunk: Buffer) => Promise<void> | void = () => {};

  readonly chunks: Buffer[] = [];

  private readonly meter: RecordingMeter;

  private readonly disconnectAfterChunks: number;

  constructor(meter: RecordingMeter, disconnectAfterChunks = Number.POSITIVE_INFINITY) {
    super();
    this.meter = meter;
    this.disconnectAfterChunks = disconnectAfterChunks;
  }

  override get hasBegun(): boolean {
    return this.status !== 0;
  }

  get text(): string {
    return Buffer.concat(this.chunks).toString('utf8');
  }

  override recordPassedOn(): void {
    this.passedOnCount += 1;
  }

  override begin(status: number): void {
    this.status = status;
  }

  override async write(chunk: Buffer): Promise<void> {
    this.closesBeforeLastWrite = this.meter.closed.length;
    if (this.chunks.length >= this.disconnectAfterChunks) {
      this.hasDisconnected = true;
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller disconnected' });
    }
    await this.onWrite(chunk);
    this.chunks.push(chunk);
  }

  override async end(): Promise<void> {
    this.ended = true;
  }

  override async fail(report: FailureReport): Promise<void> {
    this.report = report;
  }
}

/** Records the metered usage by request. */
export class RecordingMeter extends CallMeter {
  readonly opened: string[] = [];

  readonly closed: { requestIdentifier: string; tokenCounts: TokenCounts }[] = [];

  override open({ requestIdentifier }: Call): MeteredCall {
    this.opened.push(requestIdentifier);
    return {
      progress: () => {},
      setEndpoint: () => {},
      close: async (tokenCounts) => {
        await sleep(1);
        this.closed.push({ requestIdentifier, tokenCounts });
      },
    };
  }
}

/** A claim register in memory. */
export class InMemoryClaimRegister extends ClaimRegister {
  isUnavailable = false;

  /** Counts the injected faults that took effect. */
  tally = new FaultTally();

  private readonly claims = new Map<
    string,
    { requestIdentifier: string; answer: StoredResponse | undefined }
  >();

  override async claim(call: ServiceCall): Promise<ClaimOutcome> {
    if (this.isUnavailable) {
      this.tally.count(FaultKind.Outage);
      throw new RelayError({
        kind: FailureKind.PlatformUnavailable,
        service: 'key-value service',
        reason: 'down',
        mayHaveTakenEffect: false,
      });
    }
    const key = call.idempotencyKey ?? '';
    const claim = this.claims.get(key);
    if (claim === undefined) {
      const { requestIdentifier } = call;
      this.claims.set(key, { requestIdentifier, answer: undefined });
      return { kind: 'granted' };
    }
    return claim.answer === undefined
      ? { kind: 'unknown', requestIdentifier: claim.requestIdentifier }
      : { kind: 'answered', answer: claim.answer };
  }

  override async store(call: ServiceCall, answer: StoredResponse): Promise<void> {
    const { requestIdentifier } = call;
    this.claims.set(call.idempotencyKey ?? '', { requestIdentifier, answer });
  }

  override async abandon(call: ServiceCall): Promise<void> {
    this.claims.delete(call.idempotencyKey ?? '');
  }
}

/** Real exchanges and links with stand-in endpoints on loopback, on a manual clock. */
export class ExchangeFixture {
  readonly clock = new ManualClock();

  readonly meter = new RecordingMeter();

  readonly claims = new InMemoryClaimRegister();

  readonly counters = new ExchangeCounters();

  readonly memoryBudget = new ResponseMemoryBudget();

  readonly engines: EngineStandIn[] = [];

  readonly service = new ServiceStandIn();

  readonly fleet = new Fleet();

  parts: ExchangeParts;

  readonly tally: FaultTally;

  private readonly links = new EndpointLinks();

  private callNumber = 0;

  private advancing = Promise.resolve();

  constructor(tally = new FaultTally()) {
    this.tally = tally;
    this.claims.tally = tally;
    this.service.tally = tally;
    this.parts = {
      admission: new ConcurrencyLimitAdmission(100),
      selection: new LeastOutstandingSelection('zone-a'),
      fleet: this.fleet,
      links: this.links,
      clock: this.clock,
      beginAttempt: (endpoint, call) => {
        if (endpoint.identifier === UNREACHABLE_ADDRESS) {
          tally.count(FaultKind.RefusedConnection);
        }
        return new EndpointCall(endpoint, call, {}, this.clock);
      },
      random: new SeededRandomSource(1),
      meter: this.meter,
      claims: this.claims,
      retryBudget: new RetryBudget({ share: 1, capacity: 1000 }),
      memoryBudget: this.memoryBudget,
      counters: this.counters,
      endpointLog: silentLogger,
      limits: {
        ...DEFAULT_EXCHANGE_LIMITS,
        firstChunkTimeoutMilliseconds: STALL_MILLISECONDS,
        nextChunkTimeoutMilliseconds: STALL_MILLISECONDS,
        suspectTimeoutMilliseconds: STALL_MILLISECONDS,
        bufferedResponseTimeoutMilliseconds: STALL_MILLISECONDS,
        drainTimeoutMilliseconds: STALL_MILLISECONDS,
        maximumAttemptsWithoutProgress: 30,
        backoff: { initialMilliseconds: 1, maximumMilliseconds: 2 },
      },
    };
  }

  async start(engines = 2): Promise<this> {
    for (let index = 0; index < engines; index += 1) {
      // The first engine sends each token in its own chunk, the others send many in one chunk.
      const decodeMilliseconds = index === 0 ? 1 : 0;
      const times = { prefillRate: Number.POSITIVE_INFINITY, decodeMilliseconds };
      const engine = new EngineStandIn(['model-one'], times);
      engine.tally = this.tally;
      await engine.listen();
      this.engines.push(engine);
    }
    await this.service.listen();
    this.supply(this.service.url);
    return this;
  }

  /** Puts the stand-ins into the fleet, with the service at the given address. */
  supply(serviceUrl: string): void {
    const kinds = sampleDeclarations().endpointKinds;
    const place = { zone: 'zone-a', state: 'live' as const };
    const engines = this.engines.map(({ url }, index) => ({
      ...place,
      identifier: `engine-${index}`,
      kind: 'engine',
      url,
    }));
    const service = { ...place, identifier: serviceUrl, kind: 'service', url: serviceUrl };
    this.fleet.update([...engines, service], new Map(kinds.map((each) => [each.name, each])));
  }

  async stop(): Promise<void> {
    await this.links.close();
    await Promise.all([...this.engines, this.service].map((standIn) => standIn.close()));
  }

  modelCall(fields: Partial<ModelCall> = {}, tokens = 8): ModelCall {
    const identity = this.identity();
    return {
      ...identity,
      kind: 'model',
      className: 'ask',
      isIdempotent: true,
      operation: 'chat-completions',
      model: 'model-one',
      parameters: {
        messages: [{ role: 'user', content: identity.requestIdentifier }],
        max_tokens: tokens,
      },
      isStreaming: true,
      includesUsage: false,
      promptTokens: 3,
      ...fields,
    };
  }

  serviceCall(fields: Partial<ServiceCall> = {}): ServiceCall {
    const identity = this.identity();
    return {
      ...identity,
      kind: 'service',
      className: 'book',
      isIdempotent: false,
      route: 'book',
      method: 'POST',
      path: '/one',
      contentType: 'text/plain',
      body: Buffer.from(identity.requestIdentifier),
      ...fields,
    };
  }

  /** Creates the exchange of a call. */
  open(call: Call): Exchange {
    return new Exchange(call, this.parts, () => {});
  }

  /** Runs a call to completion. */
  async run(
    call: Call,
    writer = new RecordingWriter(this.meter),
    hasStalledService = false,
  ): Promise<RecordingWriter> {
    await this.advanceUntil(this.open(call).run(writer), hasStalledService);
    return writer;
  }

  /** Returns how many times the service ran a call. */
  runsOf({ path, body }: ServiceCall): number {
    return this.service.received.filter(
      (each) => each.path === `/book${path}` && each.text === body?.toString('utf8'),
    ).length;
  }

  /** Advances the clock past backoff delays, and past stalls of endpoints, until `work` settles. */
  async advanceUntil(work: Promise<unknown>, hasStalledService = false): Promise<void> {
    const state = { isDone: false };
    void work.finally(() => {
      state.isDone = true;
    });
    for (let turn = 0; !state.isDone; turn += 1) {
      if (turn > MAXIMUM_TURNS) {
        throw new RelayError({
          kind: FailureKind.InvariantViolated,
          message: 'the call did not complete',
        });
      }
      await sleep(1);
      await this.advance(1);
      const isStalled = this.engines.some(({ stalledResponses }) => stalledResponses > 0);
      if (isStalled || (hasStalledService && turn % 25 === 24)) {
        await this.advancePastStall();
      }
    }
    await work;
  }

  advancePastStall(): Promise<void> {
    return this.advance(STALL_MILLISECONDS);
  }

  /** Serializes advances, which overlap when calls run concurrently. */
  private advance(milliseconds: number): Promise<void> {
    this.advancing = this.advancing.then(() => this.clock.advance(milliseconds));
    return this.advancing;
  }

  private identity() {
    this.callNumber += 1;
    return {
      requestIdentifier: `request-${this.callNumber}`,
      accountName: 'first',
      keyIdentifier: undefined,
      arrivalMilliseconds: this.clock.monotonicMilliseconds(),
      deadlineMilliseconds: NEVER_MILLISECONDS,
      idempotencyKey: undefined,
    };
  }
}

/** Parses the events of a stream as the caller received them. */
export function readEvents(text: string) {
  const events = text.split('\n\n').filter((event) => event !== '');
  const decoded = events
    .filter((event) => event !== 'data: [DONE]')
    .map(
      (event) =>
        JSON.parse(event.slice(6)) as {
          id: string;
          choices: { delta: { content?: string }; finish_reason: string | null }[];
          usage?: { completion_tokens: number };
        },
    );
  return {
    requestIdentifiers: new Set(decoded.map(({ id }) => id)),
    text: decoded.map(({ choices }) => choices[0]?.delta.content ?? '').join(''),
    finishEvents: decoded.filter(({ choices }) => choices[0]?.finish_reason === 'stop').length,
    usages: decoded.flatMap(({ usage }) => (usage === undefined ? [] : [usage.completion_tokens])),
    doneEvents: events.length - decoded.length,
  };
}
