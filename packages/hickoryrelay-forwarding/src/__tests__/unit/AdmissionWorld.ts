import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { BufferedRemoteUsage } from 'hickoryrelay-admission/RemoteUsage';
import { UnlimitedAdmission } from 'hickoryrelay-forwarding/CapacityAdmission';
import { EndpointLink } from 'hickoryrelay-forwarding/EndpointLink';
import { incarnationHash } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { eligibleEndpoints, ServicePlacement } from 'hickoryrelay-forwarding/ServicePlacement';

import {
  makeConfiguration,
  makeEndpoint,
  makeExchange,
  makeRequest,
  makeResponse,
  makeRoute,
  RecordingSink,
} from './ForwardingFixture.js';

import type { Attempt, EndpointResponse } from 'hickoryrelay-forwarding/EndpointLink';
import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import type { ForwardingRoute } from 'hickoryrelay-forwarding/ForwardingConfiguration';
import type { PeerLoad } from 'hickoryrelay-forwarding/PeerLoads';
import type { PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';
import type { PlacementContext } from 'hickoryrelay-forwarding/ServicePlacement';

export const SLOTS = 8;

/** Requests that a simulated plain endpoint, or an engine, queues beyond its slots. */
const QUEUE = 2;
const ENGINE_QUEUE = 3 * SLOTS;

/** Tokens of a prompt for each millisecond that the request holds its slot. */
const TOKENS_PER_MILLISECOND = 2;

const TRAVEL_MILLISECONDS = 1;
const REPORT_MILLISECONDS = 100;
const VIEW_MILLISECONDS = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** Callers follow a `Retry-After` of up to this fraction of the time that they have left. */
const HONOURED_FRACTION = 1 / 3;

/** Callers give up with less time left. */
const MINIMUM_RETRY_MILLISECONDS = 50;

interface Timer {
  readonly due: number;
  readonly order: number;
  readonly action: () => void;
  isCancelled: boolean;
}

/** A manual clock whose timers are in a heap, for simulations with many timers. */
export class HeapClock extends ManualClock {
  private now = 0;

  private order = 0;

  private readonly heap: Timer[] = [];

  override monotonicMilliseconds(): number {
    return this.now;
  }

  override wallMilliseconds(): number {
    return 1_700_000_000_000 + this.now;
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    this.order += 1;
    const due = this.now + Math.max(0, milliseconds);
    const timer = { due, order: this.order, action, isCancelled: false };
    this.push(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  override async advance(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    for (;;) {
      const [first] = this.heap;
      if (first === undefined || first.due > end) {
        break;
      }
      this.pop();
      if (!first.isCancelled) {
        this.now = Math.max(this.now, first.due);
        first.action();
        await new Promise<void>((resolve) => {
          setImmediate(resolve);
        });
      }
    }
    this.now = end;
  }

  private static isBefore(left: Timer, right: Timer): boolean {
    return left.due === right.due ? left.order < right.order : left.due < right.due;
  }

  private push(timer: Timer): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(timer);
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      const other = heap[parent] as Timer;
      if (!HeapClock.isBefore(timer, other)) {
        break;
      }
      heap[index] = other;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop() as Timer;
    if (heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) {
        break;
      }
      if (
        child + 1 < heap.length &&
        HeapClock.isBefore(heap[child + 1] as Timer, heap[child] as Timer)
      ) {
        child += 1;
      }
      if (!HeapClock.isBefore(heap[child] as Timer, last)) {
        break;
      }
      heap[index] = heap[child] as Timer;
      index = child;
    }
    heap[index] = last;
  }
}

/** A request of a caller, over all its tries. */
export interface CallerRequest {
  readonly identifier: string;
  readonly account: string;
  readonly route: ForwardingRoute;
  readonly serviceMilliseconds: number;
  readonly bornMilliseconds: number;
  tries: number;
}

/** One endpoint with slots and a queue, by priority and order of arrival. */
class SimulatedEndpoint {
  readonly record: EndpointRecord;

  rejections = 0;

  running = 0;

  private readonly clock: HeapClock;

  private readonly queue: { readonly priority: number; readonly start: () => void }[] = [];

  private readonly queueLimit: number;

  constructor(record: EndpointRecord, clock: HeapClock, queueLimit: number) {
    this.record = record;
    this.clock = clock;
    this.queueLimit = queueLimit;
  }

  get isFull(): boolean {
    return this.running >= SLOTS && this.queue.length >= this.queueLimit;
  }

  /** Calls back when the request has run. Returns false if it does not fit. */
  accept(milliseconds: number, priority: number, done: () => void): boolean {
    if (this.isFull) {
      this.rejections += 1;
      return false;
    }
    const start = () => {
      this.running += 1;
      this.clock.schedule(milliseconds, () => {
        this.running -= 1;
        this.queue.shift()?.start();
        done();
      });
    };
    if (this.running < SLOTS) {
      start();
    } else {
      const index = this.queue.findIndex((other) => other.priority > priority);
      this.queue.splice(index < 0 ? this.queue.length : index, 0, { priority, start });
    }
    return true;
  }
}

/** Loads of peers as of a report of a given age. */
class AgedLoads extends PeerLoads {
  private readCount = 0;

  constructor(private readonly read: (endpoint: number) => number) {
    super();
  }

  /** The loads may differ at each read. */
  override get version(): number {
    this.readCount += 1;
    return this.readCount;
  }

  override loadOf(endpoint: number): PeerLoad {
    return {
      running: this.read(endpoint),
      prefillTokens: 0,
      latePrefillTokens: 0,
      occupiedTokens: 0,
    };
  }
}

/**
 * Stands for a selection that spreads requests over endpoints in proportion to their expected room, so
 * that the admission is measured apart from instances that all choose the same endpoint.
 */
class ProportionalPlacement extends ServicePlacement {
  override choose(
    states: readonly EndpointState[],
    context: PlacementContext,
  ): EndpointState | undefined {
    const weighted = eligibleEndpoints(states, context).map((state) => ({
      state,
      fraction: Math.max(0.5, SLOTS + QUEUE - state.totalRunning),
    }));
    const total = weighted.reduce((sum, { fraction }) => sum + fraction, 0);
    return weighted.length === 0
      ? undefined
      : choose(weighted, context.random.fraction() * total).state;
  }
}

class SimulatedLink extends EndpointLink {
  constructor(private readonly world: AdmissionWorld) {
    super();
  }

  override send(attempt: Attempt): Promise<EndpointResponse> {
    return this.world.send(attempt);
  }

  override prefill(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  override release(): Promise<void> {
    return Promise.resolve();
  }

  override isRefused(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override tryConnection(): Promise<boolean> {
    return Promise.resolve(true);
  }

  override retain(): void {}
}

export const AdmissionKind = {
  /** Requests are sent whether there is room or not. */
  None: 'none',
  Shortage: 'shortage',
  /** All requests at one instance, which therefore knows the load of every endpoint. */
  Perfect: 'perfect',
} as const;

export type AdmissionKind = (typeof AdmissionKind)[keyof typeof AdmissionKind];

export interface WorldOptions {
  readonly kind: AdmissionKind;
  readonly instances: number;
  readonly endpoints: number;
  readonly reportAgeMilliseconds: number;
  readonly seconds: number;
  readonly seed?: number;
  /** Arriving work over the capacity, at a time in milliseconds. */
  readonly load: (now: number) => number;
  /** True if the endpoints are engines, which queue three times their slots by priority. */
  readonly hasEngines?: boolean;
  /** False if no load reports of peers arrive. */
  readonly hasReports?: boolean;
}

interface SimulatedInstance {
  readonly exchange: ReturnType<typeof makeExchange>;
  readonly usage: BufferedRemoteUsage;
}

/** Accounts with their part of the requests. One has a higher priority than the routes. */
const ACCOUNTS = [
  { account: 'large', fraction: 0.6 },
  { account: 'small-1', fraction: 0.1 },
  { account: 'small-2', fraction: 0.1 },
  { account: 'small-3', fraction: 0.1 },
  { account: 'urgent', fraction: 0.1, priority: 0 },
] as const;

const ROUTES = [
  // Half of the requests are short, and a rejection is final for them.
  { name: 'short', fraction: 0.5, mean: 60, latency: 250, attempts: 1 },
  { name: 'repeated', fraction: 0.35, mean: 60, latency: 250, attempts: 3 },
  { name: 'long', fraction: 0.15, mean: 400, latency: 1200, attempts: 1 },
] as const;

const MEAN_MILLISECONDS = ROUTES.reduce((sum, { fraction, mean }) => sum + fraction * mean, 0);

function choose<Item extends { readonly fraction: number }>(
  items: readonly Item[],
  point: number,
): Item {
  let rest = point;
  return items.find(({ fraction }) => {
    rest -= fraction;
    return rest < 0;
  }) as Item;
}

/** What became of the requests of one group. */
export class Outcomes {
  requests = 0;

  served = 0;

  onTime = 0;

  addRequest(): void {
    this.requests += 1;
  }

  addServed(isOnTime: boolean): void {
    this.served += 1;
    this.onTime += Number(isOnTime);
  }

  get servedFraction(): number {
    return this.served / Math.max(1, this.requests);
  }

  get onTimeFraction(): number {
    return this.onTime / Math.max(1, this.requests);
  }
}

/** Plays load of callers on instances and plain endpoints, and counts what callers get. */
export class AdmissionWorld {
  readonly clock = new HeapClock();

  readonly total = new Outcomes();

  readonly byAccount = new Map<string, Outcomes>();

  readonly byRoute = new Map<string, Outcomes>();

  /** Slot time that was served, by account. */
  readonly work = new Map<string, number>();

  readonly waits: number[] = [];

  refusedAtOnce = 0;

  tries = 0;

  refusedAfterWait = 0;

  /** Rejections by endpoints while another endpoint had a slot or a place in its queue. */
  avoidableRejections = 0;

  attempts = 0;

  readonly endpoints: SimulatedEndpoint[];

  readonly instances: SimulatedInstance[] = [];

  private readonly options: WorldOptions;

  private readonly random: SeededRandomSource;

  private readonly routes: readonly ForwardingRoute[];

  private readonly indexes = new Map<number, number>();

  /** Totals and own parts of the requests in flight, by endpoint, oldest first. */
  private readonly reports: { at: number; totals: Int32Array; own: Int16Array[] }[] = [];

  private readonly requests = new Map<string, CallerRequest>();

  private readonly records: readonly EndpointRecord[];

  private peers: PeerRecord[] = [];

  private usedSinceReport = new Map<string, number>();

  constructor(options: WorldOptions) {
    this.options = options;
    this.random = new SeededRandomSource(options.seed ?? 7);
    this.routes = ROUTES.map(({ name, latency, attempts }) =>
      makeRoute({
        name,
        prefix: `/${name}/`,
        priority: 1,
        services: [{ service: this.service, weight: 1 }],
        latencyTargetMilliseconds: latency,
        timeoutMilliseconds: 4000,
        maximumAttempts: attempts,
      }),
    );
    const records = Array.from({ length: options.endpoints }, (_empty, index) =>
      makeEndpoint(`endpoint-${index}`, {
        address: `10.0.0.1:${index + 1}`,
        slots: SLOTS,
        service: this.service,
      }),
    );
    this.records = records;
    this.endpoints = records.map(
      (record) =>
        new SimulatedEndpoint(
          record,
          this.clock,
          options.hasEngines === true ? ENGINE_QUEUE : QUEUE,
        ),
    );
    records.forEach((record, index) => this.indexes.set(incarnationHash(record), index));
    const count = options.kind === AdmissionKind.Perfect ? 1 : options.instances;
    for (let index = 0; index < count; index += 1) {
      this.instances.push(this.makeInstance(index, count, records));
    }
  }

  private get service(): string {
    return this.options.hasEngines === true ? 'model' : 'desk';
  }

  get rejections(): number {
    return this.endpoints.reduce((sum, { rejections }) => sum + rejections, 0);
  }

  async run(): Promise<void> {
    const end = this.options.seconds * MILLISECONDS_PER_SECOND;
    this.scheduleReports();
    this.scheduleViews();
    this.scheduleArrival(end);
    await this.clock.advance(end + 5000);
  }

  send({ endpoint, request, priority = 0 }: Attempt): Promise<EndpointResponse> {
    const target = this.endpoints[this.indexes.get(incarnationHash(endpoint)) as number];
    const caller = this.requests.get(request.identifier ?? '') as CallerRequest;
    this.attempts += 1;
    return new Promise((resolve) => {
      this.clock.schedule(TRAVEL_MILLISECONDS, () => {
        const respond = (response: EndpointResponse) =>
          this.clock.schedule(TRAVEL_MILLISECONDS, () => resolve(response));
        const isAccepted = target?.accept(caller.serviceMilliseconds, priority, () => {
          this.work.set(
            caller.account,
            (this.work.get(caller.account) ?? 0) + caller.serviceMilliseconds,
          );
          respond(makeResponse(['done']));
        });
        if (isAccepted !== true) {
          this.avoidableRejections += Number(this.endpoints.some(({ isFull }) => !isFull));
          respond(makeResponse([], { status: 503, isNotRun: true }));
        }
      });
    });
  }

  private makeInstance(
    index: number,
    count: number,
    records: readonly EndpointRecord[],
  ): SimulatedInstance {
    const { kind, hasReports = true } = this.options;
    const read = (hash: number) => (hasReports && count > 1 ? this.reportedLoad(index, hash) : 0);
    const registry = new EndpointRegistry(new AgedLoads(read));
    const usage = new BufferedRemoteUsage((account, cost) => {
      const key = `${index}/${account}`;
      this.usedSinceReport.set(key, (this.usedSinceReport.get(key) ?? 0) + cost);
    });
    const exchange = makeExchange(
      this.clock,
      new SimulatedLink(this),
      makeConfiguration({
        routes: this.routes,
        grants: new Map(ACCOUNTS.map((grant) => [`key-${grant.account}`, grant])),
      }),
      records,
      undefined,
      {
        registry,
        random: new SeededRandomSource(1000 + index),
        remoteUsage: usage,
        services: new ProportionalPlacement(),
        ...(kind === AdmissionKind.None ? { capacity: new UnlimitedAdmission() } : {}),
      },
    );
    exchange.budgets.setInstanceCount(count);
    this.applyView(exchange, count);
    return { exchange, usage };
  }

  private applyView({ view }: ReturnType<typeof makeExchange>, count: number): void {
    const { configuration } = view;
    if (this.peers.length !== count) {
      this.peers = Array.from({ length: count }, (_empty, index) => ({
        instance: `instance-${index}`,
        zone: 'zone-a',
        cores: 1,
        host: '10.0.0.1',
        port: index + 1,
      }));
    }
    const { peers, records } = this;
    view.apply(
      { configuration, endpoints: records, peers, isAuthorityHeld: false },
      this.clock.monotonicMilliseconds(),
    );
  }

  private reportedLoad(instance: number, hash: number): number {
    const latest = this.clock.monotonicMilliseconds() - this.options.reportAgeMilliseconds;
    const report = this.reports.findLast(({ at }) => at <= latest);
    const index = this.indexes.get(hash);
    return report === undefined || index === undefined
      ? 0
      : (report.totals[index] as number) - (report.own[instance]?.[index] as number);
  }

  private scheduleReports(): void {
    const report = () => {
      const own = this.instances.map(({ exchange }) =>
        Int16Array.from(exchange.registry.readyEndpoints(this.service), ({ running }) => running),
      );
      const totals = new Int32Array(this.endpoints.length);
      own.forEach((counts) =>
        counts.forEach((count, index) => {
          totals[index] = (totals[index] as number) + count;
        }),
      );
      this.reports.push({ at: this.clock.monotonicMilliseconds(), totals, own });
      if (this.reports.length > 12) {
        this.reports.shift();
      }
      this.reportUse();
      this.clock.schedule(REPORT_MILLISECONDS, report);
    };
    report();
  }

  /** Passes the accounts' use on to the other instances, as old as the load. */
  private reportUse(): void {
    const used = this.usedSinceReport;
    this.usedSinceReport = new Map();
    const sums = new Map<string, number>();
    used.forEach((cost, key) => {
      const account = key.slice(key.indexOf('/') + 1);
      sums.set(account, (sums.get(account) ?? 0) + cost);
    });
    if (this.instances.length > 1 && sums.size > 0) {
      this.clock.schedule(this.options.reportAgeMilliseconds, () =>
        this.instances.forEach(({ usage }, index) =>
          usage.add(
            [...sums].map(([account, cost]) => [
              account,
              cost - (used.get(`${index}/${account}`) ?? 0),
            ]),
          ),
        ),
      );
    }
  }

  private scheduleViews(): void {
    this.clock.schedule(VIEW_MILLISECONDS, () => {
      this.instances.forEach(({ exchange }) => this.applyView(exchange, this.instances.length));
      this.scheduleViews();
    });
  }

  private scheduleArrival(end: number): void {
    const now = this.clock.monotonicMilliseconds();
    const capacity = (this.endpoints.length * SLOTS) / MEAN_MILLISECONDS;
    const rate = capacity * this.options.load(now);
    const gap = -Math.log(1 - this.random.fraction()) / rate;
    this.clock.schedule(gap, () => {
      if (this.clock.monotonicMilliseconds() < end) {
        this.arrive();
        this.scheduleArrival(end);
      }
    });
  }

  private arrive(): void {
    const { mean, name } = choose(ROUTES, this.random.fraction());
    const { account } = choose(ACCOUNTS, this.random.fraction());
    const request: CallerRequest = {
      identifier: `request-${this.total.requests}`,
      account,
      route: this.routes.find((route) => route.name === name) as ForwardingRoute,
      serviceMilliseconds: -Math.log(1 - this.random.fraction()) * mean,
      bornMilliseconds: this.clock.monotonicMilliseconds(),
      tries: 0,
    };
    this.groupsOf(request).forEach((group) => group.addRequest());
    this.requests.set(request.identifier, request);
    this.try(request);
  }

  private groupsOf({ account, route }: CallerRequest): Outcomes[] {
    const byAccount = this.byAccount.get(account) ?? new Outcomes();
    const byRoute = this.byRoute.get(route.name) ?? new Outcomes();
    this.byAccount.set(account, byAccount);
    this.byRoute.set(route.name, byRoute);
    return [this.total, byAccount, byRoute];
  }

  private try(request: CallerRequest): void {
    const instance = this.instances[Math.floor(this.random.fraction() * this.instances.length)];
    const now = this.clock.monotonicMilliseconds();
    const left = request.bornMilliseconds + request.route.timeoutMilliseconds - now;
    const sink = new RecordingSink();
    request.tries += 1;
    this.tries += 1;
    const steps = instance?.exchange.exchange.handle(
      makeRequest({
        identifier: request.identifier,
        target: `${request.route.prefix}x`,
        accessKey: `key-${request.account}`,
        callerTimeoutMilliseconds: left,
        arrivedMilliseconds: now,
        arrivedSuspensionMilliseconds: now,
        promptSegments: [
          {
            identifier: request.identifier,
            tokens: Math.round(request.serviceMilliseconds * TOKENS_PER_MILLISECOND),
          },
        ],
      }),
      sink,
    );
    steps?.then(
      () => this.handleAnswer(request, sink, now),
      (error: unknown) => {
        throw error;
      },
    );
  }

  private handleAnswer(
    request: CallerRequest,
    sink: RecordingSink,
    sentMilliseconds: number,
  ): void {
    const now = this.clock.monotonicMilliseconds();
    if (sink.head?.status === 200) {
      const isOnTime = now - request.bornMilliseconds <= request.route.latencyTargetMilliseconds;
      this.groupsOf(request).forEach((group) => group.addServed(isOnTime));
      this.requests.delete(request.identifier);
      return;
    }
    const heldMilliseconds = now - sentMilliseconds;
    if (heldMilliseconds === 0) {
      this.refusedAtOnce += 1;
    } else if (sink.own?.reason.includes('wait') === true) {
      this.refusedAfterWait += 1;
    }
    const left = request.bornMilliseconds + request.route.timeoutMilliseconds - now;
    const wait = sink.own?.retryAfterMilliseconds ?? Number.POSITIVE_INFINITY;
    if (wait <= left * HONOURED_FRACTION && left - wait > MINIMUM_RETRY_MILLISECONDS) {
      this.clock.schedule(wait, () => this.try(request));
    } else {
      this.requests.delete(request.identifier);
    }
  }
}
