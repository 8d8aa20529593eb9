import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EndpointNotices } from 'hickoryrelay-forwarding/EndpointNotices';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { ForwardingMetrics } from 'hickoryrelay-forwarding/ForwardingMetrics';
import { InstanceRateLimitShares } from 'hickoryrelay-forwarding/InstanceRateLimitShares';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PEER_LEASE_MILLISECONDS } from 'hickoryrelay-forwarding/PeerRecord';
import { RateLimitExchange } from 'hickoryrelay-forwarding/RateLimitExchange';

import { makeEndpoint } from './ForwardingFixture.js';

import type { SendPermit } from 'hickoryrelay-endpoint/EndpointAvailability';
import type { RateLimitShares } from 'hickoryrelay-endpoint/RateLimitShares';
import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { EndpointState } from 'hickoryrelay-forwarding/EndpointState';

/** Bounds of the rule that the endpoints' records are checked against. */
const CONTACT_MILLISECONDS = 3000;
const PASSED_ON_MILLISECONDS = 500;
const WINDOW_MILLISECONDS = 4000;
const WINDOW_SECONDS = WINDOW_MILLISECONDS / 1000;
const ALLOWED_MULTIPLE = 1.5;
const ALLOWED_REQUESTS = 5;

const TICK_MILLISECONDS = 20;
const TICKS_PER_MESSAGE = 5;
const TICKS_PER_ZONE_MESSAGE = 10;
const TICKS_PER_VIEW = 25;
const TICKS_PER_RENEWAL = 75;

/** Times that a message between instances is on its way for, usually and if it is late. */
const DELAY_MILLISECONDS = 20;
const MAXIMUM_DELAY_MILLISECONDS = 2000;

/** With more instances, messages go through the relays of the zones. */
const MAXIMUM_DIRECT_INSTANCES = 17;

export const ZONES = 3;

/** A time in which an endpoint names the same limit. */
interface Segment {
  readonly requestsPerSecond: number | undefined;
  /** Counts the times without a break in which the endpoint names limits. */
  readonly period: number;
  endMilliseconds: number;
  /** Time of the first answer that names the limit. */
  namedMilliseconds: number | undefined;
}

/** The most requests that an endpoint with a limit got in a window. */
interface Peak {
  readonly identifier: string;
  readonly requests: number;
  readonly allowed: number;
}

interface Arrival {
  readonly atMilliseconds: number;
  readonly instance: SimulatedInstance;
  /** Time since which the instance had passed on an answer with a limit; undefined if it had not. */
  readonly toldMilliseconds: number | undefined;
}

/** The largest number of times in a window, of times in order. */
function largestWindow(times: readonly number[]): number {
  let start = 0;
  let largest = 0;
  times.forEach((at, end) => {
    while (at - (times[start] as number) >= WINDOW_MILLISECONDS) {
      start += 1;
    }
    largest = Math.max(largest, end + 1 - start);
  });
  return largest;
}

/** One incarnation of an endpoint, with its record of what reached it and what it answered. */
class SimulatedEndpoint {
  readonly record: EndpointRecord;

  readonly arrivals: Arrival[] = [];

  readonly segments: Segment[] = [];

  constructor(record: EndpointRecord) {
    this.record = record;
    this.nameLimit(undefined, 0);
  }

  get current(): Segment {
    return this.segments.at(-1) as Segment;
  }

  nameLimit(requestsPerSecond: number | undefined, now: number): void {
    const previous = this.segments.at(-1);
    const isContinued = previous?.requestsPerSecond !== undefined;
    if (previous !== undefined) {
      previous.endMilliseconds = now;
    }
    this.segments.push({
      requestsPerSecond,
      period: (previous?.period ?? 0) + Number(!isContinued),
      endMilliseconds: Number.POSITIVE_INFINITY,
      namedMilliseconds: undefined,
    });
  }

  /** The largest number of requests in a window of each time with the same limit. */
  *peaks(): Generator<Peak, void, void> {
    for (const segment of this.segments) {
      const { requestsPerSecond } = segment;
      if (requestsPerSecond !== undefined) {
        yield {
          identifier: this.record.identifier,
          requests: largestWindow(this.countedTimes(segment)),
          allowed: ALLOWED_MULTIPLE * requestsPerSecond * WINDOW_SECONDS + ALLOWED_REQUESTS,
        };
      }
    }
  }

  /** Times of the requests that count, in order. */
  private countedTimes({ namedMilliseconds, endMilliseconds }: Segment): number[] {
    const from = (namedMilliseconds ?? Number.POSITIVE_INFINITY) + CONTACT_MILLISECONDS;
    return this.arrivals
      .filter(
        ({ atMilliseconds, toldMilliseconds = Number.POSITIVE_INFINITY, instance }) =>
          atMilliseconds >= from &&
          atMilliseconds < endMilliseconds &&
          atMilliseconds >= toldMilliseconds + PASSED_ON_MILLISECONDS &&
          !instance.isExcusedAt(atMilliseconds),
      )
      .map(({ atMilliseconds }) => atMilliseconds);
  }
}

/** One life of an instance: its knowledge of endpoints and others, and when it was disturbed. */
class SimulatedInstance {
  readonly name: string;

  readonly zone: number;

  readonly registry: EndpointRegistry;

  readonly shares: InstanceRateLimitShares;

  readonly exchange: RateLimitExchange;

  readonly notices: EndpointNotices;

  /** First time at which an answer with a limit was passed on, by endpoint and period. */
  readonly told = new Map<string, number>();

  isRunning = true;

  isFrozen = false;

  isCutOff = false;

  /** Time of the last renewal of its registration; in the distant past before the first. */
  renewedMilliseconds = Number.NEGATIVE_INFINITY;

  /** Tick of each period in which the registration is renewed. */
  readonly renewalTick: number;

  private readonly excuses: { readonly from: number; to: number }[] = [];

  /** What is due while the instance is frozen. */
  private readonly backlog: (() => void)[] = [];

  constructor(name: string, zone: number, world: RateLimitWorld) {
    const { clock } = world;
    this.name = name;
    this.zone = zone;
    this.renewalTick = world.random.integerBelow(TICKS_PER_RENEWAL);
    this.shares = new InstanceRateLimitShares(name, clock);
    this.registry = new EndpointRegistry(new PeerLoads(), world.createShares(this.shares));
    this.registry.replace(world.records);
    const { registry, shares } = this;
    const log = silentLogger;
    this.exchange = new RateLimitExchange({ registry, shares, clock, log });
    this.notices = new EndpointNotices({
      registry,
      clock,
      metrics: new ForwardingMetrics(),
      log,
    });
  }

  excuse(from: number, to: number): void {
    this.excuses.push({ from, to });
  }

  isExcusedAt(at: number): boolean {
    return this.excuses.some(({ from, to }) => at >= from && at < to + CONTACT_MILLISECONDS);
  }

  /** Runs an action, after the end of a freeze, unless the instance has stopped. */
  run(action: () => void): void {
    if (this.isFrozen) {
      this.backlog.push(action);
    } else if (this.isRunning) {
      action();
    }
  }

  setCutOff(isCutOff: boolean): void {
    this.isCutOff = isCutOff;
  }

  /** Renews the registration. */
  renew(now: number): void {
    this.renewedMilliseconds = now;
  }

  pause(): void {
    this.isFrozen = true;
  }

  resume(): void {
    this.isFrozen = false;
    this.backlog.splice(0).forEach((action) => this.run(action));
  }
}

/** How messages and requests are delivered. */
export interface SimulatedNetwork {
  /** Fraction of messages between instances that get lost. */
  readonly lossFraction: number;
  /** Fraction of messages between instances that are late by up to two seconds. */
  readonly lateFraction: number;
  /** Longest time between the choice of an endpoint and the write of the request. */
  readonly connectMilliseconds: number;
  /** Longest time between the arrival of a request and the answer. */
  readonly responseMilliseconds: number;
}

/** What the store holds at a time. */
interface Registrations {
  readonly atMilliseconds: number;
  readonly instances: readonly string[];
  readonly endpoints: readonly EndpointRecord[];
}

export interface RateLimitWorldOptions {
  readonly seed: number;
  readonly instances: number;
  readonly endpoints: number;
  /** Requests per second of each instance. */
  readonly demand: number;
  /** Replaces the shares of an instance, to show what a test finds without them. */
  readonly createShares?: (shares: InstanceRateLimitShares) => RateLimitShares;
}

/** Instances that send requests to endpoints, with a store and a network that may fail. */
export class RateLimitWorld {
  readonly clock = new ManualClock();

  readonly random: SeededRandomSource;

  readonly createShares: (shares: InstanceRateLimitShares) => RateLimitShares;

  instances: SimulatedInstance[] = [];

  /** All incarnations so far. */
  readonly endpoints: SimulatedEndpoint[] = [];

  isStoreAway = false;

  network: SimulatedNetwork = {
    lossFraction: 0.02,
    lateFraction: 0.02,
    connectMilliseconds: 20,
    responseMilliseconds: 400,
  };

  private readonly occupants: SimulatedEndpoint[] = [];

  private readonly demand: number;

  /** Registrations over time, the latest last. */
  private history: Registrations[] = [];

  private ticks = 0;

  private names = 0;

  constructor({ seed, instances, endpoints, demand, createShares }: RateLimitWorldOptions) {
    this.random = new SeededRandomSource(seed);
    this.createShares = createShares ?? ((shares) => shares);
    this.demand = demand;
    for (let index = 0; index < endpoints; index += 1) {
      this.startEndpoint(index);
    }
    this.join(instances);
  }

  get records(): EndpointRecord[] {
    return this.occupants.map(({ record }) => record);
  }

  endpoint(index: number): SimulatedEndpoint {
    return this.occupants[index % this.occupants.length] as SimulatedEndpoint;
  }

  instance(index: number): SimulatedInstance {
    return this.instances[index % this.instances.length] as SimulatedInstance;
  }

  nameLimit(index: number, requestsPerSecond: number | undefined): void {
    this.endpoint(index).nameLimit(requestsPerSecond, this.clock.monotonicMilliseconds());
  }

  /** Starts an incarnation of an endpoint, which names the limit of the one before. */
  startEndpoint(index: number): void {
    const now = this.clock.monotonicMilliseconds();
    const previous = this.occupants[index]?.current;
    const endpoint = new SimulatedEndpoint(
      makeEndpoint(`e-${index}`, {
        address: `10.0.0.1:${index}`,
        startedMilliseconds: this.clock.wallMilliseconds(),
      }),
    );
    if (previous !== undefined) {
      previous.endMilliseconds = now;
      endpoint.nameLimit(previous.requestsPerSecond, now);
    }
    this.occupants[index] = endpoint;
    this.endpoints.push(endpoint);
  }

  join(count: number): void {
    for (let added = 0; added < count; added += 1) {
      this.names += 1;
      const zone = this.names % ZONES;
      this.instances.push(new SimulatedInstance(`instance-${this.names}`, zone, this));
    }
  }

  stop(index: number): void {
    const instance = this.instance(index);
    instance.isRunning = false;
    instance.excuse(0, Number.POSITIVE_INFINITY);
    this.instances = this.instances.filter((each) => each !== instance);
  }

  /** Replaces an instance by one with the same name that knows nothing. */
  restart(index: number): void {
    const { name, zone } = this.instance(index);
    this.stop(index);
    this.instances.push(new SimulatedInstance(name, zone, this));
  }

  freeze(index: number, milliseconds: number): void {
    const instance = this.instance(index);
    const now = this.clock.monotonicMilliseconds();
    instance.pause();
    instance.excuse(now, now + milliseconds);
    this.clock.schedule(milliseconds, () => instance.resume());
  }

  /** Cuts the instances of a zone off from the store and from the other zones. */
  cutOff(zone: number, milliseconds: number): void {
    const now = this.clock.monotonicMilliseconds();
    const affected = this.instances.filter((instance) => instance.zone === zone);
    affected.forEach((instance) => {
      instance.setCutOff(true);
      instance.excuse(now, now + milliseconds);
    });
    this.clock.schedule(milliseconds, () => {
      affected.forEach((instance) => {
        instance.setCutOff(false);
      });
    });
  }

  setStoreAway(isAway: boolean): void {
    this.isStoreAway = isAway;
  }

  setNetwork(network: SimulatedNetwork): void {
    this.network = network;
  }

  async advance(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += TICK_MILLISECONDS) {
      await this.clock.advance(TICK_MILLISECONDS);
      this.tick();
    }
  }

  /** Has each of some instances send requests at the same moment. */
  burst(requests: number): void {
    for (const instance of this.instances) {
      for (let sent = 0; sent < requests; sent += 1) {
        this.sendRequest(instance);
      }
    }
  }

  get peaks(): Peak[] {
    return this.endpoints.flatMap((endpoint) => [...endpoint.peaks()]);
  }

  /** The peaks that break the rule. */
  get breaches(): Peak[] {
    return this.peaks.filter(({ requests, allowed }) => requests > allowed);
  }

  private tick(): void {
    this.ticks += 1;
    this.writeRegistrations();
    this.instances.forEach((instance, index) => {
      if (instance.isFrozen) {
        return;
      }
      if (this.ticks % TICKS_PER_VIEW === index % TICKS_PER_VIEW || this.ticks === 1) {
        this.readView(instance);
      }
      const mean = (this.demand * TICK_MILLISECONDS) / 1000;
      const requests = Math.floor(mean) + Number(this.random.fraction() < mean % 1);
      for (let sent = 0; sent < requests; sent += 1) {
        this.sendRequest(instance);
      }
    });
    if (this.ticks % TICKS_PER_MESSAGE === 0) {
      this.exchangeMessages();
    }
  }

  private writeRegistrations(): void {
    if (this.isStoreAway) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    for (const instance of this.instances) {
      const isDue =
        this.ticks % TICKS_PER_RENEWAL === instance.renewalTick ||
        !Number.isFinite(instance.renewedMilliseconds);
      if (isDue && !instance.isFrozen && !instance.isCutOff) {
        instance.renew(now);
      }
    }
    this.history.push({
      atMilliseconds: now,
      instances: this.instances
        .filter(({ renewedMilliseconds }) => now - renewedMilliseconds < PEER_LEASE_MILLISECONDS)
        .map(({ name }) => name),
      endpoints: this.records,
    });
    this.history = this.history.slice(-(TICKS_PER_VIEW * 2));
  }

  /** Reads the registrations of up to a second ago. */
  private readView(instance: SimulatedInstance): void {
    if (this.isStoreAway || instance.isCutOff) {
      return;
    }
    const lag = this.random.integerBelow(this.history.length);
    const { instances, endpoints, atMilliseconds } = this.history.at(-1 - lag) as Registrations;
    instance.shares.setInstances(instances, this.clock.monotonicMilliseconds() - atMilliseconds);
    instance.registry.replace(endpoints);
  }

  private exchangeMessages(): void {
    if (this.instances.length <= MAXIMUM_DIRECT_INSTANCES) {
      this.instances.forEach((each) => this.sendReports(each, this.instances));
      return;
    }
    const zones = Array.from({ length: ZONES }, (_unused, zone) =>
      this.instances.filter((instance) => instance.zone === zone),
    );
    const relays = zones.flatMap((members) => members.find(({ isFrozen }) => !isFrozen) ?? []);
    for (const relay of relays) {
      const members = zones[relay.zone] ?? [];
      members.forEach((each) => this.sendReports(each, [relay]));
      this.sendReports(relay, members);
      if (this.ticks % TICKS_PER_ZONE_MESSAGE === 0) {
        this.sendReports(relay, relays);
      }
    }
  }

  private sendReports(from: SimulatedInstance, receivers: readonly SimulatedInstance[]): void {
    const rateLimits = from.isFrozen ? [] : from.exchange.reports();
    if (rateLimits.length === 0) {
      return;
    }
    for (const to of receivers) {
      const isReachable = from.isCutOff === to.isCutOff || from.zone === to.zone;
      const isLost = this.random.fraction() < this.network.lossFraction;
      if (to !== from && isReachable && !isLost) {
        const isLate = this.random.fraction() < this.network.lateFraction;
        const range = isLate ? MAXIMUM_DELAY_MILLISECONDS : DELAY_MILLISECONDS;
        this.clock.schedule(this.random.integerBelow(range), () =>
          to.run(() => to.exchange.receive({ sender: from.name, rateLimits })),
        );
      }
    }
  }

  private sendRequest(instance: SimulatedInstance): void {
    const now = this.clock.monotonicMilliseconds();
    const states = instance.registry
      .readyEndpoints('desk')
      .filter(({ availability }) => availability.allowsRequest(now));
    const state = states[this.random.integerBelow(Math.max(1, states.length))];
    if (state === undefined) {
      return;
    }
    const permit = state.availability.startRequest(now, this.clock);
    const isKept = this.random.fraction() < 0.5;
    this.clock.schedule(
      isKept ? 0 : this.random.integerBelow(this.network.connectMilliseconds),
      () => instance.run(() => this.write(instance, state, permit)),
    );
  }

  private write(instance: SimulatedInstance, state: EndpointState, permit: SendPermit): void {
    if (!permit.tryUse()) {
      permit.end();
      return;
    }
    const endpoint = this.occupants.find(
      ({ record }) => record.address === state.record.address,
    ) as SimulatedEndpoint;
    const { record, current } = endpoint;
    const key = `${record.identifier}/${record.startedMilliseconds}/${current.period}`;
    endpoint.arrivals.push({
      atMilliseconds: this.clock.monotonicMilliseconds(),
      instance,
      toldMilliseconds: instance.told.get(key),
    });
    this.clock.schedule(this.random.integerBelow(this.network.responseMilliseconds), () => {
      const now = this.clock.monotonicMilliseconds();
      const { current: named } = endpoint;
      if (named.requestsPerSecond !== undefined) {
        named.namedMilliseconds ??= now;
      }
      // Answers on different connections overtake one another.
      this.clock.schedule(this.random.integerBelow(60), () =>
        instance.run(() => {
          instance.notices.receive(
            state,
            permit,
            {
              isLeaving: false,
              backoffMilliseconds: undefined,
              isAccepted: true,
              isMisdirected: false,
              rateLimit: { requestsPerSecond: named.requestsPerSecond },
            },
            'request',
          );
          permit.end();
          if (named.requestsPerSecond !== undefined) {
            const told = `${record.identifier}/${record.startedMilliseconds}/${named.period}`;
            instance.told.set(told, instance.told.get(told) ?? this.clock.monotonicMilliseconds());
          }
        }),
      );
    });
  }
}
