#!/usr/bin/env node
import meow from 'meow';

import { measureUsageCost } from './UsageCost.js';

import type { UsageCostScenario, UsageCostResult } from './UsageCost.js';

const program = meow(
  `
  Usage
    $ usage-cost [--seconds <number>]

  Prints the traffic of replicating and sealing usage as tables, and its slopes by call rate,
  instances and accounts. The simulation is deterministic.
`,
  { importMeta: import.meta, flags: { seconds: { type: 'number', default: 10 } } },
);

const { seconds } = program.flags;
const BASE_SCENARIO: UsageCostScenario = { callRate: 97, instances: 3, accounts: 8, seconds };
const SCENARIOS: readonly UsageCostScenario[] = [
  { ...BASE_SCENARIO, callRate: 10 },
  BASE_SCENARIO,
  { ...BASE_SCENARIO, instances: 6 },
  { ...BASE_SCENARIO, accounts: 1100 },
];

function total(values: Readonly<Record<string, number>>): number {
  return Object.values(values).reduce((sum, value) => sum + value, 0);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

let baseResult: UsageCostResult | undefined;
const totals: { bytes: number; messages: number }[] = [];
print('| calls/s | instances | accounts | B/s | messages/s | reads/s | writes/s | largest value |');
print('| --- | --- | --- | --- | --- | --- | --- | --- |');
for (const scenario of SCENARIOS) {
  const result = await measureUsageCost(scenario);
  const sums = { bytes: total(result.bytes), messages: total(result.messages) };
  totals.push(sums);
  const { callRate, instances, accounts } = scenario;
  print(
    `| ${callRate} | ${instances} | ${accounts} | ${sums.bytes.toFixed(0)} | ${sums.messages.toFixed(1)} ` +
      `| ${result.reads.toFixed(3)} | ${result.writes.toFixed(3)} | ${result.largestValueBytes} |`,
  );
  if (scenario === BASE_SCENARIO) {
    baseResult = result;
  }
}
if (baseResult !== undefined) {
  print('');
  print('| message | B/s | messages/s | B each |');
  print('| --- | --- | --- | --- |');
  for (const type of Object.keys(baseResult.bytes).toSorted()) {
    const [bytes = 0, messages = 0] = [baseResult.bytes[type], baseResult.messages[type]];
    const each = (bytes / messages).toFixed(1);
    print(`| ${type} | ${bytes.toFixed(0)} | ${messages.toFixed(1)} | ${each} |`);
  }
}
const [lowRate, base, moreInstances, moreAccounts] = totals;
if (
  lowRate !== undefined &&
  base !== undefined &&
  moreInstances !== undefined &&
  moreAccounts !== undefined
) {
  print('');
  // The scenarios differ from the base by 87 calls/s, 3 instances and 1092 accounts.
  print(`B/s for each call/s: ${((base.bytes - lowRate.bytes) / 87).toFixed(1)}`);
  print(`messages/s for each call/s: ${((base.messages - lowRate.messages) / 87).toFixed(2)}`);
  print(`B/s for each further instance: ${((moreInstances.bytes - base.bytes) / 3).toFixed(1)}`);
  print(`B/s for each further account: ${((moreAccounts.bytes - base.bytes) / 1092).toFixed(3)}`);
}
