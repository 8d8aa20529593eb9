#!/usr/bin/env node
import { userInfo } from 'node:os';

import meow from 'meow';
import { SystemClock } from 'hickoryrelay/Clock';
import { describeFailure } from 'hickoryrelay/Failure';
import { SystemRandomSource } from 'hickoryrelay/RandomSource';
import { failureOf } from 'hickoryrelay/RelayError';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import {
  HttpEndpointSupply,
  HttpInstanceList,
  HttpUsageReportSink,
} from 'hickoryrelay-platform/HttpPlatform';

import { ExitCode } from './Command.js';
import { CommandContext } from './CommandContext.js';
import { CommandRegistry } from './CommandRegistry.js';
import { operatorSettingsSchema } from './OperatorSettings.js';

import type { OperatorSettings } from './OperatorSettings.js';

const DEFAULT_SETTINGS_FILE = 'operator.yaml';
const DEFAULT_WAIT_SECONDS = 30;

const registry = new CommandRegistry();

const program = meow(
  `
  Usage
    $ hickoryrelay <command> [options]

  Commands
${registry.usage.map((line) => `    ${line}`).join('\n')}

  Options
    --platform, -p  Operator settings file with the platform addresses [${DEFAULT_SETTINGS_FILE}]
    --json          Write JSON (all commands that read)
    --dry-run       Show what apply would change without applying it
    --supersede     Let apply replace a revision in force that a restored store has lost
    --wait          Seconds to wait until a change is active on every live instance; 0 does not wait [${DEFAULT_WAIT_SECONDS}]
    --settings      Check an instance settings file instead of declarations
    --against       File with the version in force, with which check compares
    --stored        Compare with the stored configuration (check of declarations)
    --strict        Let warnings of check give exit code 1
    --expect-unchanged  Let differences that check finds give exit code 1
    --zone          Availability zone
    --window        Start of a usage window, as ISO 8601 time

  Examples
    $ hickoryrelay check examples/foucault/declarations.yaml
    $ hickoryrelay apply examples/foucault/declarations.yaml --dry-run
    $ hickoryrelay keys issue city-museum
    $ hickoryrelay status --json

  Exit codes
    0  success
    1  failure, or warnings or differences of check that a flag asked for
    2  invalid arguments, an invalid file or errors of check
    3  another operator changed the configuration first
    4  accepted, but not yet active on every live instance
    5  the compared declarations differ (diff)
`,
  {
    importMeta: import.meta,
    flags: {
      platform: {
        type: 'string',
        shortFlag: 'p',
        default: process.env.HICKORYRELAY_PLATFORM ?? DEFAULT_SETTINGS_FILE,
      },
      json: { type: 'boolean', default: false },
      dryRun: { type: 'boolean', default: false },
      supersede: { type: 'boolean', default: false },
      settings: { type: 'boolean', default: false },
      against: { type: 'string' },
      stored: { type: 'boolean', default: false },
      strict: { type: 'boolean', default: false },
      expectUnchanged: { type: 'boolean', default: false },
      wait: { type: 'number', default: DEFAULT_WAIT_SECONDS },
      zone: { type: 'string' },
      window: { type: 'string' },
    },
  },
);

const closeCallbacks: (() => Promise<void>)[] = [];

function openPlatform(settings: OperatorSettings) {
  const { keyValue, supply, instances, usage } = settings.platform;
  const store = new EtcdKeyValueStore({ urls: keyValue });
  closeCallbacks.push(() => store.close());
  return {
    configurations: new ConfigurationStore(store),
    supply: new HttpEndpointSupply(supply),
    instances: new HttpInstanceList(instances),
    usage: new HttpUsageReportSink(usage),
  };
}

async function readOperatorSettings(): Promise<OperatorSettings | undefined> {
  const isOffline = program.input[0] === 'check' && !program.flags.stored;
  if (isOffline) {
    return undefined;
  }
  const file = program.flags.platform;
  return new YamlParser(operatorSettingsSchema).parse(
    file,
    await CommandContext.readTextFile(file),
  );
}

async function run(): Promise<ExitCode> {
  const settings = await readOperatorSettings();
  const { json, dryRun, supersede, wait, zone, window } = program.flags;
  const { against, stored, strict, expectUnchanged } = program.flags;
  const context = new CommandContext({
    flags: {
      json,
      dryRun,
      supersede,
      settings: program.flags.settings,
      against,
      stored,
      strict,
      expectUnchanged,
      zone,
      window,
      waitSeconds: wait,
    },
    author: userInfo().username,
    clock: new SystemClock(),
    random: new SystemRandomSource(),
    write: (text) => {
      process.stdout.write(text);
    },
    platform: () => openPlatform(settings as OperatorSettings),
  });
  return registry.run(context, program.input, (text) => {
    process.stderr.write(text);
  });
}

if (program.input.length === 0) {
  program.showHelp(ExitCode.InvalidInput);
}
try {
  process.exitCode = await run();
} catch (error) {
  process.stderr.write(`${describeFailure(failureOf(error))}\n`);
  process.exitCode = ExitCode.InvalidInput;
} finally {
  await Promise.all(closeCallbacks.map((close) => close()));
}
