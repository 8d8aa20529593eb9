#!/usr/bin/env node
import { spawn } from 'node:child_process';
import { once } from 'node:events';

import meow from 'meow';

const DEFAULT_SECONDS = 300;
const DEFAULT_RUNS = 200;
const MILLISECONDS_PER_SECOND = 1000;

const program = meow(
  `
  Usage
    $ npm run fuzz -- [--seed <number>] [--seconds <number>] [--runs <number>]

  Runs all stateful fuzz tests in rounds with consecutive seeds until the time limit is reached or a
  test fails. Prints the seed of each round; the same seed reproduces it.

  Options
    --seed     First seed [1]
    --seconds  Time limit, after which no further round starts [${DEFAULT_SECONDS}]
    --runs     Runs of each property in a round [${DEFAULT_RUNS}]

  Exit codes
    0  no test failed
    1  a test failed; its seed is printed
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      seconds: { type: 'number', default: DEFAULT_SECONDS },
      runs: { type: 'number', default: DEFAULT_RUNS },
    },
  },
);

/** Runs one round. Resolves with whether all tests passed. */
async function runRound(seed: number): Promise<boolean> {
  const child = spawn('npx', ['vitest', 'run', 'Fuzz.test'], {
    stdio: 'inherit',
    env: {
      ...process.env,
      FUZZ_SEED: String(seed),
      FUZZ_RUNS: String(program.flags.runs),
    },
  });
  const [code] = (await once(child, 'exit')) as [number | null];
  return code === 0;
}

const end = performance.now() + program.flags.seconds * MILLISECONDS_PER_SECOND;
let { seed } = program.flags;
let rounds = 0;
let hasPassed = true;
while (hasPassed && performance.now() < end) {
  process.stdout.write(`Round with seed ${seed}\n`);
  hasPassed = await runRound(seed);
  rounds += 1;
  if (hasPassed) {
    seed += 1;
  }
}
process.stdout.write(
  hasPassed ? `No failure in ${rounds} rounds.\n` : `A test failed with seed ${seed}.\n`,
);
process.exitCode = hasPassed ? 0 : 1;
