#!/usr/bin/env node
import meow from 'meow';

import { comparePolicies, makeScenario } from './RoleExperiment.js';

const program = meow(
  `
  Usage
    $ role-plan [--seeds <n>] [--engines <n>] [--hours <n>] [--load <share>] [--noise <share>]

  Compares the role plan with static roles over a demand whose prefill share of 40% moves by half.
  Deterministic for its arguments; uses seeds 1 to n. Writes one JSON line for each seed and policy.
`,
  {
    importMeta: import.meta,
    flags: {
      seeds: { type: 'number', default: 5 },
      engines: { type: 'number', default: 13 },
      hours: { type: 'number', default: 12 },
      load: { type: 'number', default: 0.92 },
      noise: { type: 'number', default: 0.05 },
    },
  },
);

const { seeds, engines, hours, load, noise } = program.flags;
for (let seed = 1; seed <= seeds; seed += 1) {
  const scenario = makeScenario({ seed, engines, hours, load, noise, shiftSeconds: [1200, 3600] });
  const { shifts, calledFor } = scenario;
  for (const result of comparePolicies(scenario)) {
    process.stdout.write(`${JSON.stringify({ seed, engines, shifts, calledFor, ...result })}\n`);
  }
}
