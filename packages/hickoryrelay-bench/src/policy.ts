#!/usr/bin/env node
import meow from 'meow';

import { CACHE_EVENT_BYTES_PER_SECOND } from 'hickoryrelay-instance/CacheEventTasks';

import {
  FLEET_MILLISECONDS_PER_SECOND,
  unevenDemands,
  FLOODING_ACCOUNT,
  floodDemands,
  HEAVY_ACCOUNT,
  heavyDemands,
  LIGHT_ACCOUNT,
} from './AccountDemands.js';
import { costByAccount, arrivedBefore, findWorstServedAccount } from './AccountShares.js';
import { PolicySimulation, PolicyName } from './PolicySimulation.js';

import type { CallOutcome, SimulationScenario } from './PolicySimulation.js';

const program = meow(
  `
  Usage
    $ policy shift [--load 1.2] [--seed 1 --seed 2] [--first-come-limit 12]
                   [--event-bytes 2048] [--lost-events 0.02]
    $ policy flood [--seed 1]
    $ policy heavy [--light 0.1] [--seed 1]
    $ policy reclaim [--load 0.7] [--seed 1]

  "heavy" runs one account that demands twice the fleet and one that demands the share given by
  --light; with --light 0 the heavy account runs alone.

  Simulates the policies with modelled engines on a manual clock and prints tables.
  --event-bytes is the bandwidth of an instance for cache events, in bytes per second; 0 disables
  them. --load is the demanded engine time, without cached prefixes, divided by that of all engines.
`,
  {
    importMeta: import.meta,
    flags: {
      light: { type: 'number', default: 0.1 },
      load: { type: 'number', default: 1.2 },
      eventBytes: { type: 'number', default: CACHE_EVENT_BYTES_PER_SECOND },
      lostEvents: { type: 'number', default: 0.02 },
      firstComeLimit: { type: 'number', default: 24 },
      policy: { type: 'string', isMultiple: true, default: Object.values(PolicyName) },
      seed: { type: 'number', isMultiple: true, default: [1, 2, 3] },
    },
  },
);

const PHASE_SECONDS = 40;
const WARM_UP_SECONDS = 10;

/** Prefill share of 40% in the first phase, 60% in the second and 20% in the third. */
function shiftingPrefillShare(seconds: number): number {
  if (seconds < PHASE_SECONDS) {
    return 0.4;
  }
  return seconds < 2 * PHASE_SECONDS ? 0.6 : 0.2;
}

function formatShare(
  outcomes: readonly CallOutcome[],
  predicate: (outcome: CallOutcome) => boolean,
): string {
  const count = outcomes.filter(predicate).length;
  return outcomes.length === 0 ? '-' : (count / outcomes.length).toFixed(3);
}

function isSelected(policy: PolicyName): boolean {
  return program.flags.policy.includes(policy);
}

async function measure(
  scenario: SimulationScenario,
  createRow: (outcomes: CallOutcome[], simulation: PolicySimulation) => object,
): Promise<void> {
  const rows: object[] = [];
  for (const policy of Object.values(PolicyName).filter(isSelected)) {
    for (const seed of program.flags.seed) {
      const simulation = new PolicySimulation(policy, { ...scenario, seed });
      const outcomes = await simulation.run();
      rows.push({
        policy,
        seed,
        ...createRow(arrivedBefore(outcomes, scenario.seconds - 20), simulation),
      });
    }
  }
  // The table is the output of the program.
  // eslint-disable-next-line no-console
  console.table(rows);
}

const commonScenario = {
  seed: 0,
  warmUpSeconds: WARM_UP_SECONDS,
  firstComeLimit: program.flags.firstComeLimit,
  cacheEventBytesPerSecond: program.flags.eventBytes,
  lostEvents: program.flags.lostEvents,
};
const [command] = program.input;
if (command === 'shift') {
  const seconds = 3 * PHASE_SECONDS + 20;
  await measure(
    {
      ...commonScenario,
      seconds,
      demands: unevenDemands(program.flags.load),
      prefillShare: shiftingPrefillShare,
    },
    (outcomes, { cacheStatistics }) => {
      const arrivedBetween = (from: number, to: number) =>
        outcomes.filter((each) => each.arrivalSeconds >= from && each.arrivalSeconds < to);
      const metCalls = outcomes.filter(({ meetsTargets }) => meetsTargets).length;
      return {
        calls: outcomes.length,
        'met/s': Number((metCalls / (3 * PHASE_SECONDS - WARM_UP_SECONDS)).toFixed(2)),
        'met 40%': formatShare(
          arrivedBetween(0, PHASE_SECONDS),
          ({ meetsTargets }) => meetsTargets,
        ),
        'met 60%': formatShare(
          arrivedBetween(PHASE_SECONDS, 2 * PHASE_SECONDS),
          ({ meetsTargets }) => meetsTargets,
        ),
        'met 20%': formatShare(
          arrivedBetween(2 * PHASE_SECONDS, 3 * PHASE_SECONDS),
          ({ meetsTargets }) => meetsTargets,
        ),
        quick: formatShare(
          outcomes.filter(({ className }) => className === 'quick-ask'),
          ({ meetsTargets }) => meetsTargets,
        ),
        brief: formatShare(
          outcomes.filter(({ className }) => className === 'rig-brief'),
          ({ meetsTargets }) => meetsTargets,
        ),
        'prefill saved': Number(cacheStatistics.savedShare.toFixed(3)),
        'events B/s': Math.round(cacheStatistics.eventBytesPerSecond),
        'snapshots/s': Number(cacheStatistics.snapshotsPerSecond.toFixed(2)),
        refused: formatShare(outcomes, ({ isRefused }) => isRefused),
        'first late': formatShare(outcomes, ({ isFirstTokenLate }) => isFirstTokenLate),
        'worst share': Number(findWorstServedAccount(outcomes).ratio.toFixed(3)),
      };
    },
  );
} else if (command === 'flood') {
  await measure(
    { ...commonScenario, seconds: 120, demands: floodDemands(), prefillShare: () => 0.4 },
    (outcomes, { unusedCapacity }) => {
      const worst = findWorstServedAccount(outcomes);
      const others = outcomes.filter(({ account }) => account !== FLOODING_ACCOUNT);
      return {
        'worst account': worst.account,
        'share of fair': Number(worst.ratio.toFixed(3)),
        'met, others': formatShare(others, ({ meetsTargets }) => meetsTargets),
        'met, flood': formatShare(
          outcomes.filter(({ account }) => account === FLOODING_ACCOUNT),
          ({ meetsTargets }) => meetsTargets,
        ),
        'met/s': Number(
          (outcomes.filter(({ meetsTargets }) => meetsTargets).length / 90).toFixed(2),
        ),
        refused: formatShare(outcomes, ({ isRefused }) => isRefused),
        'first late': formatShare(outcomes, ({ isFirstTokenLate }) => isFirstTokenLate),
        'room unused': Number(unusedCapacity.toFixed(4)),
      };
    },
  );
} else if (command === 'heavy') {
  const demands = heavyDemands(program.flags.light);
  await measure(
    { ...commonScenario, seconds: 120, demands, prefillShare: () => 0.4 },
    (outcomes, { unusedCapacity }) => {
      const heavy = outcomes.filter(({ account }) => account === HEAVY_ACCOUNT);
      const light = outcomes.filter(({ account }) => account === LIGHT_ACCOUNT);
      const servedShare = (calls: readonly CallOutcome[]) =>
        [...costByAccount(calls.filter(({ isComplete }) => isComplete)).values()].reduce(
          (sum, cost) => sum + cost,
          0,
        ) /
        (90 * FLEET_MILLISECONDS_PER_SECOND);
      return {
        'room unused': Number(unusedCapacity.toFixed(4)),
        'served, heavy': Number(servedShare(heavy).toFixed(3)),
        'served, light': Number(servedShare(light).toFixed(3)),
        'met/s': Number(
          (outcomes.filter(({ meetsTargets }) => meetsTargets).length / 90).toFixed(2),
        ),
        'met, heavy': formatShare(heavy, ({ meetsTargets }) => meetsTargets),
        'met, light': formatShare(light, ({ meetsTargets }) => meetsTargets),
        refused: formatShare(outcomes, ({ isRefused }) => isRefused),
        'first late': formatShare(outcomes, ({ isFirstTokenLate }) => isFirstTokenLate),
      };
    },
  );
} else if (command === 'reclaim') {
  const demands = unevenDemands(program.flags.load);
  await measure(
    { ...commonScenario, seconds: 120, demands, prefillShare: () => 0.4, reclaimSeconds: 60 },
    (outcomes) => {
      const before = outcomes.filter(({ arrivalSeconds }) => arrivalSeconds < 50);
      const during = outcomes.filter(
        ({ arrivalSeconds }) => arrivalSeconds >= 50 && arrivalSeconds < 75,
      );
      return {
        'on cheap, before': formatShare(before, ({ ranOnReclaimable }) => ranOnReclaimable),
        'met, before': formatShare(before, ({ meetsTargets }) => meetsTargets),
        moved: outcomes.filter(({ wasRerouted }) => wasRerouted).length,
        'moved and late': outcomes.filter(
          ({ wasRerouted, meetsTargets }) => wasRerouted && !meetsTargets,
        ).length,
        'met, 50 to 75 s': formatShare(during, ({ meetsTargets }) => meetsTargets),
        'met, after': formatShare(
          outcomes.filter(({ arrivalSeconds }) => arrivalSeconds >= 75),
          ({ meetsTargets }) => meetsTargets,
        ),
      };
    },
  );
} else {
  program.showHelp();
}
