import { Clock } from 'hickoryrelay/Clock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { AccountQuotas } from 'hickoryrelay-quota/AccountQuotas';
import { AccountUseExchange } from 'hickoryrelay-quota/AccountUseExchange';
import { toleranceOf, windowQuantityOf } from 'hickoryrelay-quota/QuotaLimit';

import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { AccountUseReport } from 'hickoryrelay-quota/AccountUse';
import type { QuotaBounds, QuotaLimit } from 'hickoryrelay-quota/QuotaLimit';

const STEP_MILLISECONDS = 20;
const REPORT_STEPS = 5;
const ZONE_REPORT_STEPS = 10;

/** Requests begin when the instances have heard each other. */
const QUIET_MILLISECONDS = 1000;
const MILLISECONDS_PER_SECOND = 1000;
const MAXIMUM_DIRECT_INSTANCES = 17;

export const ACCOUNT = 'account-1';

/** A clock that a simulation sets. Nothing waits on it. */
export class SimulationClock extends Clock {
  now = 0;

  override monotonicMilliseconds(): number {
    return this.now;
  }

  override wallMilliseconds(): number {
    return this.now;
  }

  override schedule(): () => void {
    return () => {};
  }
}

/** A request that was admitted. */
interface AdmittedRequest {
  readonly atMilliseconds: number;
  readonly cost: number;
}

/** A way to apply the quota of one account at several instances. */
export abstract class QuotaScheme {
  /** Decides on a request that arrives at an instance. */
  abstract admit(instance: number, cost: number, now: number): boolean;

  /** Advances to a time, at which messages may arrive. */
  advance(_now: number): void {
    // Only schemes with messages have something to do.
  }
}

class LocalBucket {
  private level: number;

  private asOf = 0;

  private readonly limit: QuotaLimit;

  constructor(limit: QuotaLimit) {
    this.limit = limit;
    this.level = limit.burst;
  }

  tryTake(cost: number, now: number): boolean {
    const earned = (this.limit.ratePerSecond * (now - this.asOf)) / MILLISECONDS_PER_SECOND;
    this.level = Math.min(this.limit.burst, this.level + earned);
    this.asOf = now;
    if (cost > this.level) {
      return false;
    }
    this.level -= cost;
    return true;
  }
}

/** One token bucket for all instances, without delay: what a central counter would admit. */
export class CentralCounter extends QuotaScheme {
  private readonly bucket: LocalBucket;

  constructor(limit: QuotaLimit) {
    super();
    this.bucket = new LocalBucket(limit);
  }

  override admit(_instance: number, cost: number, now: number): boolean {
    return this.bucket.tryTake(cost, now);
  }
}

/** An equal part of rate and burst for each instance. */
export class EqualDivision extends QuotaScheme {
  private readonly buckets: readonly LocalBucket[];

  constructor(limit: QuotaLimit, instances: number) {
    super();
    this.buckets = Array.from(
      { length: instances },
      () =>
        new LocalBucket({
          ratePerSecond: limit.ratePerSecond / instances,
          burst: limit.burst / instances,
        }),
    );
  }

  override admit(instance: number, cost: number, now: number): boolean {
    return this.buckets[instance]?.tryTake(cost, now) ?? false;
  }
}

/** The faults of the network between the instances. */
export interface NetworkFaults {
  readonly minimumDelayMilliseconds: number;
  readonly maximumDelayMilliseconds: number;
  readonly lossFraction: number;
  readonly doubledFraction: number;
}

/** Each message of a report passes up to three hops, so reports are 0.1 to 1 s old. */
export const LOSSY_NETWORK: NetworkFaults = {
  minimumDelayMilliseconds: 5,
  maximumDelayMilliseconds: 150,
  lossFraction: 0.1,
  doubledFraction: 0.1,
};

/** Each hop takes up to 1 s. */
export const SLOW_NETWORK: NetworkFaults = {
  minimumDelayMilliseconds: 100,
  maximumDelayMilliseconds: 1000,
  lossFraction: 0.2,
  doubledFraction: 0.2,
};

export const USUAL_NETWORK: NetworkFaults = {
  minimumDelayMilliseconds: 1,
  maximumDelayMilliseconds: 20,
  lossFraction: 0,
  doubledFraction: 0,
};

interface SimulatedInstance {
  quotas: AccountQuotas;
  exchange: AccountUseExchange;
  readonly zone: number;
  readonly phase: number;
}

type AlterReport = (
  from: number,
  report: AccountUseReport | undefined,
) => AccountUseReport | undefined;

export interface SharedQuotaOptions {
  readonly limit: QuotaLimit;
  readonly bounds: QuotaBounds;
  readonly instances: number;
  readonly zones: number;
  readonly network: NetworkFaults;
  readonly random: RandomSource;
}

/** The quota as the instances apply it, with the messages that they exchange. */
export class SharedQuota extends QuotaScheme {
  readonly clock = new SimulationClock();

  private readonly options: SharedQuotaOptions;

  private readonly instances: SimulatedInstance[];

  private limits: ReadonlyMap<string, QuotaLimit>;

  private step = 0;

  private readonly deliveries = new Map<number, (() => void)[]>();

  private canReach: (from: number, to: number) => boolean = () => true;

  private alter: AlterReport = (_from, report) => report;

  constructor(options: SharedQuotaOptions) {
    super();
    this.options = options;
    this.limits = new Map([[ACCOUNT, options.limit]]);
    // The instances have run for a while when the simulation starts.
    this.clock.now = -MILLISECONDS_PER_SECOND - options.bounds.windowMilliseconds;
    this.instances = Array.from({ length: options.instances }, (_unused, index) => ({
      ...this.createInstance(),
      zone: index % options.zones,
      phase: options.random.integerBelow(REPORT_STEPS),
    }));
    this.clock.now = 0;
  }

  /** Sets which instances can reach each other. */
  setReach(canReach: (from: number, to: number) => boolean): void {
    this.canReach = canReach;
  }

  /** Sets how the report of an instance is changed before it is sent. */
  setAlter(alter: AlterReport): void {
    this.alter = alter;
  }

  setLimit(limit: QuotaLimit): void {
    this.limits = new Map([[ACCOUNT, limit]]);
  }

  zoneOf(instance: number): number {
    return instance % this.options.zones;
  }

  /** Replaces an instance by one that knows nothing. */
  restart(instance: number): void {
    Object.assign(this.instances[instance] as SimulatedInstance, this.createInstance());
  }

  /** The share of the quota that an instance assumes for those that it hears. */
  shareAt(instance: number): number {
    return [...(this.instances[instance]?.quotas.counts() ?? [])][0]?.share ?? 1;
  }

  override admit(instance: number, cost: number, now: number): boolean {
    const decision = this.instances[instance]?.quotas.tryTake(ACCOUNT, cost, now);
    return decision?.kind === 'taken';
  }

  override advance(now: number): void {
    for (; this.step * STEP_MILLISECONDS <= now; this.step += 1) {
      this.clock.now = this.step * STEP_MILLISECONDS;
      this.deliveries.get(this.step)?.forEach((deliver) => deliver());
      this.deliveries.delete(this.step);
      for (const [index, { phase }] of this.instances.entries()) {
        if ((this.step + phase) % REPORT_STEPS === 0) {
          this.exchangeReports(index, this.step * STEP_MILLISECONDS);
        }
      }
    }
  }

  private createInstance(): Pick<SimulatedInstance, 'quotas' | 'exchange'> {
    const { bounds, instances, random } = this.options;
    const quotas = new AccountQuotas({
      limits: () => this.limits,
      bounds,
      listedInstances: () => instances,
      clock: this.clock,
      random,
    });
    return { quotas, exchange: new AccountUseExchange(quotas, this.clock) };
  }

  /** One period of the load exchange. The first instance of each zone is its relay. */
  private exchangeReports(index: number, now: number): void {
    const instance = this.instances[index] as SimulatedInstance;
    const report = this.alter(index, instance.exchange.ownReport(now));
    const { zones } = this.options;
    if (this.instances.length <= MAXIMUM_DIRECT_INSTANCES) {
      instance.exchange.refreshDirect(now);
      this.instances.forEach((other, to) => {
        if (to !== index) {
          this.send(index, to, (at) => other.exchange.receiveDirect(`${index}`, report, at));
        }
      });
      return;
    }
    const relay = instance.zone;
    if (relay !== index) {
      this.send(index, relay, (at) =>
        this.instances[relay]?.exchange.addMember(`${index}`, report, at),
      );
      return;
    }
    instance.exchange.addMember(`${index}`, report, now);
    const digest = instance.exchange.digest(now);
    instance.exchange.receiveDigest(`${index}`, digest, now);
    for (let member = index + zones; member < this.instances.length; member += zones) {
      this.send(index, member, (at) =>
        this.instances[member]?.exchange.receiveDigest(`${index}`, digest, at),
      );
    }
    if ((this.step + instance.phase) % ZONE_REPORT_STEPS === 0) {
      const zoneReport = instance.exchange.zoneReport(now);
      for (let other = 0; other < zones; other += 1) {
        if (other !== index) {
          this.send(index, other, (at) =>
            this.instances[other]?.exchange.addZone(`${index}`, `${index}`, zoneReport, at),
          );
        }
      }
    }
  }

  private send(from: number, to: number, deliver: (now: number) => void): void {
    const { network, random } = this.options;
    const copies = random.fraction() < network.doubledFraction ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.canReach(from, to) && random.fraction() >= network.lossFraction) {
        const delay =
          network.minimumDelayMilliseconds +
          random.fraction() * (network.maximumDelayMilliseconds - network.minimumDelayMilliseconds);
        const step = this.step + Math.max(1, Math.ceil(delay / STEP_MILLISECONDS));
        const now = step * STEP_MILLISECONDS;
        const queue = this.deliveries.get(step) ?? [];
        queue.push(() => deliver(now));
        this.deliveries.set(step, queue);
      }
    }
  }
}

/** The requests of an account. */
export interface Demand {
  /** Units per second at a time. */
  readonly perSecond: (now: number) => number;
  /** Fraction of requests that are large. */
  readonly largeFraction: number;
  readonly largeCost: number;
  readonly smallCost: number;
  /** Relative number of requests at each instance. */
  readonly weights: readonly number[];
}

/** Even weights, or ones that fall with the number of the instance. */
export function weightsOf(instances: number, isSkewed: boolean): number[] {
  return Array.from({ length: instances }, (_unused, index) => (isSkewed ? 1 / (index + 1) : 1));
}

/** What a scheme did with a demand. */
export interface SchemeOutcome {
  /** Admitted units as a fraction of those that the rate and one burst allow in the time. */
  readonly usedFraction: number;
  readonly refusedUnitFraction: number;
  /** Admitted part of the units of large requests, and of small ones. */
  readonly largeFraction: number;
  readonly smallFraction: number;
  /** The fullest sliding window, as a fraction of the bound. */
  readonly fullestWindow: number;
  readonly admitted: readonly AdmittedRequest[];
}

/** Returns the most units admitted in any sliding window that ends after a time. */
export function fullestWindowOf(
  admitted: readonly AdmittedRequest[],
  windowMilliseconds: number,
  fromMilliseconds = 0,
): number {
  let start = 0;
  let sum = 0;
  let most = 0;
  for (const { atMilliseconds, cost } of admitted) {
    sum += cost;
    while (
      (admitted[start] as AdmittedRequest).atMilliseconds <=
      atMilliseconds - windowMilliseconds
    ) {
      sum -= (admitted[start] as AdmittedRequest).cost;
      start += 1;
    }
    if (atMilliseconds >= fromMilliseconds) {
      most = Math.max(most, sum);
    }
  }
  return most;
}

export interface SimulationOptions {
  readonly scheme: QuotaScheme;
  readonly demand: Demand;
  readonly limit: QuotaLimit;
  readonly bounds: QuotaBounds;
  readonly milliseconds: number;
  readonly random: RandomSource;
  /** True if the callers send only what a bucket of rate and burst allows. */
  readonly isConforming?: boolean;
  /** Called at each step, for faults. */
  readonly onStep?: (now: number) => void;
}

/** Lets a scheme decide on requests that arrive at random. */
export function simulate(options: SimulationOptions): SchemeOutcome {
  const { scheme, demand, limit, bounds, random } = options;
  const { largeFraction, largeCost, smallCost, weights } = demand;
  const meanCost = largeFraction * largeCost + (1 - largeFraction) * smallCost;
  const cumulative: number[] = [];
  weights.reduce((sum, weight) => {
    cumulative.push(sum + weight);
    return sum + weight;
  }, 0);
  const chooseInstance = () => {
    const point = random.fraction() * (cumulative.at(-1) ?? 0);
    let low = 0;
    let high = cumulative.length - 1;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((cumulative[middle] as number) > point) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  };
  const admitted: AdmittedRequest[] = [];
  const requested = { large: 0, small: 0 };
  const taken = { large: 0, small: 0 };
  const reference = new LocalBucket(limit);
  for (let now = 0; now < options.milliseconds; now += STEP_MILLISECONDS) {
    options.onStep?.(now);
    scheme.advance(now);
    const seconds = STEP_MILLISECONDS / MILLISECONDS_PER_SECOND;
    const perSecond = now < QUIET_MILLISECONDS ? 0 : demand.perSecond(now);
    const arrivals = (perSecond * seconds) / meanCost;
    // Geometric number of arrivals with the given mean: more bursty than Poisson.
    while (random.fraction() < arrivals / (1 + arrivals)) {
      const kind = random.fraction() < largeFraction ? 'large' : 'small';
      const cost = kind === 'large' ? largeCost : smallCost;
      const instance = chooseInstance();
      if (options.isConforming !== true || reference.tryTake(cost, now)) {
        requested[kind] += cost;
        if (scheme.admit(instance, cost, now)) {
          taken[kind] += cost;
          admitted.push({ atMilliseconds: now, cost });
        }
      }
    }
  }
  const admittedUnits = taken.large + taken.small;
  const bound = windowQuantityOf(limit, bounds) + toleranceOf(limit, bounds);
  const loadedSeconds = (options.milliseconds - QUIET_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  const allowedUnits = limit.ratePerSecond * loadedSeconds + limit.burst;
  return {
    usedFraction: admittedUnits / allowedUnits,
    refusedUnitFraction: 1 - admittedUnits / (requested.large + requested.small),
    largeFraction: taken.large / requested.large,
    smallFraction: taken.small / requested.small,
    fullestWindow: fullestWindowOf(admitted, bounds.windowMilliseconds) / bound,
    admitted,
  };
}

/** The limits of the deployment for which the quota was designed. */
export const DESIGN_LIMIT: QuotaLimit = { ratePerSecond: 29_000, burst: 29_600 };

export const DESIGN_BOUNDS: QuotaBounds = {
  windowMilliseconds: 8000,
  overshoot: 0.1,
  slack: 190_000,
};

/** Demand of a multiple of the rate, a third of it in long requests by number. */
export function designDemand(multiple: number, instances: number, isSkewed: boolean): Demand {
  return {
    perSecond: () => DESIGN_LIMIT.ratePerSecond * multiple,
    largeFraction: 0.3,
    largeCost: 17_000,
    smallCost: 400,
    weights: weightsOf(instances, isSkewed),
  };
}

/** The three schemes for the same limit. */
export function schemesOf(options: SharedQuotaOptions): { name: string; scheme: QuotaScheme }[] {
  return [
    { name: 'shared', scheme: new SharedQuota(options) },
    { name: 'equal division', scheme: new EqualDivision(options.limit, options.instances) },
    { name: 'central counter', scheme: new CentralCounter(options.limit) },
  ];
}

export function seededRandom(seed: number): RandomSource {
  return new SeededRandomSource(seed);
}
