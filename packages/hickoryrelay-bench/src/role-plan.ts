#!/usr/bin/env node
import meow from 'meow';

import { comparePolicies, createScenario } from './RoleExperiment.js';

const program = meow(
  `
  Usage
    $ role-plan [--seeds <n>] [--engines <n>] [--hours <n>] [--load <share>] [--noise <share>]

  Compares demand-based roles with static roles while the prefill share shifts between 20%, 40% and
  60%. Runs seeds 1 to n and is deterministic for its arguments. Writes one JSON line per seed and
  policy.
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
  const scenario = createScenario({
    seed,
    engines,
    hours,
    load,
    noise,
    shiftIntervalSeconds: [1200, 3600],
  });
  const { shifts, calledFor } = scenario;
  for (const result of comparePolicies(scenario)) {
    process.stdout.write(`${JSON.stringify({ seed, engines, shifts, calledFor, ...result })}\n`);
  }
}
