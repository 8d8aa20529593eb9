import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import { EnginePlacement, summarizePrompt } from 'hickoryrelay-forwarding/EnginePlacement';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PrefillRate } from 'hickoryrelay-forwarding/PrefillRate';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';
import { ServicePlacement } from 'hickoryrelay-forwarding/ServicePlacement';
import { WorkloadModel } from 'hickoryrelay-workload/WorkloadModel';

import { makeEndpoint } from './ForwardingFixture.js';

import type { PlacementContext } from 'hickoryrelay-forwarding/ServicePlacement';

const ZONES = ['zone-0', 'zone-1', 'zone-2'];
const SLOTS = 12;
const RESIDENCE_MILLISECONDS = 2000;
const STEP_MILLISECONDS = 25;
const WARM_UP_MILLISECONDS = 3000;
const SERVICE = 'desk';

const SHORT_PROMPT = summarizePrompt([
  { identifier: 'shared', tokens: 50 },
  { identifier: 'own', tokens: 300 },
]);

/** An endpoint with the requests that it really has. */
interface TrueEndpoint {
  running: number;
}

/** An instance with its view of the endpoints. */
interface FleetInstance {
  readonly zone: string;
  readonly peers: PeerLoads;
  readonly states: readonly EndpointState[];
}

/** How an instance chooses an endpoint. */
export abstract class FleetChoice {
  abstract choose(
    instance: FleetInstance,
    truth: readonly TrueEndpoint[],
    context: PlacementContext,
  ): number;
}

/** The cost of an engine by which requests were placed before loads had an age. */
function previousCost(
  { record }: EndpointState,
  running: number,
  { zone, random }: PlacementContext,
): number {
  return (
    Math.max(0, running + 1 - record.slots) * 30 +
    running * 1.5 +
    (record.zone === zone ? 0 : 25) +
    random.fraction() * 4
  );
}

function indexOfLowest(costs: readonly number[]): number {
  return costs.indexOf(Math.min(...costs));
}

/** The lowest cost by the last reports. */
export class PreviousChoice extends FleetChoice {
  override choose({ states }: FleetInstance, _truth: unknown, context: PlacementContext): number {
    return indexOfLowest(states.map((state) => previousCost(state, state.totalRunning, context)));
  }
}

/** The lowest cost by the true load. */
export class PerfectChoice extends FleetChoice {
  override choose(
    { states }: FleetInstance,
    truth: readonly TrueEndpoint[],
    context: PlacementContext,
  ): number {
    return indexOfLowest(
      states.map((state, index) => previousCost(state, truth[index]?.running ?? 0, context)),
    );
  }
}

/** The placement of short prompts. */
export class EngineChoice extends FleetChoice {
  private readonly placement = new EnginePlacement(new PromptCacheDirectory(), new PrefillRate());

  override choose({ states }: FleetInstance, _truth: unknown, context: PlacementContext): number {
    const plan = this.placement.plan(states, SHORT_PROMPT, false, context);
    return plan === undefined ? -1 : states.indexOf(plan.engine);
  }
}

/** The placement of requests for services without engines. */
export class ServiceChoice extends FleetChoice {
  private readonly placement = new ServicePlacement();

  override choose({ states }: FleetInstance, _truth: unknown, context: PlacementContext): number {
    const state = this.placement.choose(states, context);
    return state === undefined ? -1 : states.indexOf(state);
  }
}

export interface FleetSettings {
  readonly instances: number;
  readonly endpoints: number;
  /** Requests in flight over all slots. */
  readonly utilization: number;
  /** Mean age of the reports of peers. */
  readonly reportAgeMilliseconds: number;
  readonly seconds: number;
  /** Requests by zone, relative to each other. */
  readonly zoneDemand?: readonly number[];
}

export interface FleetResult {
  /** Fraction of the requests sent to an endpoint without a free slot while another had one. */
  readonly misplaced: number;
  /** Mean ratio of the greatest load of an endpoint to the mean load. */
  readonly greatestToMean: number;
  /** Mean of the queued requests that a request finds. */
  readonly queued: number;
}

/** Instances that choose endpoints by reports of a known age, with the true loads beside them. */
export class StaleReportFleet {
  private readonly settings: FleetSettings;

  private readonly choice: FleetChoice;

  private readonly random = new SeededRandomSource(11);

  private readonly truth: TrueEndpoint[];

  private readonly instances: FleetInstance[];

  private readonly snapshots: number[][] = [];

  private readonly ends = new Map<number, (() => void)[]>();

  private requests = 0;

  private misplaced = 0;

  private queued = 0;

  constructor(settings: FleetSettings, choice: FleetChoice) {
    this.settings = settings;
    this.choice = choice;
    const records = Array.from({ length: settings.endpoints }, (_unused, index) =>
      makeEndpoint(`endpoint-${index}`, {
        service: SERVICE,
        stage: EngineStage.Decode,
        slots: SLOTS,
        zone: ZONES[index % ZONES.length] ?? '',
      }),
    );
    this.truth = records.map(() => ({ running: 0 }));
    const zones = Array.from(
      { length: settings.instances },
      (_unused, index) => ZONES[index % ZONES.length] ?? '',
    );
    this.instances = zones.map((zone) => {
      const peers = new PeerLoads();
      const workload = new WorkloadModel();
      workload.setInstances(zones.slice(1), zone, 0);
      const states = records.map((record) => {
        const { hash } = new EndpointState(record, peers);
        return new EndpointState(record, peers, undefined, workload.track(hash, SERVICE));
      });
      return { zone, peers, states };
    });
  }

  run(): FleetResult {
    const { endpoints, utilization, seconds } = this.settings;
    const arrivalsPerStep =
      (endpoints * SLOTS * utilization * STEP_MILLISECONDS) / RESIDENCE_MILLISECONDS;
    let ratios = 0;
    let samples = 0;
    let due = 0;
    for (let step = 0; step * STEP_MILLISECONDS < seconds * 1000; step += 1) {
      this.ends.get(step)?.forEach((end) => end());
      this.ends.delete(step);
      this.snapshots.push(this.truth.map(({ running }) => running));
      this.report(step);
      for (due += arrivalsPerStep; due >= 1; due -= 1) {
        this.arrive(step);
      }
      if (step * STEP_MILLISECONDS > WARM_UP_MILLISECONDS) {
        const loads = this.truth.map(({ running }) => running);
        ratios += (Math.max(...loads) * loads.length) / loads.reduce((sum, load) => sum + load, 0);
        samples += 1;
      }
    }
    return {
      misplaced: this.misplaced / this.requests,
      greatestToMean: ratios / samples,
      queued: this.queued / this.requests,
    };
  }

  /** Each instance gets the loads once in the age, when they are half of it old. */
  private report(step: number): void {
    const period = Math.max(1, Math.round(this.settings.reportAgeMilliseconds / STEP_MILLISECONDS));
    const delay = Math.floor(period / 2);
    const snapshot = this.snapshots[step - delay];
    const now = step * STEP_MILLISECONDS;
    this.instances.forEach(({ peers, states }, index) => {
      if (snapshot !== undefined && (step + index) % period === 0) {
        const loads = states.map((state, endpoint) => ({
          endpoint: state.hash,
          running: Math.max(0, (snapshot[endpoint] ?? 0) - state.running),
          prefillTokens: 0,
          latePrefillTokens: 0,
        }));
        peers.receive({ sender: '', loads }, now, delay * STEP_MILLISECONDS);
      } else {
        peers.expire(now);
      }
    });
  }

  private arrive(step: number): void {
    const now = (step + this.random.fraction()) * STEP_MILLISECONDS;
    const instance = this.chooseInstance();
    const context = {
      zone: instance.zone,
      random: this.random,
      now,
      tried: new Set<EndpointState>(),
      cacheCapacityTokens: 0,
    };
    const chosen = this.choice.choose(instance, this.truth, context);
    const endpoint = this.truth[chosen];
    const state = instance.states[chosen];
    if (endpoint === undefined || state === undefined) {
      return;
    }
    if (now > WARM_UP_MILLISECONDS) {
      this.requests += 1;
      this.queued += Math.max(0, endpoint.running + 1 - SLOTS);
      const isAvoidable = this.truth.some(({ running }) => running < SLOTS);
      this.misplaced += endpoint.running >= SLOTS && isAvoidable ? 1 : 0;
    }
    this.occupy(endpoint, state, step, now);
  }

  private occupy(endpoint: TrueEndpoint, state: EndpointState, step: number, now: number): void {
    const { work } = state.speed;
    const residence = RESIDENCE_MILLISECONDS * (0.5 - Math.log(1 - this.random.fraction()) / 2);
    work.recordRequest(0, now);
    state.beginRequest(now);
    Object.assign(endpoint, { running: endpoint.running + 1 });
    const end = step + Math.max(1, Math.round(residence / STEP_MILLISECONDS));
    const ends = this.ends.get(end) ?? [];
    ends.push(() => {
      Object.assign(endpoint, { running: endpoint.running - 1 });
      state.finishRequest();
      work.recordResidence(residence, 1);
    });
    this.ends.set(end, ends);
  }

  private chooseInstance(): FleetInstance {
    const { zoneDemand = [1, 1, 1] } = this.settings;
    const total = zoneDemand.reduce((sum, demand) => sum + demand, 0);
    let remaining = this.random.fraction() * total;
    let zone = 0;
    while (zone < ZONES.length - 1 && remaining >= (zoneDemand[zone] ?? 0)) {
      remaining -= zoneDemand[zone] ?? 0;
      zone += 1;
    }
    const candidates = this.instances.filter((instance) => instance.zone === ZONES[zone]);
    return candidates[this.random.integerBelow(candidates.length)] as FleetInstance;
  }
}
