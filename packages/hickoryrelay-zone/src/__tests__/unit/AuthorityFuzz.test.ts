import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { fuzzSettings } from 'hickoryrelay-standin/FuzzSettings';

import { authorityCommands } from './AuthorityCommands.js';
import { AuthoritySimulation, ZONE } from './AuthoritySimulation.js';
import type { AuthorityModel } from './AuthorityCommands.js';

const { seed: SEED, runs: RUNS } = fuzzSettings(80);
const FAULTS = [
  FaultKind.Kill,
  FaultKind.Pause,
  FaultKind.ClockStep,
  FaultKind.ExpiredLease,
  FaultKind.RefusedRenewal,
  FaultKind.Refusal,
  FaultKind.LostResponse,
  FaultKind.SilentConnection,
  FaultKind.DelayedRequest,
  FaultKind.Reclaim,
];
const COMMANDS = fc.commands(authorityCommands, { maxCommands: 60, size: 'max' });

/** Ends all faults, advances time, and checks that the zone has a holder and no open intents. */
async function recoverAndCheck(simulation: AuthoritySimulation): Promise<void> {
  for (const process of simulation.processes) {
    await process.clock.resume();
    process.clock.setWallOffset(0);
    process.store.refusesRenewals = false;
    for (const exchange of process.exchanges) {
      exchange.faults.defaultFault = Fault.None;
      exchange.setDelays(0, 0);
    }
  }
  await simulation.advance(90_000);
  expect(simulation.violations).toEqual([]);
  expect(simulation.processes.filter((process) => process.authority.currentTerm).length).toBe(1);
  const open = simulation.table
    .range('/hickoryrelay/zones/', true)
    .values.filter(({ key }) => key.includes('intents/'));
  expect(open.map(({ key }) => key)).toEqual([]);
  // The spend of reclaimed endpoints is returned after the maximum listing lag.
  await simulation.clock.advance(1_000_000);
  expect(simulation.violations).toEqual([]);
  expect(simulation.spend.forZone(ZONE)).toBe(simulation.chargedSpend);
}

describe('authority, orders and supply under faults', () => {
  it(`keeps to the oracle (FUZZ_SEED=${SEED} FUZZ_RUNS=${RUNS})`, async () => {
    process.stdout.write(`authority fuzzing: FUZZ_SEED=${SEED} FUZZ_RUNS=${RUNS}\n`);
    const faultTally = new FaultTally();
    const totals = { terms: 0, engineOrders: 0, supplyOrders: 0 };
    await fc.assert(
      fc.asyncProperty(COMMANDS, async (commands) => {
        const simulation = new AuthoritySimulation(3, faultTally);
        // When the commands start, the first holder has completed its wait for earlier orders.
        await simulation.advance(15_000);
        const model: AuthorityModel = { paused: new Set() };
        await fc.asyncModelRun(() => ({ model, real: simulation }), commands);
        await recoverAndCheck(simulation);
        totals.terms += simulation.counts.terms;
        totals.engineOrders += simulation.counts.engineOrders;
        totals.supplyOrders += simulation.counts.supplyOrders;
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: process.env.FUZZ_SHRINK === undefined },
    );
    process.stdout.write(`authority fuzzing: ${JSON.stringify(totals)}\n`);
    process.stdout.write(faultTally.describe('authority', FAULTS));
    // Guards against command sequences that rarely issue an order and so would not test the oracle.
    expect(Math.min(totals.terms, totals.engineOrders, totals.supplyOrders)).toBeGreaterThan(RUNS);
  }, 600_000);
});
