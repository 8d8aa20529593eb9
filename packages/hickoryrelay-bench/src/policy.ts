#!/usr/bin/env node
import meow from 'meow';

import { CACHE_EVENT_BYTES_PER_SECOND } from 'hickoryrelay-instance/CacheEventTasks';

import {
  CAPACITY,
  demandsAt,
  FLOODING_ACCOUNT,
  floodDemands,
  HEAVY_ACCOUNT,
  heavyDemands,
  LIGHT_ACCOUNT,
} from './AccountDemands.js';
import { costByAccount, counted, worstShare } from './AccountShares.js';
import { PolicyModel, PolicyName } from './PolicyModel.js';

import type { CallOutcome, Scenario } from './PolicyModel.js';

const program = meow(
  `
  Usage
    $ policy shift [--load 1.2] [--seed 1 --seed 2] [--first-come-limit 12]
                   [--event-bytes 2048] [--lost-events 0.02]
    $ policy flood [--seed 1]
    $ policy heavy [--light 0.1] [--seed 1]
    $ policy reclaim [--load 0.7] [--seed 1]

  "heavy" has one account that asks for twice the fleet, beside one that asks for the given part of
  the fleet; with --light 0 the heavy account is alone.

  Drives the policies against modelled engines on a manual clock and prints tables.
  Event bytes are those that an instance spends on cache events in a second; 0 routes without them.
  Load is the demanded engine time, without cached prefixes, divided by that of all engines.
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

/** 40% of the work is prefill, then half as much again, then half as much. */
function shiftingPart(seconds: number): number {
  if (seconds < PHASE_SECONDS) {
    return 0.4;
  }
  return seconds < 2 * PHASE_SECONDS ? 0.6 : 0.2;
}

function share(outcomes: readonly CallOutcome[], test: (outcome: CallOutcome) => boolean): string {
  const count = outcomes.filter(test).length;
  return outcomes.length === 0 ? '-' : (count / outcomes.length).toFixed(3);
}

function isWanted(policy: PolicyName): boolean {
  return program.flags.policy.includes(policy);
}

async function measure(
  scenario: Scenario,
  row: (outcomes: CallOutcome[], model: PolicyModel) => object,
): Promise<void> {
  const rows: object[] = [];
  for (const policy of Object.values(PolicyName).filter(isWanted)) {
    for (const seed of program.flags.seed) {
      const model = new PolicyModel(policy, { ...scenario, seed });
      const outcomes = await model.run();
      rows.push({ policy, seed, ...row(counted(outcomes, scenario.seconds - 20), model) });
    }
  }
  // The table is the program's output.
  // eslint-disable-next-line no-console
  console.table(rows);
}

const common = {
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
    { ...common, seconds, demands: demandsAt(program.flags.load), prefillPart: shiftingPart },
    (outcomes, { cacheFigures: cache }) => {
      const phase = (from: number, to: number) =>
        outcomes.filter((each) => each.arrivalSeconds >= from && each.arrivalSeconds < to);
      const met = outcomes.filter(({ isMet }) => isMet).length;
      return {
        calls: outcomes.length,
        'met/s': Number((met / (3 * PHASE_SECONDS - WARM_UP_SECONDS)).toFixed(2)),
        'met 40%': share(phase(0, PHASE_SECONDS), ({ isMet }) => isMet),
        'met 60%': share(phase(PHASE_SECONDS, 2 * PHASE_SECONDS), ({ isMet }) => isMet),
        'met 20%': share(phase(2 * PHASE_SECONDS, 3 * PHASE_SECONDS), ({ isMet }) => isMet),
        quick: share(
          outcomes.filter(({ className }) => className === 'quick-ask'),
          ({ isMet }) => isMet,
        ),
        brief: share(
          outcomes.filter(({ className }) => className === 'rig-brief'),
          ({ isMet }) => isMet,
        ),
        'prefill saved': Number(cache.savedPart.toFixed(3)),
        'events B/s': Math.round(cache.eventBytesPerSecond),
        'snapshots/s': Number(cache.snapshotsPerSecond.toFixed(2)),
        refused: share(outcomes, ({ isRefused }) => isRefused),
        'first late': share(outcomes, ({ isFirstLate }) => isFirstLate),
        'worst share': Number(worstShare(outcomes).ratio.toFixed(3)),
      };
    },
  );
} else if (command === 'flood') {
  await measure(
    { ...common, seconds: 120, demands: floodDemands(), prefillPart: () => 0.4 },
    (outcomes, { unusedRoom }) => {
      const worst = worstShare(outcomes);
      const others = outcomes.filter(({ account }) => account !== FLOODING_ACCOUNT);
      return {
        'worst account': worst.account,
        'share of fair': Number(worst.ratio.toFixed(3)),
        'met, others': share(others, ({ isMet }) => isMet),
        'met, flood': share(
          outcomes.filter(({ account }) => account === FLOODING_ACCOUNT),
          ({ isMet }) => isMet,
        ),
        'met/s': Number((outcomes.filter(({ isMet }) => isMet).length / 90).toFixed(2)),
        refused: share(outcomes, ({ isRefused }) => isRefused),
        'first late': share(outcomes, ({ isFirstLate }) => isFirstLate),
        'room unused': Number(unusedRoom.toFixed(4)),
      };
    },
  );
} else if (command === 'heavy') {
  const demands = heavyDemands(program.flags.light);
  await measure(
    { ...common, seconds: 120, demands, prefillPart: () => 0.4 },
    (outcomes, { unusedRoom }) => {
      const heavy = outcomes.filter(({ account }) => account === HEAVY_ACCOUNT);
      const light = outcomes.filter(({ account }) => account === LIGHT_ACCOUNT);
      const served = (some: readonly CallOutcome[]) =>
        [...costByAccount(some.filter(({ isComplete }) => isComplete)).values()].reduce(
          (sum, cost) => sum + cost,
          0,
        ) /
        (90 * CAPACITY);
      return {
        'room unused': Number(unusedRoom.toFixed(4)),
        'served, heavy': Number(served(heavy).toFixed(3)),
        'served, light': Number(served(light).toFixed(3)),
        'met/s': Number((outcomes.filter(({ isMet }) => isMet).length / 90).toFixed(2)),
        'met, heavy': share(heavy, ({ isMet }) => isMet),
        'met, light': share(light, ({ isMet }) => isMet),
        refused: share(outcomes, ({ isRefused }) => isRefused),
        'first late': share(outcomes, ({ isFirstLate }) => isFirstLate),
      };
    },
  );
} else if (command === 'reclaim') {
  const demands = demandsAt(program.flags.load);
  await measure(
    { ...common, seconds: 120, demands, prefillPart: () => 0.4, reclaimSeconds: 60 },
    (outcomes) => {
      const before = outcomes.filter(({ arrivalSeconds }) => arrivalSeconds < 50);
      const during = outcomes.filter(
        ({ arrivalSeconds }) => arrivalSeconds >= 50 && arrivalSeconds < 75,
      );
      return {
        'on cheap, before': share(before, ({ ranOnReclaimable }) => ranOnReclaimable),
        'met, before': share(before, ({ isMet }) => isMet),
        moved: outcomes.filter(({ wasMoved }) => wasMoved).length,
        'moved and late': outcomes.filter(({ wasMoved, isMet }) => wasMoved && !isMet).length,
        'met, 50 to 75 s': share(during, ({ isMet }) => isMet),
        'met, after': share(
          outcomes.filter(({ arrivalSeconds }) => arrivalSeconds >= 75),
          ({ isMet }) => isMet,
        ),
      };
    },
  );
} else {
  program.showHelp();
}
