#!/usr/bin/env node
import meow from 'meow';
import { SystemClock } from 'hickoryrelay/Clock';

import {
  measureChange,
  measureDigest,
  measureSocketHeartbeat,
  PeerTrafficExperiment,
} from './PeerCost.js';

const program = meow(
  `
  Usage
    $ node --expose-gc packages/hickoryrelay-bench/dist/peer-cost.js

  Options
    --nodes     Node counts to simulate       [default: 6,24,58,232,640]
    --accounts  Account counts                [default: 8,100,1100]
    --warm-up   Simulated seconds before the measurement of traffic  [default: 60]
    --measured  Simulated seconds of the measurement of traffic      [default: 20]
    --no-traffic  Skips the simulation
    --seed      Seed of the simulation        [default: 1]

  Writes one JSON line for each measurement. Bytes are those of the messages, without WebSocket, TCP
  and IP headers. Simulated time and traffic are deterministic; CPU time is not.
`,
  {
    importMeta: import.meta,
    flags: {
      nodes: { type: 'string', default: '6,24,58,232,640' },
      accounts: { type: 'string', default: '8,100,1100' },
      warmUp: { type: 'number', default: 60 },
      measured: { type: 'number', default: 20 },
      traffic: { type: 'boolean', default: true },
      seed: { type: 'number', default: 1 },
    },
  },
);

const parseNumbers = (list: string) => list.split(',').map(Number);

function writeMeasurement(measurement: string, values: object): void {
  const rounded = Object.entries(values).map(([name, value]) => [
    name,
    Number(Number(value).toPrecision(4)),
  ]);
  process.stdout.write(`${JSON.stringify({ measurement, ...Object.fromEntries(rounded) })}\n`);
}

const { nodes, accounts, seed, warmUp, measured } = program.flags;
const periods = { warmUpSeconds: warmUp, measuredSeconds: measured };
const maxAccounts = Math.max(...parseNumbers(accounts));
writeMeasurement('socket heartbeat', { cpuMilliseconds: await measureSocketHeartbeat() });
parseNumbers(accounts).forEach((count) => writeMeasurement('change', measureChange(count)));
parseNumbers(nodes).forEach((count) =>
  writeMeasurement('digest', measureDigest(count, maxAccounts, new SystemClock())),
);
for (const count of program.flags.traffic ? parseNumbers(nodes) : []) {
  writeMeasurement(
    'traffic',
    await new PeerTrafficExperiment(count, maxAccounts, seed, periods).run(),
  );
}
