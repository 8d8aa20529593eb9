import { readFile } from 'node:fs/promises';

import { describe, expect, it } from 'vitest';
import { runChecks } from 'hickoryrelay-configuration-check/ConfigurationCheck';
import { SETTINGS_CHECKS } from 'hickoryrelay-configuration-check/SettingsChecks';
import { settingsSchema } from 'hickoryrelay-contract/Settings';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';

const URL_OF_PLATFORM = 'http://10.0.0.1:80';

const CLEAN = {
  instance: { name: 'entry-1', zone: 'a' },
  callers: { address: '10.0.0.9', port: 8080 },
  peers: { address: '10.0.0.9', port: 7400 },
  platform: {
    keyValue: [URL_OF_PLATFORM],
    supply: URL_OF_PLATFORM,
    instances: URL_OF_PLATFORM,
    usage: URL_OF_PLATFORM,
  },
};

function findingsOf(changes: object): string[] {
  const settings = settingsSchema.parse({ ...CLEAN, ...changes });
  return runChecks(SETTINGS_CHECKS, settings).map(
    ({ severity, kind, name, message }) => `${severity} ${kind} ${name}: ${message}`,
  );
}

const CASES: readonly (readonly [string, object, readonly string[]])[] = [
  ['nothing', {}, []],
  ['free ports', { callers: { address: 'h', port: 0 }, peers: { address: 'h', port: 0 } }, []],
  [
    'the port of callers for peers',
    { peers: { address: '10.0.0.9', port: 8080 } },
    ['error contradiction peers: the address 10.0.0.9:8080 is that of callers'],
  ],
  [
    'a seed that is the instance',
    { peers: { ...CLEAN.peers, seeds: [{ name: 'entry-1', url: 'ws://10.0.0.9:7400' }] } },
    ['warning unused peers: a seed is the instance itself'],
  ],
  [
    'a request that may arrive for longer than a call lasts',
    { limits: { requestSeconds: 31, callSeconds: 30, callerStallSeconds: 30 } },
    ['warning contradiction limits: requestSeconds of 31 is above callSeconds of 30'],
  ],
  [
    'a stall that lasts longer than a call',
    { limits: { callerStallSeconds: 61, callSeconds: 60 } },
    ['warning unused limits: callerStallSeconds of 61 is above callSeconds of 60'],
  ],
  [
    'more calls than connections',
    { limits: { callsInFlight: 6, connections: 5 } },
    ['warning unused limits: callsInFlight of 6 is above connections of 5'],
  ],
  [
    'a shutdown that is shorter than a call',
    { drain: { deadlineSeconds: 599 } },
    [
      'warning contradiction limits: a shutdown cuts off calls: callSeconds of 600 is above drain.deadlineSeconds of 599',
    ],
  ],
  [
    'a shutdown that ends while new work is taken',
    { drain: { announceSeconds: 600 } },
    ['error contradiction drain: announceSeconds of 600 is not below deadlineSeconds of 600'],
  ],
];

// Guards against limits of which one keeps the other from having an effect.
describe('the checks of the settings of an instance', () => {
  it.each(CASES)('find %s', (_name, changes, findings) => {
    expect(findingsOf(changes)).toEqual(findings);
  });

  it.each(['foucault', 'vekstlinje'])('find no error in the example %s', async (name) => {
    const file = `examples/${name}/settings.yaml`;
    const settings = new YamlParser(settingsSchema).parse(file, await readFile(file, 'utf8'));
    const findings = runChecks(SETTINGS_CHECKS, settings);
    expect(findings.filter(({ severity }) => severity === 'error')).toEqual([]);
  });
});
