#!/usr/bin/env node
import { readFile } from 'node:fs/promises';

import meow from 'meow';
import { SystemClock } from 'hickoryrelay/Clock';
import { describeFailure } from 'hickoryrelay/Failure';
import { createProcessLogger, LogPrefix, createComponentLogger } from 'hickoryrelay/Logger';
import { SystemRandomSource } from 'hickoryrelay/RandomSource';
import { failureOf } from 'hickoryrelay/RelayError';
import { settingsSchema } from 'hickoryrelay-contract/Settings';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';
import { BudgetedKeyValueStore } from 'hickoryrelay-platform/BudgetedKeyValueStore';
import { CallBudget } from 'hickoryrelay-platform/CallBudget';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import {
  HttpEndpointSupply,
  HttpInstanceList,
  HttpUsageReportSink,
} from 'hickoryrelay-platform/HttpPlatform';

import { Instance } from './Instance.js';
import type { Settings } from 'hickoryrelay-contract/Settings';

const ExitCode = { Success: 0, Failure: 1, InvalidSettings: 2, CallsCutOff: 3 } as const;

const program = meow(
  `
  Usage
    $ hickoryrelayd --settings <file>

  Options
    --settings, -s  The settings file (YAML) of this entry instance

  Once it listens it writes one JSON line with its addresses to standard output. Logs go to standard
  error.

  Examples
    $ hickoryrelayd --settings examples/foucault/settings.yaml

  Signals
    SIGTERM, SIGINT  stop gracefully; a second one stops at once
    SIGHUP           no effect; changed settings take effect after a restart

  Exit codes
    0  stopped after all calls had finished
    1  failed
    2  the settings file is not valid
    3  stopped at the deadline or by a second signal; calls were cut off and are named in the log
`,
  {
    importMeta: import.meta,
    flags: { settings: { type: 'string', shortFlag: 's', isRequired: true } },
  },
);

async function readSettings(file: string): Promise<Settings | undefined> {
  try {
    return new YamlParser(settingsSchema).parse(file, await readFile(file, 'utf8'));
  } catch (error) {
    process.stderr.write(`${describeFailure(failureOf(error))}\n`);
    return undefined;
  }
}

async function run(settings: Settings): Promise<void> {
  const logger = createProcessLogger(settings.log.level, settings.instance.name);
  const log = createComponentLogger(logger, LogPrefix.Daemon);
  const platformLog = createComponentLogger(logger, LogPrefix.Platform);
  const clock = new SystemClock();
  const random = new SystemRandomSource();
  const callBudget = new CallBudget(clock);
  const store = new EtcdKeyValueStore({ urls: settings.platform.keyValue });
  store.onRestore(({ clusterBefore, clusterAfter, revisionBefore, revisionAfter }) => {
    platformLog.warn('The key-value service has been restored from an older copy.', {
      clusterBefore,
      clusterAfter,
      revisionBefore,
      revisionAfter,
    });
  });
  const instance = new Instance({
    settings,
    clock,
    random,
    logger,
    callBudget,
    platform: {
      keyValue: new BudgetedKeyValueStore({ store, budget: callBudget, clock, random }),
      supply: new HttpEndpointSupply(settings.platform.supply, platformLog),
      instances: new HttpInstanceList(settings.platform.instances, platformLog),
      usage: new HttpUsageReportSink(settings.platform.usage),
    },
  });
  let isStopping = false;
  const stop = () => {
    if (isStopping) {
      log.warn('Received a second signal; stopping immediately.');
      instance.forceStop();
      return;
    }
    isStopping = true;
    log.info('Received a signal; stopping gracefully.');
    void instance.stop().then((cutOffIdentifiers) => {
      log.info('Stopped.', { callsCutOff: cutOffIdentifiers.length });
      process.exit(cutOffIdentifiers.length === 0 ? ExitCode.Success : ExitCode.CallsCutOff);
    });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => {
    log.warn('Received SIGHUP; changed settings take effect only after a restart.');
  });
  await instance.start();
  const { address, port } = instance.callersAddress;
  log.info('Listening for callers.', { address, port });
  process.stdout.write(`${JSON.stringify({ callers: `http://${address}:${port}` })}\n`);
}

// The runtime's default action would end the process, also while it starts.
process.on('SIGHUP', () => {});

const settings = await readSettings(program.flags.settings);
if (settings === undefined) {
  process.exitCode = ExitCode.InvalidSettings;
} else {
  await run(settings);
}
