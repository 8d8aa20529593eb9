#!/usr/bin/env node
import { readFile } from 'node:fs/promises';
import { userInfo } from 'node:os';

import { declarationsSchema } from 'hickoryrelay-contract/Declarations';
import { settingsSchema } from 'hickoryrelay-contract/Settings';
import { YamlFile } from 'hickoryrelay-contract/YamlFile';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import meow from 'meow';

const ExitCode = { Success: 0, Failure: 1, InvalidFile: 2, Conflict: 3 } as const;

const program = meow(
  `
  Usage
    $ hickoryrelay apply <declarations file> --key-value <url>
    $ hickoryrelay check <file> [--settings]

  Exit codes
    0  done
    1  failed
    2  a file is not valid
    3  another operator changed the configuration first
`,
  {
    importMeta: import.meta,
    flags: {
      keyValue: { type: 'string' },
      settings: { type: 'boolean', default: false },
    },
  },
);

async function check(file: string): Promise<void> {
  const schema = program.flags.settings ? settingsSchema : declarationsSchema;
  new YamlFile(schema).read(file, await readFile(file, 'utf8'));
  process.stdout.write(`${file} is valid.\n`);
}

async function apply(file: string): Promise<void> {
  const document = new YamlFile(declarationsSchema).read(file, await readFile(file, 'utf8'));
  const store = new EtcdKeyValueStore({ urls: [program.flags.keyValue ?? ''] });
  try {
    const configurations = new ConfigurationStore(store);
    const current = await configurations.readHead();
    const head = await configurations.replace(document, current?.revision ?? 0, {
      author: userInfo().username,
      summary: `apply ${file}`,
      wallMilliseconds: Date.now(),
    });
    process.stdout.write(`Revision ${head.revision} is accepted.\n`);
  } finally {
    await store.close();
  }
}

const [command, file] = program.input;
try {
  if (command === 'check' && file !== undefined) {
    await check(file);
  } else if (command === 'apply' && file !== undefined) {
    await apply(file);
  } else {
    program.showHelp(ExitCode.Failure);
  }
} catch (error) {
  const failure = failureOf(error);
  process.stderr.write(`${describeFailure(failure)}\n`);
  process.exitCode = ExitCode.Failure;
  if (failure.kind === FailureKind.InvalidFile) {
    process.exitCode = ExitCode.InvalidFile;
  }
  if (failure.kind === FailureKind.RevisionConflict) {
    process.exitCode = ExitCode.Conflict;
  }
}
