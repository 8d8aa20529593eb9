#!/usr/bin/env node
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { NoRemoteUsage } from 'hickoryrelay-admission/RemoteUsage';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { TrafficPolicy } from 'hickoryrelay-instance/TrafficPolicy';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { Fleet } from 'hickoryrelay-zone/Fleet';

import { CLASSES, MODEL, Workload } from './Workload.js';
import type { AdmissionTicket } from 'hickoryrelay-admission/AdmissionPolicy';

const SEED = 1;
const MEASURED_ROUNDS = 5000;
const DEMAND_MILLISECONDS_PER_SECOND = 1e9;

const KIND = {
  name: 'engine',
  serves: WorkKind.Model,
  models: [MODEL],
  routes: [],
  checksFencing: true,
  reclaimable: false,
  costPerHour: 1,
};

/**
 * Measures the CPU time of an admission, a selection and an update of the endpoint list, in
 * microseconds, while calls of all accounts are queued.
 */
async function measure(engines: number, accounts: number): Promise<object> {
  const fleet = new Fleet();
  const clock = new ManualClock();
  const random = new SeededRandomSource(SEED);
  const policy = new TrafficPolicy({
    instanceName: 'entry-1',
    zone: 'zone-a',
    fleet,
    clock,
    random,
    remoteUsage: new NoRemoteUsage(),
    classOf: (className) => CLASSES.get(className),
    queueLimit: 100_000,
  });
  const supplied = Array.from({ length: engines }, (empty, index) => ({
    identifier: `engine-${index}`,
    kind: KIND.name,
    zone: 'zone-a',
    url: 'http://127.0.0.1:1',
    state: SupplyState.Live,
  }));
  fleet.update(supplied, new Map([[KIND.name, KIND]]));
  const workload = new Workload(random);
  const tickets: AdmissionTicket[] = [];
  const admit = (account: string) => {
    const [planned] = workload.arrivals(account, DEMAND_MILLISECONDS_PER_SECOND, 0.4, 0, 1);
    if (planned !== undefined) {
      policy.admission.admit(planned.call, new AbortController().signal).then(
        (ticket) => tickets.push(ticket),
        () => {},
      );
    }
    return planned?.call;
  };
  for (let index = 0; policy.admission.size < accounts; index += 1) {
    admit(`account-${index % accounts}`);
    await Promise.resolve();
  }
  let call = admit('account-0');
  const admissionStart = process.cpuUsage();
  for (let round = 0; round < MEASURED_ROUNDS; round += 1) {
    tickets.shift()?.release();
    call = admit(`account-${round % accounts}`);
    await Promise.resolve();
  }
  const admissionUsage = process.cpuUsage(admissionStart);
  const selectionStart = process.cpuUsage();
  for (let round = 0; round < MEASURED_ROUNDS && call !== undefined; round += 1) {
    policy.selection.candidates(call, fleet).next();
  }
  const selectionUsage = process.cpuUsage(selectionStart);
  const updateStart = process.cpuUsage();
  for (let round = 0; round < 100; round += 1) {
    fleet.update(supplied.slice(round % 2), new Map([[KIND.name, KIND]]));
    void policy.pool.members;
  }
  const updateUsage = process.cpuUsage(updateStart);
  const microsecondsPerRound = (usage: NodeJS.CpuUsage, count: number) =>
    Number(((usage.user + usage.system) / count).toFixed(1));
  return {
    engines,
    accounts,
    waiting: policy.admission.size,
    'admission µs': microsecondsPerRound(admissionUsage, MEASURED_ROUNDS),
    'selection µs': microsecondsPerRound(selectionUsage, MEASURED_ROUNDS),
    'change of the list µs': microsecondsPerRound(updateUsage, 100),
  };
}

const rows: object[] = [];
for (const [engines, accounts] of [
  [164, 1100],
  [328, 1100],
  [655, 275],
  [655, 550],
  [655, 1100],
] as const) {
  rows.push(await measure(engines, accounts));
}
// The table is the output of the program.
// eslint-disable-next-line no-console
console.table(rows);
