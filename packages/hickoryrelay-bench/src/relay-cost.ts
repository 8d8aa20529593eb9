#!/usr/bin/env node
import { setTimeout as sleep } from 'node:timers/promises';

import meow from 'meow';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import { RelayKind } from './BenchMessages.js';
import { ChildProcess } from './ChildProcess.js';
import { NonStreamingCallers } from './NonStreamingCallers.js';
import { StreamCallers } from './StreamCallers.js';

import type { ProcessSample } from './BenchMessages.js';
import type { CallerLatencies } from './StreamCallers.js';

const program = meow(
  `
  Usage
    $ relay-cost [--streams <number>] [--gap <ms>] [--seconds <number>] [--rounds <number>]
    $ relay-cost --callers <number> [--seconds <number>] [--rounds <number>]

  Measures the cost per event of open streams for a byte pipe, a byte pipe that parses each event and
  hickoryrelay. Engine and relay run in separate processes. With --callers, the given number of
  callers send short sequential calls without streaming instead.
`,
  {
    importMeta: import.meta,
    flags: {
      streams: { type: 'number', default: 300 },
      gap: { type: 'number', default: 20 },
      seconds: { type: 'number', default: 8 },
      rounds: { type: 'number', default: 2 },
      callers: { type: 'number', default: 0 },
    },
  },
);

const WARM_UP_MILLISECONDS = 2000;
const OPENING_PAUSE_MILLISECONDS = 5;
const MILLISECONDS_PER_SECOND = 1000;
const BYTES_PER_KIBIBYTE = 1024;
const EMPTY_SAMPLE: ProcessSample = { cpuSeconds: 0, residentBytes: 0, heapBytes: 0 };

interface Measurement {
  readonly name: string;
  readonly events: number;
  readonly cpuSeconds: number;
  readonly latencies: CallerLatencies;
  readonly residentKibibytesPerStream: number;
  readonly heapKibibytesPerStream: number;
}

const { streams, gap, seconds, rounds, callers: callerCount } = program.flags;

/** Opens the streams and measures them in the steady state, after a warm-up. */
async function measure(
  name: string,
  url: string,
  key: string,
  relay: ChildProcess | undefined,
): Promise<Measurement> {
  const sample = async (collectsGarbage: boolean) =>
    relay === undefined ? EMPTY_SAMPLE : relay.sample(collectsGarbage);
  const callers = new StreamCallers();
  const idle = await sample(true);
  for (let index = 0; index < streams; index += 1) {
    await Promise.all([callers.open(url, key), sleep(OPENING_PAUSE_MILLISECONDS)]);
  }
  await sleep(WARM_UP_MILLISECONDS);
  const before = await sample(false);
  callers.startRecording();
  await sleep(seconds * MILLISECONDS_PER_SECOND);
  const { events } = callers;
  const after = await sample(true);
  const perStream = (bytes: number) => bytes / streams / BYTES_PER_KIBIBYTE;
  callers.close();
  return {
    name,
    events,
    cpuSeconds: after.cpuSeconds - before.cpuSeconds,
    latencies: callers.latencies(),
    residentKibibytesPerStream: perStream(after.residentBytes - idle.residentBytes),
    heapKibibytesPerStream: perStream(after.heapBytes - idle.heapBytes),
  };
}

/** Prints the answered calls per second and per second of CPU time of the relay. */
async function measureCallRate(name: string, url: string, key: string, relay: ChildProcess) {
  const callers = new NonStreamingCallers(url, key, callerCount);
  await sleep(WARM_UP_MILLISECONDS);
  const before = await relay.sample(false);
  const answeredBefore = callers.answered;
  await sleep(seconds * MILLISECONDS_PER_SECOND);
  const answered = callers.answered - answeredBefore;
  const cpuSeconds = (await relay.sample(false)).cpuSeconds - before.cpuSeconds;
  await callers.close();
  const values = [answered / seconds, cpuSeconds, answered / cpuSeconds];
  process.stdout.write(`| ${[name, ...values.map((figure) => figure.toFixed(2))].join(' | ')} |\n`);
}

function printMeasurement(measurement: Measurement, direct: Measurement, pipeRate: number): number {
  const { name, events, cpuSeconds, latencies } = measurement;
  const rate = cpuSeconds === 0 ? 0 : events / cpuSeconds;
  const formatAddedTime = (field: keyof CallerLatencies) => {
    const { p50, p99 } = latencies[field];
    const base = direct.latencies[field];
    return `${(p50 - base.p50).toFixed(2)}/${(p99 - base.p99).toFixed(2)}`;
  };
  const row = [
    name.padEnd(13),
    String(events),
    cpuSeconds.toFixed(2),
    rate.toFixed(0),
    pipeRate === 0 ? '1.00' : (rate / pipeRate).toFixed(2),
    formatAddedTime('firstToken'),
    formatAddedTime('gap'),
    formatAddedTime('transit'),
    measurement.residentKibibytesPerStream.toFixed(0),
    measurement.heapKibibytesPerStream.toFixed(0),
  ];
  process.stdout.write(`| ${row.join(' | ')} |\n`);
  return rate;
}

const federation = new LocalFederation();
await federation.start();
const document = sampleDeclarations();
const key = federation.issueKey(document, 'first');
await federation.apply(document);
const engine = new ChildProcess('./engineProcess.js', String(gap));
const engineUrl = await engine.ready();
federation.platform.endpoints.set('engine-1', {
  identifier: 'engine-1',
  kind: 'engine',
  zone: 'zone-a',
  url: engineUrl,
  state: 'live',
});

if (callerCount > 0) {
  process.stdout.write('| relay | calls/s | CPU s | calls/CPU s |\n| --- | --- | --- | --- |\n');
} else {
  process.stdout.write(
    '| relay | events | CPU s | events/CPU s | of pipe | first token +p50/p99 ms | gap +p50/p99 ms | ' +
      'transit +p50/p99 ms | RSS KiB/stream | heap KiB/stream |\n',
  );
  process.stdout.write('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n');
}
for (let round = 0; round < rounds; round += 1) {
  const direct = callerCount > 0 ? undefined : await measure('direct', engineUrl, key, undefined);
  let pipeRate = 0;
  for (const kind of Object.values(RelayKind)) {
    const options = {
      kind,
      engineUrl,
      platformUrl: federation.platform.url,
      keyValueUrl: federation.gateway.url,
    };
    const relay = new ChildProcess('./relayProcess.js', JSON.stringify(options));
    const url = await relay.ready();
    if (direct === undefined) {
      await measureCallRate(kind, url, key, relay);
    } else {
      const measurement = await measure(kind, url, key, relay);
      const rate = printMeasurement(measurement, direct, pipeRate);
      pipeRate ||= rate;
    }
    await relay.stop();
  }
}
await engine.stop();
await federation.stop();
