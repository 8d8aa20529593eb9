import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { fuzzSettings } from 'hickoryrelay-standin/FuzzSettings';

import { authorityCommands } from './AuthorityCommands.js';
import { AuthorityWorld, ZONE } from './AuthorityWorld.js';
import type { AuthorityModel } from './AuthorityCommands.js';

const { seed: SEED, runs: RUNS } = fuzzSettings(80);
const FAULTS = [
  FaultKind.Kill,
  FaultKind.Pause,
  FaultKind.ClockStep,
  FaultKind.LapsedLease,
  FaultKind.RefusedRenewal,
  FaultKind.Refusal,
  FaultKind.LostAnswer,
  FaultKind.SilentConnection,
  FaultKind.DelayedRequest,
  FaultKind.Reclaim,
];
const COMMANDS = fc.commands(authorityCommands, { maxCommands: 60, size: 'max' });

/** Ends all faults, lets time pass, and checks that the zone works again with nothing left open. */
async function heal(world: AuthorityWorld): Promise<void> {
  for (const process of world.processes) {
    await process.clock.resume();
    process.clock.setWallOffset(0);
    process.store.refusesRenewals = false;
    for (const exchange of process.exchanges) {
      exchange.faults.standing = Fault.None;
      exchange.slow(0, 0);
    }
  }
  await world.advance(90_000);
  expect(world.violations).toEqual([]);
  expect(world.processes.filter((process) => process.authority.currentTerm).length).toBe(1);
  const open = world.table
    .range('/hickoryrelay/zones/', true)
    .values.filter(({ key }) => key.includes('intents/'));
  expect(open.map(({ key }) => key)).toEqual([]);
  // Spend of endpoints that the platform took back is given back after the lag of the list.
  await world.clock.advance(1_000_000);
  expect(world.violations).toEqual([]);
  expect(world.spend.forZone(ZONE)).toBe(world.charged);
}

describe('authority, orders and supply under faults', () => {
  it(`keeps to the oracle (FUZZ_SEED=${SEED} FUZZ_RUNS=${RUNS})`, async () => {
    process.stdout.write(`authority fuzzing: FUZZ_SEED=${SEED} FUZZ_RUNS=${RUNS}\n`);
    const tally = new FaultTally();
    const totals = { terms: 0, engineOrders: 0, supplyOrders: 0 };
    await fc.assert(
      fc.asyncProperty(COMMANDS, async (commands) => {
        const world = new AuthorityWorld(3, tally);
        // The first holder has waited for the orders of predecessors when the commands begin.
        await world.advance(15_000);
        const model: AuthorityModel = { paused: new Set() };
        await fc.asyncModelRun(() => ({ model, real: world }), commands);
        await heal(world);
        totals.terms += world.counts.terms;
        totals.engineOrders += world.counts.engineOrders;
        totals.supplyOrders += world.counts.supplyOrders;
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: process.env.FUZZ_SHRINK === undefined },
    );
    process.stdout.write(`authority fuzzing: ${JSON.stringify(totals)}\n`);
    process.stdout.write(tally.describe('authority', FAULTS));
    // Guards against commands that never reach an order, which would prove nothing.
    expect(Math.min(totals.terms, totals.engineOrders, totals.supplyOrders)).toBeGreaterThan(RUNS);
  }, 600_000);
});
