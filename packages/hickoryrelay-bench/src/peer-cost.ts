#!/usr/bin/env node
import meow from 'meow';
import { SystemClock } from 'hickoryrelay/Clock';

import {
  measureChange,
  measureDigest,
  measureSocketHeartbeat,
  TrafficExperiment,
} from './PeerCost.js';

const program = meow(
  `
  Usage
    $ node --expose-gc packages/hickoryrelay-bench/dist/peer-cost.js

  Options
    --nodes     Numbers of nodes to simulate  [default: 6,24,58,232,640]
    --accounts  Numbers of accounts           [default: 8,100,1100]
    --warm-up   Simulated seconds before the traffic is measured  [default: 60]
    --measured  Simulated seconds in which it is measured         [default: 20]
    --no-traffic  Leaves out the simulation
    --seed      Seed of the simulation        [default: 1]

  Writes one JSON line for each measurement. Bytes are those of the messages, without the headers of
  WebSocket, TCP and IP. Simulated time and traffic repeat exactly; CPU time does not.
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

const numbersOf = (list: string) => list.split(',').map(Number);

function write(measurement: string, figures: object): void {
  const rounded = Object.entries(figures).map(([name, value]) => [
    name,
    Number(Number(value).toPrecision(4)),
  ]);
  process.stdout.write(`${JSON.stringify({ measurement, ...Object.fromEntries(rounded) })}\n`);
}

const { nodes, accounts, seed, warmUp, measured } = program.flags;
const times = { warmUpSeconds: warmUp, measuredSeconds: measured };
const mostAccounts = Math.max(...numbersOf(accounts));
write('socket heartbeat', { cpuMilliseconds: await measureSocketHeartbeat() });
numbersOf(accounts).forEach((count) => write('change', measureChange(count)));
numbersOf(nodes).forEach((count) =>
  write('digest', measureDigest(count, mostAccounts, new SystemClock())),
);
for (const count of program.flags.traffic ? numbersOf(nodes) : []) {
  write('traffic', await new TrafficExperiment(count, mostAccounts, seed, times).run());
}
