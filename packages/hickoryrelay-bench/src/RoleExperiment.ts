import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineRole } from 'hickoryrelay-endpoint/Engine';
import {
  DemandRolePolicy,
  StaticRolePolicy,
  countRoles,
  capacityRatio,
} from 'hickoryrelay-zone/RolePolicy';

import type { PlannedEngine, RoleDemand, RolePolicy } from 'hickoryrelay-zone/RolePolicy';

const STEP_SECONDS = 5;
const MEAN_PREFILL_SHARE = 0.4;

/** The prefill share is the mean, half less or half more: 20%, 40% or 60%. */
const PREFILL_SHARES = [MEAN_PREFILL_SHARE * 0.5, MEAN_PREFILL_SHARE, MEAN_PREFILL_SHARE * 1.5];

/** Duration of a shift from one prefill share to the next. */
const SHIFT_RAMP_SECONDS = 120;
const ROLE_CHANGE_SECONDS = 20;

/** Weight of a new report in the moving average of the demand that the policy receives. */
const SMOOTHING_FACTOR = 0.3;

/** Parameters of the load of an experiment. */
export interface RoleLoad {
  readonly seed: number;
  readonly engines: number;
  readonly hours: number;
  /** Total demand of prefill and decode, as a share of the capacity of single-role engines. */
  readonly load: number;
  /** Relative noise of each report. */
  readonly noise: number;
  /** Shortest and longest interval between two shifts. */
  readonly shiftIntervalSeconds: readonly [number, number];
}

/** Result of one policy. */
export interface RoleResult {
  readonly policy: string;
  readonly shareMet: number;
  readonly worstMinute: number;
  readonly roleChanges: number;
}

/** Demand at one time step. */
interface DemandStep {
  readonly actual: RoleDemand;
  readonly reported: RoleDemand;
}

/** Demand over time, identical for every policy. */
export interface RoleScenario {
  readonly load: RoleLoad;
  readonly steps: readonly DemandStep[];
  readonly shifts: number;
  /** Role changes that would be needed to follow every shift exactly. */
  readonly calledFor: number;
}

function drawDifferentShare(share: number, random: SeededRandomSource): number {
  const others = PREFILL_SHARES.filter((each) => each !== share);
  return others[random.integerBelow(others.length)] ?? share;
}

/** Generates the demand of an experiment. Deterministic by seed. */
export function createScenario(load: RoleLoad): RoleScenario {
  const random = new SeededRandomSource(load.seed);
  const steps: DemandStep[] = [];
  const [shortest, longest] = load.shiftIntervalSeconds;
  const total = load.engines * load.load;
  let previousShare = MEAN_PREFILL_SHARE;
  let targetShare = MEAN_PREFILL_SHARE;
  let shiftStartSeconds = 0;
  let nextShiftSeconds = shortest;
  let shifts = 0;
  let calledFor = 0;
  let smoothed: RoleDemand | undefined;
  for (let second = 0; second < load.hours * 3600; second += STEP_SECONDS) {
    if (second >= nextShiftSeconds) {
      previousShare = targetShare;
      targetShare = drawDifferentShare(targetShare, random);
      shiftStartSeconds = second;
      nextShiftSeconds = second + shortest + random.fraction() * (longest - shortest);
      shifts += 1;
      calledFor += Math.abs(
        Math.round(load.engines * targetShare) - Math.round(load.engines * previousShare),
      );
    }
    const progress = Math.min(1, (second - shiftStartSeconds) / SHIFT_RAMP_SECONDS);
    const share = previousShare + (targetShare - previousShare) * progress;
    const actual = { prefill: total * share, decode: total * (1 - share) };
    const withNoise = (value: number) => value * (1 + (random.fraction() * 2 - 1) * load.noise);
    const report = { prefill: withNoise(actual.prefill), decode: withNoise(actual.decode) };
    smoothed = {
      prefill:
        SMOOTHING_FACTOR * report.prefill +
        (1 - SMOOTHING_FACTOR) * (smoothed?.prefill ?? report.prefill),
      decode:
        SMOOTHING_FACTOR * report.decode +
        (1 - SMOOTHING_FACTOR) * (smoothed?.decode ?? report.decode),
    };
    steps.push({ actual, reported: smoothed });
  }
  return { load, steps, shifts, calledFor };
}

/** Creates the initial engines: single-role engines, 40% of them for prefill, or all mixed. */
function createEngines(count: number, isMixed: boolean): PlannedEngine[] {
  const prefillEngines = Math.round(count * MEAN_PREFILL_SHARE);
  return Array.from({ length: count }, (empty, index) => {
    const singleRole = index < prefillEngines ? EngineRole.Prefill : EngineRole.Decode;
    return {
      identifier: `engine-${index}`,
      role: isMixed ? EngineRole.Mixed : singleRole,
      models: ['model-one'],
      isChanging: false,
    };
  });
}

export function runPolicy(
  scenario: RoleScenario,
  name: string,
  policy: RolePolicy,
  isMixed = false,
): RoleResult {
  const requirements = [
    { className: 'ask', models: ['model-one'], prefillEngines: 1, decodeEngines: 1 },
  ];
  let engines = createEngines(scenario.load.engines, isMixed);
  let pendingChange: { identifier: string; untilSecond: number } | undefined;
  let totalDemand = 0;
  let servedDemand = 0;
  let roleChanges = 0;
  let worstMinute = 1;
  let recentShares: number[] = [];
  for (const [index, { actual, reported }] of scenario.steps.entries()) {
    const second = index * STEP_SECONDS;
    if (pendingChange !== undefined && second >= pendingChange.untilSecond) {
      pendingChange = undefined;
      engines = engines.map((engine) => ({ ...engine, isChanging: false }));
    }
    const { change } = policy.decide({
      nowMilliseconds: second * 1000,
      engines,
      demand: reported,
      requirements,
    });
    if (change !== undefined) {
      const { endpoint, role } = change;
      roleChanges += 1;
      pendingChange = { identifier: endpoint, untilSecond: second + ROLE_CHANGE_SECONDS };
      engines = engines.map((engine) =>
        engine.identifier === endpoint ? { ...engine, role, isChanging: true } : engine,
      );
    }
    const total = actual.prefill + actual.decode;
    const share = Math.min(1, capacityRatio(actual, countRoles(engines)));
    totalDemand += total;
    servedDemand += total * share;
    recentShares = [...recentShares, share].slice(-(60 / STEP_SECONDS));
    worstMinute = Math.min(
      worstMinute,
      recentShares.reduce((sum, each) => sum + each, 0) / recentShares.length,
    );
  }
  return { policy: name, shareMet: servedDemand / totalDemand, worstMinute, roleChanges };
}

/** Runs the demand-based policy and the static baselines over one scenario. */
export function comparePolicies(scenario: RoleScenario): RoleResult[] {
  return [
    runPolicy(scenario, 'static 40/60', new StaticRolePolicy()),
    runPolicy(scenario, 'static mixed', new StaticRolePolicy(), true),
    runPolicy(scenario, 'demand', new DemandRolePolicy()),
  ];
}
