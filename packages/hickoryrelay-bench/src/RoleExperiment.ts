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
const PREFILL_SHARE = 0.4;

/** The share moves by half: between 20% and 60%. */
const SHARES = [PREFILL_SHARE * 0.5, PREFILL_SHARE, PREFILL_SHARE * 1.5];

/** Time that a shift takes, in seconds. */
const RAMP_SECONDS = 120;
const CHANGE_SECONDS = 20;

/** Weight of a new report in the smoothed demand that the policy sees. */
const SMOOTHING = 0.3;

/** What the load of one experiment looks like. */
export interface RoleLoad {
  readonly seed: number;
  readonly engines: number;
  readonly hours: number;
  /** Demand of both kinds together, as a share of what single-role engines can do. */
  readonly load: number;
  /** Noise of each report, as a share. */
  readonly noise: number;
  /** Shortest and longest time between two shifts, in seconds. */
  readonly shiftSeconds: readonly [number, number];
}

/** How one policy did. */
export interface RoleResult {
  readonly policy: string;
  readonly shareMet: number;
  readonly worstMinute: number;
  readonly roleChanges: number;
}

/** One moment of the demand. */
interface DemandStep {
  readonly actual: RoleDemand;
  readonly reported: RoleDemand;
}

/** A demand over time, the same for every policy. */
export interface RoleScenario {
  readonly load: RoleLoad;
  readonly steps: readonly DemandStep[];
  readonly shifts: number;
  /** Engines whose role the shifts call to change, if each shift were answered exactly. */
  readonly calledFor: number;
}

function anotherShare(share: number, random: SeededRandomSource): number {
  const others = SHARES.filter((each) => each !== share);
  return others[random.integerBelow(others.length)] ?? share;
}

/** Makes the demand of a seed. */
export function makeScenario(load: RoleLoad): RoleScenario {
  const random = new SeededRandomSource(load.seed);
  const steps: DemandStep[] = [];
  const [shortest, longest] = load.shiftSeconds;
  const total = load.engines * load.load;
  let from = PREFILL_SHARE;
  let to = PREFILL_SHARE;
  let shiftedSeconds = 0;
  let nextSeconds = shortest;
  let shifts = 0;
  let calledFor = 0;
  let smoothed: RoleDemand | undefined;
  for (let second = 0; second < load.hours * 3600; second += STEP_SECONDS) {
    if (second >= nextSeconds) {
      from = to;
      to = anotherShare(to, random);
      shiftedSeconds = second;
      nextSeconds = second + shortest + random.fraction() * (longest - shortest);
      shifts += 1;
      calledFor += Math.abs(Math.round(load.engines * to) - Math.round(load.engines * from));
    }
    const progress = Math.min(1, (second - shiftedSeconds) / RAMP_SECONDS);
    const share = from + (to - from) * progress;
    const actual = { prefill: total * share, decode: total * (1 - share) };
    const noisy = (value: number) => value * (1 + (random.fraction() * 2 - 1) * load.noise);
    const report = { prefill: noisy(actual.prefill), decode: noisy(actual.decode) };
    smoothed = {
      prefill: SMOOTHING * report.prefill + (1 - SMOOTHING) * (smoothed?.prefill ?? report.prefill),
      decode: SMOOTHING * report.decode + (1 - SMOOTHING) * (smoothed?.decode ?? report.decode),
    };
    steps.push({ actual, reported: smoothed });
  }
  return { load, steps, shifts, calledFor };
}

/** The engines at the start: single-role ones split for 40% prefill, or all mixed. */
function startingEngines(count: number, isMixed: boolean): PlannedEngine[] {
  const prefill = Math.round(count * PREFILL_SHARE);
  return Array.from({ length: count }, (empty, index) => {
    const single = index < prefill ? EngineRole.Prefill : EngineRole.Decode;
    return {
      identifier: `engine-${index}`,
      role: isMixed ? EngineRole.Mixed : single,
      models: ['model-one'],
      isChanging: false,
    };
  });
}

/** Runs one policy over a scenario. */
export function runPolicy(
  scenario: RoleScenario,
  name: string,
  policy: RolePolicy,
  isMixed = false,
): RoleResult {
  const requirements = [
    { className: 'ask', models: ['model-one'], prefillEngines: 1, decodeEngines: 1 },
  ];
  let engines = startingEngines(scenario.load.engines, isMixed);
  let changing: { identifier: string; untilSecond: number } | undefined;
  let wanted = 0;
  let met = 0;
  let roleChanges = 0;
  let worstMinute = 1;
  let minute: number[] = [];
  for (const [index, { actual, reported }] of scenario.steps.entries()) {
    const second = index * STEP_SECONDS;
    if (changing !== undefined && second >= changing.untilSecond) {
      changing = undefined;
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
      changing = { identifier: endpoint, untilSecond: second + CHANGE_SECONDS };
      engines = engines.map((engine) =>
        engine.identifier === endpoint ? { ...engine, role, isChanging: true } : engine,
      );
    }
    const total = actual.prefill + actual.decode;
    const share = Math.min(1, capacityRatio(actual, countRoles(engines)));
    wanted += total;
    met += total * share;
    minute = [...minute, share].slice(-(60 / STEP_SECONDS));
    worstMinute = Math.min(
      worstMinute,
      minute.reduce((sum, each) => sum + each, 0) / minute.length,
    );
  }
  return { policy: name, shareMet: met / wanted, worstMinute, roleChanges };
}

/** Runs the plan and the static baselines over one scenario. */
export function comparePolicies(scenario: RoleScenario): RoleResult[] {
  return [
    runPolicy(scenario, 'static 40/60', new StaticRolePolicy()),
    runPolicy(scenario, 'static mixed', new StaticRolePolicy(), true),
    runPolicy(scenario, 'demand', new DemandRolePolicy()),
  ];
}
