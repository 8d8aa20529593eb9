#!/usr/bin/env node
import meow from 'meow';

import { measureUsageCost } from './UsageCost.js';

import type { UsageCostCase, UsageCostResult } from './UsageCost.js';

const program = meow(
  `
  Usage
    $ usage-cost [--seconds <number>]

  Prints what the replication and sealing of usage costs, as a table and as slopes. Simulated, so
  that every run gives the same figures.
`,
  { importMeta: import.meta, flags: { seconds: { type: 'number', default: 10 } } },
);

const { seconds } = program.flags;
const BASE: UsageCostCase = { callRate: 97, instances: 3, accounts: 8, seconds };
const CASES: readonly UsageCostCase[] = [
  { ...BASE, callRate: 10 },
  BASE,
  { ...BASE, instances: 6 },
  { ...BASE, accounts: 1100 },
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
for (const setting of CASES) {
  const result = await measureUsageCost(setting);
  const sums = { bytes: total(result.bytes), messages: total(result.messages) };
  totals.push(sums);
  const { callRate, instances, accounts } = setting;
  print(
    `| ${callRate} | ${instances} | ${accounts} | ${sums.bytes.toFixed(0)} | ${sums.messages.toFixed(1)} ` +
      `| ${result.reads.toFixed(3)} | ${result.writes.toFixed(3)} | ${result.largestValueBytes} |`,
  );
  if (setting === BASE) {
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
const [low, base, wide, many] = totals;
if (low !== undefined && base !== undefined && wide !== undefined && many !== undefined) {
  print('');
  print(`B/s for each call/s: ${((base.bytes - low.bytes) / 87).toFixed(1)}`);
  print(`messages/s for each call/s: ${((base.messages - low.messages) / 87).toFixed(2)}`);
  print(`B/s for each further instance: ${((wide.bytes - base.bytes) / 3).toFixed(1)}`);
  print(`B/s for each further account: ${((many.bytes - base.bytes) / 1092).toFixed(3)}`);
}
