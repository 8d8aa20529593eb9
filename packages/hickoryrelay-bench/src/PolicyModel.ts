import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { decodeCacheChanges, decodeCacheSnapshot } from 'hickoryrelay-endpoint/CacheEvents';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { cacheReadIntervalMilliseconds } from 'hickoryrelay-instance/CacheEventTasks';
import { BufferedRemoteUsage } from 'hickoryrelay-instance/RemoteUsage';
import { TrafficPolicy } from 'hickoryrelay-instance/TrafficPolicy';
import {
  MOST_EVENTS,
  MOST_SNAPSHOT_KEYS,
  READ_OVERHEAD_BYTES,
} from 'hickoryrelay-link/EngineStatusLink';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { CacheEventLog } from 'hickoryrelay-standin/CacheEventLog';
import { EngineServiceModel } from 'hickoryrelay-standin/EngineServiceModel';
import { Fleet } from 'hickoryrelay-zone/Fleet';

import { FirstComeAdmission, LeastOfAllSelection, RoundRobinSelection } from './Baselines.js';
import { CLASSES, MODEL, nominalCost, Workload } from './Workload.js';

import type { PlannedCall } from './Workload.js';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { AdmissionPolicy } from 'hickoryrelay-instance/AdmissionPolicy';
import type { AccountUsage } from 'hickoryrelay-instance/RemoteUsage';
import type { EndpointCall } from 'hickoryrelay-zone/EndpointCall';
import type { SelectionPolicy } from 'hickoryrelay-zone/SelectionPolicy';

/** The policies that the load tool compares. */
export const PolicyName = {
  Hickoryrelay: 'hickoryrelay',
  RoundRobin: 'round-robin',
  LeastOutstanding: 'least-outstanding',
  FirstCome: 'first-come',
} as const;

export type PolicyName = (typeof PolicyName)[keyof typeof PolicyName];

/** Demand of one account, in engine time (milliseconds) a second. */
export interface AccountDemand {
  readonly account: string;
  readonly costPerSecond: number;
}

/** One run of the model. */
export interface Scenario {
  readonly seed: number;
  readonly seconds: number;
  /** Calls that arrive earlier are not counted. */
  readonly warmUpSeconds: number;
  readonly demands: readonly AccountDemand[];
  /** Part of the work that is prefill, at a time in seconds. */
  readonly prefillPart: (seconds: number) => number;
  /** When the reclaimable engines of zone c are announced as leaving; they end 3 s later. */
  readonly reclaimSeconds?: number;
  /** Bytes a second that an instance spends on cache events; 0 for routing without them. */
  readonly cacheEventBytesPerSecond: number;
  /** Part of the cache events that is lost before they are published. */
  readonly lostEvents: number;
  /** Calls that first come, first served runs at a time, for each engine of the fleet. */
  readonly firstComeLimit: number;
}

/** What the prefix caches saved, and what the cache events cost. */
export interface CacheFigures {
  /** Part of all prompt tokens that a cache held. */
  readonly savedPart: number;
  /** Bytes a second that one instance spent on cache events, on average. */
  readonly eventBytesPerSecond: number;
  /** Snapshots that one instance read in a second, on average. */
  readonly snapshotsPerSecond: number;
}

/** What became of a call. */
export interface CallOutcome {
  readonly account: string;
  readonly className: string;
  readonly arrivalSeconds: number;
  readonly cost: number;
  readonly isRefused: boolean;
  readonly isMet: boolean;
  readonly isFirstLate: boolean;
  readonly isComplete: boolean;
  readonly wasMoved: boolean;
  readonly ranOnReclaimable: boolean;
}

const STEP_MILLISECONDS = 10;
const REPORT_INTERVAL_MILLISECONDS = 1000;
const GOSSIP_INTERVAL_MILLISECONDS = 1000;
const RECLAIM_NOTICE_SECONDS = 3;
const MILLISECONDS_PER_SECOND = 1000;
const LARGEST_ACCOUNTS = 8;
export const ENGINE_COUNT = 13;
const INSTANCE_COUNT = 7;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

const QUEUE_LIMIT = 512;

function kindOf(name: string, reclaimable: boolean, costPerHour: number): EndpointKind {
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

const KINDS: ReadonlyMap<string, EndpointKind> = new Map(
  [kindOf('engine-lasting', false, 8), kindOf('engine-reclaimable', true, 3)].map((kind) => [
    kind.name,
    kind,
  ]),
);

interface ModelledEngine {
  readonly identifier: string;
  readonly zone: string;
  readonly kind: string;
  readonly service: EngineServiceModel;
  readonly log: CacheEventLog;
  state: SupplyState;
}

/** An instance with its policies and no connections. */
class ModelledInstance {
  readonly fleet = new Fleet();

  private ownUse = new Map<string, number>();

  readonly remoteUse = new BufferedRemoteUsage((account, cost) => {
    this.ownUse.set(account, (this.ownUse.get(account) ?? 0) + cost);
  });

  private readonly nextReads = new Map<string, number>();

  private readonly scenario: Scenario;

  eventBytes = 0;

  snapshots = 0;

  readonly policy: TrafficPolicy;

  readonly admission: AdmissionPolicy;

  readonly selection: SelectionPolicy;

  constructor(index: number, name: PolicyName, clock: ManualClock, scenario: Scenario) {
    this.scenario = scenario;
    this.policy = new TrafficPolicy({
      instanceName: `entry-${index}`,
      zone: ZONES[index % ZONES.length] ?? '',
      fleet: this.fleet,
      clock,
      random: new SeededRandomSource(scenario.seed * 100 + index),
      remoteUsage: this.remoteUse,
      classOf: (className) => CLASSES.get(className),
      queueLimit: QUEUE_LIMIT,
    });
    const isOurs = name === PolicyName.Hickoryrelay;
    const limit =
      name === PolicyName.FirstCome
        ? Math.floor((ENGINE_COUNT * scenario.firstComeLimit) / INSTANCE_COUNT)
        : Number.POSITIVE_INFINITY;
    this.admission = isOurs ? this.policy.admission : new FirstComeAdmission(limit);
    if (isOurs) {
      this.selection = this.policy.selection;
    } else {
      this.selection =
        name === PolicyName.RoundRobin
          ? new RoundRobinSelection(index)
          : new LeastOfAllSelection(index);
    }
  }

  /** Part of the learned room that stays unused while calls wait; 0 while none waits. */
  get unusedRoom(): number {
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

  /** Reads the cache events of an engine when their time has come, as `CacheEventTask` does. */
  readEvents({ identifier, log, zone }: ModelledEngine, now: number): void {
    const { cacheEventBytesPerSecond } = this.scenario;
    const engine = this.fleet.zone(zone).find(identifier);
    const isDue = now >= (this.nextReads.get(identifier) ?? 0);
    if (cacheEventBytesPerSecond === 0 || !isDue || !(engine instanceof Engine)) {
      return;
    }
    const bytesBefore = this.eventBytes;
    const { prefixIndex } = engine;
    const isContinued =
      prefixIndex.isSynchronized &&
      prefixIndex.applyChanges(
        decodeCacheChanges(
          this.ask(log, { after: prefixIndex.lastEventNumber, limit: MOST_EVENTS }),
        ),
      );
    if (!isContinued) {
      this.snapshots += 1;
      prefixIndex.applySnapshot(decodeCacheSnapshot(this.ask(log, { limit: MOST_SNAPSHOT_KEYS })));
    }
    const interval = cacheReadIntervalMilliseconds(
      this.eventBytes - bytesBefore,
      ENGINE_COUNT,
      cacheEventBytesPerSecond,
    );
    this.nextReads.set(identifier, now + interval);
  }

  private ask(log: CacheEventLog, query: Record<string, number>): unknown {
    const parameters = Object.entries(query).map(([name, value]): [string, string] => [
      name,
      String(value),
    ]);
    const { body } = log.answer(new URLSearchParams(parameters));
    this.eventBytes += READ_OVERHEAD_BYTES + JSON.stringify(body).length;
    return body;
  }

  /** Cost since the last call of the accounts that used most, as a digest row holds it. */
  takeOwnUse(): readonly AccountUsage[] {
    const byCost = [...this.ownUse].filter(([, cost]) => cost > 0);
    byCost.sort((left, right) => right[1] - left[1]);
    this.ownUse.clear();
    return byCost.slice(0, LARGEST_ACCOUNTS);
  }
}

/** Runs calls through the policies of the instances on modelled engines. Repeatable by seed. */
export class PolicyModel {
  readonly outcomes: CallOutcome[] = [];

  private readonly clock = new ManualClock();

  private readonly scenario: Scenario;

  /** Draws that differ between policies come from another source than the arrivals. */
  private readonly random: SeededRandomSource;

  private readonly unfinished = new Map<string, CallOutcome>();

  private readonly engines: readonly ModelledEngine[];

  private readonly instances: readonly ModelledInstance[];

  private unusedRoomSum = 0;

  private countedSteps = 0;

  private readonly onCut = new Map<string, Set<() => void>>();

  constructor(name: PolicyName, scenario: Scenario) {
    this.scenario = scenario;
    this.random = new SeededRandomSource(scenario.seed + 1_000_000);
    this.engines = Array.from({ length: ENGINE_COUNT }, (empty, index) => {
      const service = new EngineServiceModel();
      return {
        identifier: `engine-${index}`,
        zone: ZONES[index % ZONES.length] ?? '',
        // Zone c holds only reclaimable engines (4), zone b two more, of 13.
        kind:
          index % 3 === 2 || index === 1 || index === 4 ? 'engine-reclaimable' : 'engine-lasting',
        service,
        log: new CacheEventLog(service.cache, `run-${index}`),
        state: SupplyState.Live,
      };
    });
    this.instances = Array.from(
      { length: INSTANCE_COUNT },
      (empty, index) => new ModelledInstance(index, name, this.clock, scenario),
    );
  }

  /** Average over time and instances, after the warm-up, of the room unused while calls wait. */
  get unusedRoom(): number {
    return this.unusedRoomSum / Math.max(1, this.countedSteps * INSTANCE_COUNT);
  }

  get cacheFigures(): CacheFigures {
    const sum = (figures: readonly number[]) => figures.reduce((total, each) => total + each, 0);
    const instanceSeconds = INSTANCE_COUNT * this.scenario.seconds;
    return {
      savedPart:
        sum(this.engines.map(({ service }) => service.cachedPromptTokens)) /
        sum(this.engines.map(({ service }) => service.promptTokens)),
      eventBytesPerSecond:
        sum(this.instances.map(({ eventBytes }) => eventBytes)) / instanceSeconds,
      snapshotsPerSecond: sum(this.instances.map(({ snapshots }) => snapshots)) / instanceSeconds,
    };
  }

  async run(): Promise<readonly CallOutcome[]> {
    const arrivals = new SeededRandomSource(this.scenario.seed);
    const workload = new Workload(arrivals);
    this.updateFleets();
    for (let step = 0; step * STEP_MILLISECONDS < this.scenario.seconds * 1000; step += 1) {
      const now = step * STEP_MILLISECONDS;
      const seconds = now / MILLISECONDS_PER_SECOND;
      this.reclaimAt(now);
      this.deliver(now);
      for (const { account, costPerSecond } of this.scenario.demands) {
        const part = this.scenario.prefillPart(seconds);
        for (const planned of workload.arrivals(
          account,
          costPerSecond,
          part,
          now,
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
        this.countedSteps += 1;
        for (const { unusedRoom } of this.instances) {
          this.unusedRoomSum += unusedRoom;
        }
      }
    }
    this.outcomes.push(...this.unfinished.values());
    return this.outcomes;
  }

  private async relay(planned: PlannedCall, instance: ModelledInstance): Promise<void> {
    const { call, answerTokens } = planned;
    const arrivalSeconds = call.arrivalMilliseconds / MILLISECONDS_PER_SECOND;
    const base = {
      account: call.accountName ?? '',
      className: call.className,
      arrivalSeconds,
      cost: nominalCost(call.promptTokens, answerTokens),
      isRefused: false,
      isMet: false,
      isFirstLate: false,
      isComplete: false,
      wasMoved: false,
      ranOnReclaimable: false,
    };
    this.record(call.requestIdentifier, base);
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
        const before = answer.delivered;
        const isComplete = await this.attempt(endpoint.identifier, planned, before, (tokens) => {
          answer.delivered = before + tokens;
          answer.first ??= this.clock.monotonicMilliseconds();
          ticket.recordFirstChunk();
          PolicyModel.learn(attempt, tokens);
        });
        attempt.end(isComplete);
        if (isComplete) {
          break;
        }
      }
      ticket.settle(answer.delivered);
      ticket.release();
      const now = this.clock.monotonicMilliseconds();
      const lateness = CLASSES.get(call.className)?.targets.lateness;
      const firstTarget = lateness?.firstTokenMilliseconds ?? 0;
      const betweenTarget = lateness?.betweenTokensMilliseconds ?? 0;
      const { delivered, first } = answer;
      const isComplete = delivered >= answerTokens && first !== undefined;
      const isFirstLate = (first ?? now) - call.arrivalMilliseconds > firstTarget;
      const isMet =
        isComplete &&
        !isFirstLate &&
        (now - (first ?? 0)) / Math.max(1, answerTokens - 1) <= betweenTarget;
      const wasMoved = attempts > 1;
      const outcome = { ...base, isMet, isFirstLate, isComplete, wasMoved, ranOnReclaimable };
      this.finish(call.requestIdentifier, outcome);
    } catch {
      this.finish(call.requestIdentifier, { ...base, isRefused: true });
    }
  }

  /** Resolves with true when the answer is complete, with false when the engine is gone. */
  private attempt(
    identifier: string,
    planned: PlannedCall,
    delivered: number,
    onTokens: (tokens: number) => void,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const engine = this.engines.find((each) => each.identifier === identifier);
      const cuts = this.onCut.get(identifier) ?? new Set();
      this.onCut.set(identifier, cuts);
      const cut = () => resolve(false);
      cuts.add(cut);
      engine?.service.submit({
        promptTokens: planned.call.promptTokens + delivered,
        prefixKeys: planned.call.prefixKeys ?? [],
        decodeTokens: Math.max(1, planned.answerTokens - delivered),
        onTokens,
        onEnd: () => {
          cuts.delete(cut);
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

  /** Load reports, cache events and digests are published once a second, each at its own time. */
  private deliver(now: number): void {
    const slots = REPORT_INTERVAL_MILLISECONDS / STEP_MILLISECONDS;
    for (const [engineIndex, modelled] of this.engines.entries()) {
      const { identifier, log, service, zone } = modelled;
      if ((now / STEP_MILLISECONDS + engineIndex * 7) % slots === 0) {
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
        instance.readEvents(modelled, now);
      }
    }
    if (now % GOSSIP_INTERVAL_MILLISECONDS === 0) {
      for (const instance of this.instances) {
        const use = instance.takeOwnUse();
        for (const other of this.instances) {
          if (other !== instance) {
            other.remoteUse.add(use);
          }
        }
      }
    }
  }

  private reclaimAt(now: number): void {
    const { reclaimSeconds } = this.scenario;
    if (reclaimSeconds === undefined) {
      return;
    }
    const isAnnounced = now === reclaimSeconds * MILLISECONDS_PER_SECOND;
    const isOver = now === (reclaimSeconds + RECLAIM_NOTICE_SECONDS) * MILLISECONDS_PER_SECOND;
    const taken = this.engines.filter(
      ({ kind, zone }) => kind === 'engine-reclaimable' && zone === 'zone-c',
    );
    if (isAnnounced) {
      for (const engine of taken) {
        engine.state = SupplyState.Leaving;
      }
      this.updateFleets();
    }
    if (isOver) {
      for (const { identifier, service } of taken) {
        service.reclaim();
        this.onCut.get(identifier)?.forEach((cut) => cut());
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
        KINDS,
      );
    }
  }

  private static learn(attempt: EndpointCall, tokens: number): void {
    attempt.recordFirstChunk();
    attempt.progress(tokens);
  }
}
