import { expect } from 'vitest';

import {
  DESIGN_BOUNDS,
  DESIGN_LIMIT,
  SharedQuota,
  USUAL_NETWORK,
  designDemand,
  seededRandom,
  simulate,
} from './QuotaSimulation.js';

import type { NetworkFaults, SchemeOutcome } from './QuotaSimulation.js';
import type { QuotaBounds } from 'hickoryrelay-quota/QuotaLimit';

const MILLISECONDS = 40_000;
export const SEEDS = [1, 2, 3];

/** A demand with faults. */
export interface FaultScenario {
  readonly instances?: number;
  readonly multipleAt: (now: number) => number;
  readonly network?: NetworkFaults;
  readonly isSkewed?: boolean;
  readonly bounds?: QuotaBounds;
  readonly seeds?: readonly number[];
  readonly onStep?: (scheme: SharedQuota, now: number) => void;
}

/** The fullest window of any run, as a fraction of the bound. */
export function fullestOf(runs: readonly { outcome: SchemeOutcome }[]): number {
  return Math.max(...runs.map(({ outcome }) => outcome.fullestWindow));
}

/** The smallest used fraction of the runs. */
export function leastUsedOf(runs: readonly { outcome: SchemeOutcome }[]): number {
  return Math.min(...runs.map(({ outcome }) => outcome.usedFraction));
}

/** The greatest used fraction of the runs. */
export function mostUsedOf(runs: readonly { outcome: SchemeOutcome }[]): number {
  return Math.max(...runs.map(({ outcome }) => outcome.usedFraction));
}

/** Runs a scenario with several seeds and prints its fullest window and the used fractions. */
export function runAll(scenario: FaultScenario): { outcome: SchemeOutcome; scheme: SharedQuota }[] {
  const { instances = 60, network = USUAL_NETWORK, isSkewed = false } = scenario;
  const { bounds = DESIGN_BOUNDS, seeds = SEEDS } = scenario;
  const runs = seeds.map((seed) => {
    const random = seededRandom(seed);
    const options = { limit: DESIGN_LIMIT, bounds, instances, zones: 3, network, random };
    const scheme = new SharedQuota(options);
    const outcome = simulate({
      scheme,
      demand: {
        ...designDemand(1, instances, isSkewed),
        perSecond: (now) => DESIGN_LIMIT.ratePerSecond * scenario.multipleAt(now),
      },
      limit: DESIGN_LIMIT,
      bounds,
      milliseconds: MILLISECONDS,
      random: seededRandom(seed + 100),
      onStep: (now) => scenario.onStep?.(scheme, now),
    });
    return { outcome, scheme };
  });
  const figures = [fullestOf(runs), leastUsedOf(runs), mostUsedOf(runs)];
  const cells = figures.map((figure) => figure.toFixed(2));
  const { currentTestName: name = '' } = expect.getState();
  process.stdout.write(`| ${[name, instances, ...cells].join(' | ')} |\n`);
  return runs;
}

/** Cuts the first zone off from the others for a time. */
export function cutZone(fromMilliseconds: number, toMilliseconds: number) {
  return (scheme: SharedQuota, now: number) => {
    const isCut = now >= fromMilliseconds && now < toMilliseconds;
    scheme.setReach(
      (from, to) => !isCut || (scheme.zoneOf(from) === 0) === (scheme.zoneOf(to) === 0),
    );
  };
}

/** Numbers of instances, and whether requests arrive evenly at them. */
export const SPREADS = [
  { instances: 8, isSkewed: false },
  { instances: 60, isSkewed: false },
  { instances: 60, isSkewed: true },
];
