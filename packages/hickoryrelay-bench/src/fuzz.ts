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

  Runs all stateful fuzz tests again and again, with one seed after the other, until the time is over
  or a test fails. The seed of each round is printed; the same seed repeats the round.

  Options
    --seed     First seed [1]
    --seconds  Time after which no further round starts [${DEFAULT_SECONDS}]
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

/** Runs one round and returns whether all tests passed. */
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
let isGreen = true;
while (isGreen && performance.now() < end) {
  process.stdout.write(`Round with seed ${seed}\n`);
  isGreen = await runRound(seed);
  rounds += 1;
  if (isGreen) {
    seed += 1;
  }
}
process.stdout.write(
  isGreen ? `No failure in ${rounds} rounds.\n` : `A test failed with seed ${seed}.\n`,
);
process.exitCode = isGreen ? 0 : 1;
