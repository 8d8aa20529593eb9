import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { BufferedRemoteUsage } from 'hickoryrelay-admission/RemoteUsage';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { decodeCacheChanges, decodeCacheSnapshot } from 'hickoryrelay-endpoint/CacheEvents';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { cacheReadIntervalMilliseconds } from 'hickoryrelay-instance/CacheEventTasks';
import { TrafficPolicy } from 'hickoryrelay-instance/TrafficPolicy';
import {
  MAXIMUM_EVENTS,
  MAXIMUM_SNAPSHOT_KEYS,
  REQUEST_OVERHEAD_BYTES,
} from 'hickoryrelay-link/EngineStatusLink';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { CacheEventLog } from 'hickoryrelay-standin/CacheEventLog';
import { EngineServiceModel } from 'hickoryrelay-standin/EngineServiceModel';
import { Fleet } from 'hickoryrelay-zone/Fleet';

import {
  FirstComeFirstServedAdmission,
  LeastOutstandingSelection,
  RoundRobinSelection,
} from './Baselines.js';
import { CLASSES, MODEL, nominalCost, Workload } from './Workload.js';

import type { PlannedCall } from './Workload.js';
import type { AdmissionPolicy } from 'hickoryrelay-admission/AdmissionPolicy';
import type { AccountUsage } from 'hickoryrelay-admission/RemoteUsage';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { Call } from 'hickoryrelay-link/Call';
import type { EndpointCall } from 'hickoryrelay-zone/EndpointCall';
import type { SelectionPolicy } from 'hickoryrelay-zone/SelectionPolicy';

/** The policies that the benchmark compares. */
export const PolicyName = {
  Hickoryrelay: 'hickoryrelay',
  RoundRobin: 'round-robin',
  LeastOutstanding: 'least-outstanding',
  FirstComeFirstServed: 'first-come',
} as const;

export type PolicyName = (typeof PolicyName)[keyof typeof PolicyName];

/** Demand of one account, in milliseconds of engine time per second. */
export interface AccountDemand {
  readonly account: string;
  readonly costPerSecond: number;
}

/** Parameters of one simulation run. */
export interface SimulationScenario {
  readonly seed: number;
  readonly seconds: number;
  /** Calls that arrive before this time are excluded from the results. */
  readonly warmUpSeconds: number;
  readonly demands: readonly AccountDemand[];
  /** Share of prefill in the demanded work at a given time. */
  readonly prefillShare: (seconds: number) => number;
  /** Time of the reclaim notice for the reclaimable engines of zone c, which end 3 s later. */
  readonly reclaimSeconds?: number;
  /** Bandwidth of an instance for cache events; 0 disables routing by cache events. */
  readonly cacheEventBytesPerSecond: number;
  /** Share of cache events that are lost before publication. */
  readonly lostEvents: number;
  /** Concurrent calls per engine of the fleet under first come, first served. */
  readonly firstComeLimit: number;
}

/** Savings by the prefix caches and the cost of reading cache events. */
export interface CacheStatistics {
  /** Share of all prompt tokens that were found in a prefix cache. */
  readonly savedShare: number;
  /** Average per instance. */
  readonly eventBytesPerSecond: number;
  /** Average per instance. */
  readonly snapshotsPerSecond: number;
}

/** Outcome of a call. */
export interface CallOutcome {
  readonly account: string;
  readonly className: string;
  readonly arrivalSeconds: number;
  readonly cost: number;
  readonly isRefused: boolean;
  readonly meetsTargets: boolean;
  readonly isFirstTokenLate: boolean;
  readonly isComplete: boolean;
  readonly wasRerouted: boolean;
  readonly ranOnReclaimable: boolean;
}

const STEP_MILLISECONDS = 10;
const REPORT_INTERVAL_MILLISECONDS = 1000;
const USAGE_EXCHANGE_INTERVAL_MILLISECONDS = 1000;
const RECLAIM_NOTICE_SECONDS = 3;
const MILLISECONDS_PER_SECOND = 1000;
const MAX_DIGEST_ACCOUNTS = 8;
export const ENGINE_COUNT = 13;
const INSTANCE_COUNT = 7;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

const MAX_QUEUED_CALLS = 512;

function createEndpointKind(name: string, reclaimable: boolean, costPerHour: number): EndpointKind {
  return {
    name,
    serves: WorkKind.Model,
    models: [MODEL],
    routes: [],
    checksFencing: true,
    reclaimable,
    costPerHour,
  };
}

const ENDPOINT_KINDS: ReadonlyMap<string, EndpointKind> = new Map(
  [
    createEndpointKind('engine-lasting', false, 8),
    createEndpointKind('engine-reclaimable', true, 3),
  ].map((kind) => [kind.name, kind]),
);

interface SimulatedEngine {
  readonly identifier: string;
  readonly zone: string;
  readonly kind: string;
  readonly service: EngineServiceModel;
  readonly log: CacheEventLog;
  state: SupplyState;
}

/** An instance that runs the policies without network connections. */
class SimulatedInstance {
  readonly fleet = new Fleet();

  private ownCosts = new Map<string, number>();

  readonly remoteUsage = new BufferedRemoteUsage((account, cost) => {
    this.ownCosts.set(account, (this.ownCosts.get(account) ?? 0) + cost);
  });

  private readonly nextReadMilliseconds = new Map<string, number>();

  private readonly scenario: SimulationScenario;

  eventBytes = 0;

  snapshotCount = 0;

  readonly policy: TrafficPolicy;

  readonly admission: AdmissionPolicy<Call>;

  readonly selection: SelectionPolicy;

  constructor(index: number, name: PolicyName, clock: ManualClock, scenario: SimulationScenario) {
    this.scenario = scenario;
    this.policy = new TrafficPolicy({
      instanceName: `entry-${index}`,
      zone: ZONES[index % ZONES.length] ?? '',
      fleet: this.fleet,
      clock,
      random: new SeededRandomSource(scenario.seed * 100 + index),
      remoteUsage: this.remoteUsage,
      classOf: (className) => CLASSES.get(className),
      queueLimit: MAX_QUEUED_CALLS,
    });
    const isHickoryrelay = name === PolicyName.Hickoryrelay;
    const limit =
      name === PolicyName.FirstComeFirstServed
        ? Math.floor((ENGINE_COUNT * scenario.firstComeLimit) / INSTANCE_COUNT)
        : Number.POSITIVE_INFINITY;
    this.admission = isHickoryrelay
      ? this.policy.admission
      : new FirstComeFirstServedAdmission(limit);
    if (isHickoryrelay) {
      this.selection = this.policy.selection;
    } else {
      this.selection =
        name === PolicyName.RoundRobin
          ? new RoundRobinSelection(index)
          : new LeastOutstandingSelection(index);
    }
  }

  /** Share of the learned capacity that is free while calls are queued; 0 if none is queued. */
  get unusedCapacity(): number {
    if (this.policy.admission.size === 0) {
      return 0;
    }
    let free = 0;
    let total = 0;
    for (const { callsInFlight, freeCapacity } of this.policy.pool.members) {
      free += freeCapacity;
      total += freeCapacity + callsInFlight;
    }
    return free / Math.max(1, total);
  }

  /** Reads the cache events of an engine if a read is due, as `CacheEventTask` does. */
  readCacheEvents({ identifier, log, zone }: SimulatedEngine, nowMilliseconds: number): void {
    const { cacheEventBytesPerSecond } = this.scenario;
    const engine = this.fleet.zone(zone).find(identifier);
    const isDue = nowMilliseconds >= (this.nextReadMilliseconds.get(identifier) ?? 0);
    if (cacheEventBytesPerSecond === 0 || !isDue || !(engine instanceof Engine)) {
      return;
    }
    const bytesBefore = this.eventBytes;
    const { prefixIndex } = engine;
    const hasAppliedChanges =
      prefixIndex.isSynchronized &&
      prefixIndex.applyChanges(
        decodeCacheChanges(
          this.queryCacheEvents(log, { after: prefixIndex.lastEventNumber, limit: MAXIMUM_EVENTS }),
        ),
      );
    if (!hasAppliedChanges) {
      this.snapshotCount += 1;
      prefixIndex.applySnapshot(
        decodeCacheSnapshot(this.queryCacheEvents(log, { limit: MAXIMUM_SNAPSHOT_KEYS })),
      );
    }
    const intervalMilliseconds = cacheReadIntervalMilliseconds(
      this.eventBytes - bytesBefore,
      ENGINE_COUNT,
      cacheEventBytesPerSecond,
    );
    this.nextReadMilliseconds.set(identifier, nowMilliseconds + intervalMilliseconds);
  }

  private queryCacheEvents(log: CacheEventLog, query: Record<string, number>): unknown {
    const parameters = Object.entries(query).map(([name, value]): [string, string] => [
      name,
      String(value),
    ]);
    const { body } = log.answer(new URLSearchParams(parameters));
    this.eventBytes += REQUEST_OVERHEAD_BYTES + JSON.stringify(body).length;
    return body;
  }

  /** Returns the highest account costs since the last call, as in a digest row, and resets all. */
  drainOwnCosts(): readonly AccountUsage[] {
    const byCost = [...this.ownCosts].filter(([, cost]) => cost > 0);
    byCost.sort((left, right) => right[1] - left[1]);
    this.ownCosts.clear();
    return byCost.slice(0, MAX_DIGEST_ACCOUNTS);
  }
}

/** Simulates calls through the policies of instances on modelled engines. Deterministic by seed. */
export class PolicySimulation {
  readonly outcomes: CallOutcome[] = [];

  private readonly clock = new ManualClock();

  private readonly scenario: SimulationScenario;

  /** Separate from the source of arrivals, so that every policy gets the same arrivals. */
  private readonly random: SeededRandomSource;

  private readonly unfinished = new Map<string, CallOutcome>();

  private readonly engines: readonly SimulatedEngine[];

  private readonly instances: readonly SimulatedInstance[];

  private unusedCapacitySum = 0;

  private measuredSteps = 0;

  private readonly interruptionCallbacks = new Map<string, Set<() => void>>();

  constructor(name: PolicyName, scenario: SimulationScenario) {
    this.scenario = scenario;
    this.random = new SeededRandomSource(scenario.seed + 1_000_000);
    this.engines = Array.from({ length: ENGINE_COUNT }, (empty, index) => {
      const service = new EngineServiceModel();
      return {
        identifier: `engine-${index}`,
        zone: ZONES[index % ZONES.length] ?? '',
        // 6 of the 13 engines are reclaimable: all 4 of zone c and 2 of zone b.
        kind:
          index % 3 === 2 || index === 1 || index === 4 ? 'engine-reclaimable' : 'engine-lasting',
        service,
        log: new CacheEventLog(service.cache, `run-${index}`),
        state: SupplyState.Live,
      };
    });
    this.instances = Array.from(
      { length: INSTANCE_COUNT },
      (empty, index) => new SimulatedInstance(index, name, this.clock, scenario),
    );
  }

  /** Unused capacity while calls are queued, averaged over instances and time after the warm-up. */
  get unusedCapacity(): number {
    return this.unusedCapacitySum / Math.max(1, this.measuredSteps * INSTANCE_COUNT);
  }

  get cacheStatistics(): CacheStatistics {
    const sum = (values: readonly number[]) => values.reduce((total, each) => total + each, 0);
    const instanceSeconds = INSTANCE_COUNT * this.scenario.seconds;
    return {
      savedShare:
        sum(this.engines.map(({ service }) => service.cachedPromptTokens)) /
        sum(this.engines.map(({ service }) => service.promptTokens)),
      eventBytesPerSecond:
        sum(this.instances.map(({ eventBytes }) => eventBytes)) / instanceSeconds,
      snapshotsPerSecond:
        sum(this.instances.map(({ snapshotCount: snapshots }) => snapshots)) / instanceSeconds,
    };
  }

  async run(): Promise<readonly CallOutcome[]> {
    const arrivals = new SeededRandomSource(this.scenario.seed);
    const workload = new Workload(arrivals);
    this.updateFleets();
    for (let step = 0; step * STEP_MILLISECONDS < this.scenario.seconds * 1000; step += 1) {
      const nowMilliseconds = step * STEP_MILLISECONDS;
      const seconds = nowMilliseconds / MILLISECONDS_PER_SECOND;
      this.reclaimEngines(nowMilliseconds);
      this.exchangeReports(nowMilliseconds);
      for (const { account, costPerSecond } of this.scenario.demands) {
        const prefillShare = this.scenario.prefillShare(seconds);
        for (const planned of workload.arrivals(
          account,
          costPerSecond,
          prefillShare,
          nowMilliseconds,
          STEP_MILLISECONDS,
        )) {
          const instance = this.instances[arrivals.integerBelow(INSTANCE_COUNT)];
          if (instance !== undefined) {
            void this.relay(planned, instance);
          }
        }
      }
      for (const { service } of this.engines) {
        service.advance(STEP_MILLISECONDS);
      }
      await this.clock.advance(STEP_MILLISECONDS);
      if (seconds >= this.scenario.warmUpSeconds) {
        this.measuredSteps += 1;
        for (const { unusedCapacity } of this.instances) {
          this.unusedCapacitySum += unusedCapacity;
        }
      }
    }
    this.outcomes.push(...this.unfinished.values());
    return this.outcomes;
  }

  private async relay(planned: PlannedCall, instance: SimulatedInstance): Promise<void> {
    const { call, answerTokens } = planned;
    const arrivalSeconds = call.arrivalMilliseconds / MILLISECONDS_PER_SECOND;
    const initialOutcome = {
      account: call.accountName ?? '',
      className: call.className,
      arrivalSeconds,
      cost: nominalCost(call.promptTokens, answerTokens),
      isRefused: false,
      meetsTargets: false,
      isFirstTokenLate: false,
      isComplete: false,
      wasRerouted: false,
      ranOnReclaimable: false,
    };
    this.record(call.requestIdentifier, initialOutcome);
    try {
      const ticket = await instance.admission.admit(call, new AbortController().signal);
      const answer: { first: number | undefined; delivered: number } = {
        first: undefined,
        delivered: 0,
      };
      let attempts = 0;
      let ranOnReclaimable = false;
      for (const endpoint of instance.selection.candidates(call, instance.fleet)) {
        attempts += 1;
        ranOnReclaimable ||= endpoint.kind.reclaimable;
        const attempt = instance.policy.beginAttempt(endpoint, call);
        const deliveredBefore = answer.delivered;
        const isComplete = await this.attempt(
          endpoint.identifier,
          planned,
          deliveredBefore,
          (tokens) => {
            answer.delivered = deliveredBefore + tokens;
            answer.first ??= this.clock.monotonicMilliseconds();
            ticket.recordFirstChunk();
            PolicySimulation.recordTokens(attempt, tokens);
          },
        );
        attempt.end(isComplete);
        if (isComplete) {
          break;
        }
      }
      ticket.settle(answer.delivered);
      ticket.release();
      const endMilliseconds = this.clock.monotonicMilliseconds();
      const lateness = CLASSES.get(call.className)?.targets.lateness;
      const firstTokenTargetMilliseconds = lateness?.firstTokenMilliseconds ?? 0;
      const betweenTokensTargetMilliseconds = lateness?.betweenTokensMilliseconds ?? 0;
      const { delivered, first } = answer;
      const isComplete = delivered >= answerTokens && first !== undefined;
      const isFirstTokenLate =
        (first ?? endMilliseconds) - call.arrivalMilliseconds > firstTokenTargetMilliseconds;
      const meetsTargets =
        isComplete &&
        !isFirstTokenLate &&
        (endMilliseconds - (first ?? 0)) / Math.max(1, answerTokens - 1) <=
          betweenTokensTargetMilliseconds;
      const wasRerouted = attempts > 1;
      const outcome = {
        ...initialOutcome,
        meetsTargets,
        isFirstTokenLate,
        isComplete,
        wasRerouted,
        ranOnReclaimable,
      };
      this.finish(call.requestIdentifier, outcome);
    } catch {
      this.finish(call.requestIdentifier, { ...initialOutcome, isRefused: true });
    }
  }

  /** Resolves with true when the answer is complete, or with false when the engine is reclaimed. */
  private attempt(
    identifier: string,
    planned: PlannedCall,
    delivered: number,
    onTokens: (tokens: number) => void,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const engine = this.engines.find((each) => each.identifier === identifier);
      const callbacks = this.interruptionCallbacks.get(identifier) ?? new Set();
      this.interruptionCallbacks.set(identifier, callbacks);
      const interrupt = () => resolve(false);
      callbacks.add(interrupt);
      engine?.service.submit({
        promptTokens: planned.call.promptTokens + delivered,
        prefixKeys: planned.call.prefixKeys ?? [],
        decodeTokens: Math.max(1, planned.answerTokens - delivered),
        onTokens,
        onEnd: () => {
          callbacks.delete(interrupt);
          resolve(true);
        },
      });
    });
  }

  private record(identifier: string, outcome: CallOutcome): void {
    if (outcome.arrivalSeconds >= this.scenario.warmUpSeconds) {
      this.unfinished.set(identifier, outcome);
    }
  }

  private finish(identifier: string, outcome: CallOutcome): void {
    if (this.unfinished.delete(identifier)) {
      this.outcomes.push(outcome);
    }
  }

  /** Publishes load reports and cache events, staggered by engine, and usage once a second. */
  private exchangeReports(nowMilliseconds: number): void {
    const stepsPerInterval = REPORT_INTERVAL_MILLISECONDS / STEP_MILLISECONDS;
    for (const [engineIndex, simulatedEngine] of this.engines.entries()) {
      const { identifier, log, service, zone } = simulatedEngine;
      if ((nowMilliseconds / STEP_MILLISECONDS + engineIndex * 7) % stepsPerInterval === 0) {
        const report = service.report();
        log.publish(() => this.random.fraction() <= this.scenario.lostEvents);
        for (const { fleet } of this.instances) {
          const engine = fleet.zone(zone).find(identifier);
          if (engine instanceof Engine) {
            engine.load.update(report);
          }
        }
      }
      for (const instance of this.instances) {
        instance.readCacheEvents(simulatedEngine, nowMilliseconds);
      }
    }
    if (nowMilliseconds % USAGE_EXCHANGE_INTERVAL_MILLISECONDS === 0) {
      for (const instance of this.instances) {
        const costs = instance.drainOwnCosts();
        for (const other of this.instances) {
          if (other !== instance) {
            other.remoteUsage.add(costs);
          }
        }
      }
    }
  }

  private reclaimEngines(nowMilliseconds: number): void {
    const { reclaimSeconds } = this.scenario;
    if (reclaimSeconds === undefined) {
      return;
    }
    const isNoticeDue = nowMilliseconds === reclaimSeconds * MILLISECONDS_PER_SECOND;
    const isReclaimDue =
      nowMilliseconds === (reclaimSeconds + RECLAIM_NOTICE_SECONDS) * MILLISECONDS_PER_SECOND;
    const reclaimedEngines = this.engines.filter(
      ({ kind, zone }) => kind === 'engine-reclaimable' && zone === 'zone-c',
    );
    if (isNoticeDue) {
      for (const engine of reclaimedEngines) {
        engine.state = SupplyState.Leaving;
      }
      this.updateFleets();
    }
    if (isReclaimDue) {
      for (const { identifier, service } of reclaimedEngines) {
        service.reclaim();
        this.interruptionCallbacks.get(identifier)?.forEach((interrupt) => interrupt());
      }
    }
  }

  private updateFleets(): void {
    for (const { fleet } of this.instances) {
      fleet.update(
        this.engines.map(({ identifier, kind, state, zone }) => ({
          identifier,
          kind,
          zone,
          state,
          url: `http://${identifier}`,
        })),
        ENDPOINT_KINDS,
      );
    }
  }

  private static recordTokens(attempt: EndpointCall, tokens: number): void {
    attempt.recordFirstChunk();
    attempt.progress(tokens);
  }
}
