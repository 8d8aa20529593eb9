import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EndpointLink } from 'hickoryrelay-forwarding/EndpointLink';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { RetrySemantics } from 'hickoryrelay-forwarding/ForwardingConfiguration';

import {
  endpointFailure,
  makeConfiguration,
  makeEndpoint,
  makeExchange,
  makeRequest,
  makeResponse,
  makeRoute,
  RecordingSink,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';

import type {
  Attempt,
  EndpointResponse,
  PrefilledPrompt,
} from 'hickoryrelay-forwarding/EndpointLink';
import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';

const SEEDS = [1, 2026, 40_417];
const RUNS_PER_SEED = Number(process.env.FUZZ_RUNS ?? 200);

/** Bounds of the rules that the endpoints' records are checked against. */
const DRAIN_MILLISECONDS = 2000;
const BACKOFF_GRACE_MILLISECONDS = 500;
const MAXIMUM_REQUESTS_IN_BACKOFF = 2;

/** An accepted request ends longer backoffs, as docs/platform.md describes. */
const LONG_BACKOFF_MILLISECONDS = 300_000;

/** An endpoint that leaves sooner after its start, before a view shows it, is not covered. */
const MINIMUM_LIFE_MILLISECONDS = 5000;

const CONFIGURATION = makeConfiguration({
  routes: [
    makeRoute({ prefix: '/order/' }),
    makeRoute({ prefix: '/lookup/', retrySemantics: RetrySemantics.Idempotent }),
    makeRoute({
      ...RESUMABLE_STREAM,
      prefix: '/generate/',
      services: [{ service: 'model', weight: 1 }],
      latencyTargetMilliseconds: 600,
    }),
  ],
});

const ROUTES = ['order', 'lookup', 'generate'] as const;

const LONG_PROMPT = [
  { identifier: 'shared', tokens: 13_000 },
  { identifier: 'own', tokens: 3000 },
];

const PLACES: readonly Partial<EndpointRecord>[] = [
  {},
  {},
  { service: 'model', stage: EngineStage.Prefill, slots: 12 },
  { service: 'model', stage: EngineStage.Decode, slots: 12 },
  { service: 'model', stage: EngineStage.Decode, slots: 12 },
];

interface Arrival {
  readonly at: number;
  readonly sentAt: number;
  readonly life: number;
  readonly isMisdirected: boolean;
}

interface Answer {
  /** When the endpoint answered. */
  readonly at: number;
  /** When the instance had the answer. */
  readonly receivedAt: number;
  readonly life: number;
  readonly isLeaving: boolean;
  readonly isAccepted: boolean;
  readonly backoffMilliseconds: number | undefined;
}

/** One incarnation of an endpoint, with its record of what reached it and what it answered. */
class SimulatedEndpoint {
  readonly record: EndpointRecord;

  readonly startedAt: number;

  readonly arrivals: Arrival[] = [];

  readonly answers: Answer[] = [];

  isLeaving = false;

  /** Named in refusals; requests are accepted if it is undefined. */
  refusesForMilliseconds: number | undefined;

  constructor(record: EndpointRecord, startedAt: number) {
    this.record = record;
    this.startedAt = startedAt;
  }

  /** Describes each breach of the rules by the instance with the given life. */
  *breaches(life: number): Generator<string, void, void> {
    const arrivals = this.arrivals.filter((arrival) => arrival.life === life);
    const answers = this.answers.filter((answer) => answer.life === life);
    const name = `${this.record.identifier}/${this.record.startedMilliseconds}`;
    const leaving = answers.find(({ isLeaving }) => isLeaving);
    for (const { sentAt, at, isMisdirected } of arrivals) {
      if (
        leaving !== undefined &&
        !isMisdirected &&
        sentAt > leaving.receivedAt + DRAIN_MILLISECONDS
      ) {
        yield `${name}: sent ${sentAt}, arrived ${at}, leaving known ${leaving.receivedAt}`;
      }
    }
    for (const answer of answers) {
      const { backoffMilliseconds = 0 } = answer;
      const accepted = answers.find(({ at, isAccepted }) => isAccepted && at > answer.at);
      const isCutShort = backoffMilliseconds > LONG_BACKOFF_MILLISECONDS && accepted !== undefined;
      const end = isCutShort ? accepted.at : answer.at + backoffMilliseconds;
      const reached = arrivals.filter(
        ({ at }) => at > answer.at + BACKOFF_GRACE_MILLISECONDS && at < end,
      );
      if (reached.length > MAXIMUM_REQUESTS_IN_BACKOFF) {
        yield `${name}: ${reached.length} requests from ${answer.at} to ${end}`;
      }
    }
  }
}

/** Endpoints at fixed addresses. */
class SimulatedWorld {
  readonly clock = new ManualClock();

  /** All incarnations so far. */
  readonly endpoints: SimulatedEndpoint[] = [];

  private readonly occupants: SimulatedEndpoint[] = [];

  readonly random: SeededRandomSource;

  private identities = 0;

  constructor(seed: number) {
    this.random = new SeededRandomSource(seed);
    PLACES.forEach((_place, index) => this.replace(index, true));
  }

  get records(): EndpointRecord[] {
    return this.occupants.map(({ record }) => record);
  }

  occupant(index: number): SimulatedEndpoint {
    return this.occupants[index] as SimulatedEndpoint;
  }

  at(address: string): SimulatedEndpoint {
    return this.occupants.find(({ record }) => record.address === address) as SimulatedEndpoint;
  }

  /** Starts an incarnation at an address, with the identifier of the one before or a new one. */
  replace(index: number, isNewIdentity: boolean): void {
    this.identities += Number(isNewIdentity);
    const identifier = isNewIdentity
      ? `e-${this.identities}`
      : this.occupant(index).record.identifier;
    const record = makeEndpoint(identifier, {
      ...PLACES[index],
      address: `10.0.0.1:${index}`,
      startedMilliseconds: this.clock.wallMilliseconds(),
    });
    const endpoint = new SimulatedEndpoint(record, this.clock.monotonicMilliseconds());
    this.occupants[index] = endpoint;
    this.endpoints.push(endpoint);
  }
}

/** The link of one instance to the simulated endpoints. Connecting and responding take time. */
class SimulatedLink extends EndpointLink {
  private readonly world: SimulatedWorld;

  private readonly life: number;

  constructor(world: SimulatedWorld, life: number) {
    super();
    this.world = world;
    this.life = life;
  }

  override async send(attempt: Attempt): Promise<EndpointResponse> {
    const { life, world } = this;
    const { clock, random } = world;
    await clock.sleep(random.integerBelow(400));
    if (!attempt.permit.tryUse()) {
      throw endpointFailure(false);
    }
    const endpoint = world.at(attempt.endpoint.address);
    const isMisdirected = endpoint.record.identifier !== attempt.endpoint.identifier;
    const sentAt = attempt.request.arrivedMilliseconds;
    endpoint.arrivals.push({ at: clock.monotonicMilliseconds(), sentAt, life, isMisdirected });
    await clock.sleep(random.integerBelow(800));
    if (world.at(attempt.endpoint.address) !== endpoint) {
      throw endpointFailure(true);
    }
    const { isLeaving } = endpoint;
    const backoffMilliseconds = isMisdirected ? undefined : endpoint.refusesForMilliseconds;
    const isAccepted = !isMisdirected && backoffMilliseconds === undefined;
    const at = clock.monotonicMilliseconds();
    await clock.sleep(random.integerBelow(100));
    const receivedAt = clock.monotonicMilliseconds();
    endpoint.answers.push({ at, receivedAt, life, isLeaving, isAccepted, backoffMilliseconds });
    attempt.receiveNotice({ isLeaving, backoffMilliseconds, isAccepted, isMisdirected });
    return isAccepted
      ? makeResponse(['id: 1\n\n'])
      : makeResponse([], { status: isMisdirected ? 421 : 503, isNotRun: true, isMisdirected });
  }

  override async prefill(attempt: Attempt): Promise<PrefilledPrompt | undefined> {
    const { status } = await this.send(attempt);
    return status === 200 ? { address: attempt.endpoint.address, handle: 'handle' } : undefined;
  }

  override release(): Promise<void> {
    return Promise.resolve();
  }

  override isRefused({ address, identifier }: EndpointRecord): Promise<boolean> {
    return Promise.resolve(this.world.at(address).record.identifier !== identifier);
  }

  override tryConnection(): Promise<boolean> {
    return Promise.resolve(true);
  }

  override retain(): void {}
}

/** One instance with its callers, and the views that it reads with a lag. */
class ModelRun {
  readonly world: SimulatedWorld;

  readonly sinks: RecordingSink[] = [];

  private readonly pending = new Set<Promise<void>>();

  /** Lists of registrations that the instance has not read yet, oldest first. */
  private views: (readonly EndpointRecord[])[] = [];

  private instance;

  /** Lives of the instance before this one; each restart begins another. */
  private life = 0;

  private requests = 0;

  constructor(seed: number) {
    this.world = new SimulatedWorld(seed);
    this.instance = this.start();
  }

  private start() {
    const { clock, records } = this.world;
    this.views = [];
    return makeExchange(clock, new SimulatedLink(this.world, this.life), CONFIGURATION, records);
  }

  restartInstance(): void {
    this.life += 1;
    this.instance = this.start();
  }

  /** Records the current registrations, some of which may be missing, as the latest of the store. */
  writeView(missing?: number): void {
    this.views.push(this.world.records.filter((_record, index) => index !== missing));
  }

  /** Reads one of the views since the last one that was read. */
  readView(lag: number): void {
    const position = Math.max(0, this.views.length - 1 - lag);
    const [view] = this.views.splice(0, position + 1).slice(-1);
    if (view !== undefined) {
      const { configuration } = this.instance.view;
      const snapshot = { configuration, endpoints: view, peers: [], isAuthorityHeld: false };
      this.instance.view.apply(snapshot, this.world.clock.monotonicMilliseconds());
      this.instance.registry.replace(view);
    }
  }

  send(route: (typeof ROUTES)[number]): RecordingSink {
    const sink = new RecordingSink();
    const now = this.world.clock.monotonicMilliseconds();
    this.requests += 1;
    // The view of the model is confirmed by definition, so its age does not matter.
    const request = makeRequest({
      identifier: `request-${this.requests}`,
      target: `/${route}/x`,
      arrivedMilliseconds: now,
      arrivedSuspensionMilliseconds: 0,
      promptSegments: route === 'generate' ? LONG_PROMPT : [],
    });
    const running: Promise<void> = this.instance.exchange
      .handle(request, sink)
      .finally(() => this.pending.delete(running));
    this.pending.add(running);
    this.sinks.push(sink);
    return sink;
  }

  async finish(): Promise<void> {
    await this.world.clock.advance(10_000);
    await Promise.all(this.pending);
  }

  breaches(): string[] {
    const lives = Array.from({ length: this.life + 1 }, (_value, life) => life);
    return this.world.endpoints.flatMap((endpoint) =>
      lives.flatMap((life) => [...endpoint.breaches(life)]),
    );
  }
}

const index = fastCheck.integer({ min: 0, max: PLACES.length - 1 });

/** Time that an endpoint names in its refusals; undefined if it accepts requests. */
const refusal = fastCheck.constantFrom(undefined, 200, 1500, 6000, 100_000, 3_600_000);

const step = fastCheck.oneof(
  {
    weight: 8,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('send' as const),
      route: fastCheck.constantFrom(...ROUTES),
      count: fastCheck.constantFrom(1, 3, 20),
    }),
  },
  {
    weight: 6,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('wait' as const),
      milliseconds: fastCheck.constantFrom(20, 300, 900, 3000, 6000, 70_000),
    }),
  },
  {
    weight: 3,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('refuse' as const),
      index,
      milliseconds: refusal,
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({ kind: fastCheck.constant('leave' as const), index }),
  },
  {
    weight: 3,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('replace' as const),
      index,
      isNewIdentity: fastCheck.boolean(),
      milliseconds: refusal,
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('view' as const),
      lag: fastCheck.nat(2),
      missing: fastCheck.option(index, { nil: undefined }),
    }),
  },
  { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('restart' as const) }) },
);

type Step = typeof step extends fastCheck.Arbitrary<infer Value> ? Value : never;

async function apply(run: ModelRun, each: Step): Promise<void> {
  const { world } = run;
  switch (each.kind) {
    case 'send':
      for (let count = 0; count < each.count; count += 1) {
        run.send(each.route);
      }
      break;
    case 'wait':
      await world.clock.advance(each.milliseconds);
      break;
    case 'refuse':
      world.occupant(each.index).refusesForMilliseconds = each.milliseconds;
      break;
    case 'leave': {
      const endpoint = world.occupant(each.index);
      const age = world.clock.monotonicMilliseconds() - endpoint.startedAt;
      endpoint.isLeaving ||= age > MINIMUM_LIFE_MILLISECONDS;
      break;
    }
    case 'replace':
      world.replace(each.index, each.isNewIdentity);
      world.occupant(each.index).refusesForMilliseconds = each.milliseconds;
      run.writeView();
      break;
    case 'view':
      run.writeView(each.missing);
      run.readView(each.lag);
      break;
    default:
      run.restartInstance();
  }
}

describe('the notices of endpoints, against the records of simulated endpoints', () => {
  it.each(SEEDS)(
    'are obeyed over restarts, reused addresses and lagging views, seed %i',
    async (seed) => {
      let backoffs = 0;
      let departures = 0;
      await fastCheck.assert(
        fastCheck.asyncProperty(
          fastCheck.integer(),
          fastCheck.array(step, { minLength: 20, maxLength: 80 }),
          async (worldSeed, steps) => {
            const run = new ModelRun(worldSeed);
            for (const each of steps) {
              await apply(run, each);
            }
            await run.finish();
            expect(run.breaches()).toEqual([]);
            expect(run.sinks.every(({ head, own }) => (head ?? own) !== undefined)).toBe(true);
            const answers = run.world.endpoints.flatMap((endpoint) => endpoint.answers);
            backoffs += answers.filter((each) => each.backoffMilliseconds !== undefined).length;
            departures += answers.filter(({ isLeaving }) => isLeaving).length;
            // New incarnations serve, whatever the ones before have stated.
            await run.world.clock.advance(1);
            PLACES.forEach((_place, place) => run.world.replace(place, false));
            run.writeView();
            run.readView(0);
            const last = ROUTES.map((route) => run.send(route));
            await run.finish();
            expect(last.map(({ status }) => status)).toEqual([200, 200, 200]);
          },
        ),
        { seed, numRuns: RUNS_PER_SEED },
      );
      expect(backoffs).toBeGreaterThan(RUNS_PER_SEED);
      expect(departures).toBeGreaterThan(RUNS_PER_SEED);
    },
    300_000,
  );
});
