#!/usr/bin/env node
import { SystemClock } from 'hickoryrelay/Clock';
import meow from 'meow';

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
    --seed      Seed of the simulation        [default: 1]

  Writes one JSON line for each measurement. Bytes are those of the messages, without the headers of
  WebSocket, TCP and IP. Simulated time and traffic repeat exactly; CPU time does not.
`,
  {
    importMeta: import.meta,
    flags: {
      nodes: { type: 'string', default: '6,24,58,232,640' },
      accounts: { type: 'string', default: '8,100,1100' },
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

const { nodes, accounts, seed } = program.flags;
const mostAccounts = Math.max(...numbersOf(accounts));
write('socket heartbeat', { cpuMilliseconds: await measureSocketHeartbeat() });
numbersOf(accounts).forEach((count) => write('change', measureChange(count)));
numbersOf(nodes).forEach((count) =>
  write('digest', measureDigest(count, mostAccounts, new SystemClock())),
);
for (const count of numbersOf(nodes)) {
  write('traffic', await new TrafficExperiment(count, mostAccounts, seed).run());
}
