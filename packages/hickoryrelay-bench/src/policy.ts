#!/usr/bin/env node
import meow from 'meow';

import { CACHE_EVENT_BYTES_PER_SECOND } from 'hickoryrelay-instance/CacheEventTasks';

import { ENGINE_COUNT, PolicyModel, PolicyName } from './PolicyModel.js';

import type { AccountDemand, CacheFigures, CallOutcome, Scenario } from './PolicyModel.js';

const program = meow(
  `
  Usage
    $ policy shift [--load 1.2] [--seed 1 --seed 2] [--first-come-limit 12]
                   [--event-bytes 2048] [--lost-events 0.02]
    $ policy flood [--seed 1]
    $ policy reclaim [--load 0.7] [--seed 1]

  Drives the policies against modelled engines on a manual clock and prints tables.
  Event bytes are those that an instance spends on cache events in a second; 0 routes without them.
  Load is the demanded engine time, without cached prefixes, divided by that of all engines.
`,
  {
    importMeta: import.meta,
    flags: {
      load: { type: 'number', default: 1.2 },
      eventBytes: { type: 'number', default: CACHE_EVENT_BYTES_PER_SECOND },
      lostEvents: { type: 'number', default: 0.02 },
      firstComeLimit: { type: 'number', default: 24 },
      policy: { type: 'string', isMultiple: true, default: Object.values(PolicyName) },
      seed: { type: 'number', isMultiple: true, default: [1, 2, 3] },
    },
  },
);

const CAPACITY = ENGINE_COUNT * 1000;
const PHASE_SECONDS = 40;
const WARM_UP_SECONDS = 10;

/** Two large accounts with three times the demand of the other six. */
function demandsAt(load: number): AccountDemand[] {
  return Array.from({ length: 8 }, (empty, index) => ({
    account: `account-${index}`,
    costPerSecond: (CAPACITY * load * (index < 2 ? 3 : 1)) / 12,
  }));
}

/** One account asks for the whole fleet; two ask for more, the others for less than a share. */
function floodDemands(): AccountDemand[] {
  return Array.from({ length: 8 }, (empty, index) => {
    const part = index < 2 ? 1.5 : 0.9;
    return {
      account: `account-${index}`,
      costPerSecond: (CAPACITY * (index === 7 ? 8 : part)) / 8,
    };
  });
}

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

/** Max-min fair shares of what was served, by demand. */
function fairShares(demands: ReadonlyMap<string, number>, served: number): Map<string, number> {
  const shares = new Map<string, number>();
  let left = served;
  const byDemand = [...demands].sort((one, other) => one[1] - other[1]);
  for (const [index, [account, demand]] of byDemand.entries()) {
    const given = Math.min(demand, left / (byDemand.length - index));
    shares.set(account, given);
    left -= given;
  }
  return shares;
}

function costByAccount(outcomes: readonly CallOutcome[]): Map<string, number> {
  const costs = new Map<string, number>();
  for (const { account, cost } of outcomes) {
    costs.set(account, (costs.get(account) ?? 0) + cost);
  }
  return costs;
}

function worstShare(outcomes: readonly CallOutcome[]): { account: string; ratio: number } {
  const served = costByAccount(outcomes.filter(({ isComplete }) => isComplete));
  const total = [...served.values()].reduce((sum, cost) => sum + cost, 0);
  let worst = { account: '', ratio: Number.POSITIVE_INFINITY };
  for (const [account, fair] of fairShares(costByAccount(outcomes), total)) {
    const ratio = (served.get(account) ?? 0) / fair;
    if (ratio < worst.ratio) {
      worst = { account, ratio };
    }
  }
  return worst;
}

/** Arrivals of the last seconds cannot complete within the run and are left out. */
function counted(outcomes: readonly CallOutcome[], seconds: number): CallOutcome[] {
  return outcomes.filter(({ arrivalSeconds }) => arrivalSeconds < seconds);
}

function isWanted(policy: PolicyName): boolean {
  return program.flags.policy.includes(policy);
}

async function measure(
  scenario: Scenario,
  row: (outcomes: CallOutcome[], cache: CacheFigures) => object,
): Promise<void> {
  const rows: object[] = [];
  for (const policy of Object.values(PolicyName).filter(isWanted)) {
    for (const seed of program.flags.seed) {
      const model = new PolicyModel(policy, { ...scenario, seed });
      const outcomes = await model.run();
      rows.push({
        policy,
        seed,
        ...row(counted(outcomes, scenario.seconds - 20), model.cacheFigures),
      });
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
    (outcomes, cache) => {
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
    (outcomes) => {
      const worst = worstShare(outcomes);
      const others = outcomes.filter(({ account }) => account !== 'account-7');
      return {
        'worst account': worst.account,
        'share of fair': Number(worst.ratio.toFixed(3)),
        'met, others': share(others, ({ isMet }) => isMet),
        'met, flood': share(
          outcomes.filter(({ account }) => account === 'account-7'),
          ({ isMet }) => isMet,
        ),
        'met/s': Number((outcomes.filter(({ isMet }) => isMet).length / 90).toFixed(2)),
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
