import { mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { parse, stringify } from 'yaml';
import { SystemClock } from 'hickoryrelay/Clock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { CommandContext } from 'hickoryrelay-command-line/CommandContext';
import { CommandRegistry } from 'hickoryrelay-command-line/CommandRegistry';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import {
  HttpEndpointSupply,
  HttpInstanceList,
  HttpUsageReportSink,
} from 'hickoryrelay-platform/HttpPlatform';
import { JsonServer } from 'hickoryrelay-standin/JsonServer';
import { KeyValueGateway } from 'hickoryrelay-standin/KeyValueGateway';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { PlatformStandIn } from 'hickoryrelay-standin/PlatformStandIn';

import type { CommandFlags } from 'hickoryrelay-command-line/CommandContext';
import type { JsonResponse } from 'hickoryrelay-standin/JsonServer';

const EXAMPLE = 'examples/foucault/declarations.yaml';
const FLAGS: CommandFlags = {
  json: false,
  dryRun: false,
  supersede: false,
  settings: false,
  against: undefined,
  stored: false,
  strict: false,
  expectUnchanged: false,
  zone: undefined,
  window: undefined,
  waitSeconds: 1,
};

/** States the revision in force at an instance. */
class StatusStandIn extends JsonServer {
  private readonly revision: number;

  constructor(revision: number) {
    super();
    this.revision = revision;
  }

  protected override answer(): JsonResponse {
    return { status: 200, body: { revision: this.revision } };
  }
}

describe('the command-line tool', () => {
  const clock = new SystemClock();
  const registry = new CommandRegistry();
  let gateway: KeyValueGateway;
  let platform: PlatformStandIn;
  let store: EtcdKeyValueStore;
  let folder: string;

  beforeEach(async () => {
    gateway = new KeyValueGateway(new KeyValueTable(clock));
    platform = new PlatformStandIn();
    await gateway.listen();
    await platform.listen();
    store = new EtcdKeyValueStore({ urls: [gateway.url] });
    folder = await mkdtemp(path.join(tmpdir(), 'hickoryrelay-test-'));
  });

  afterEach(async () => {
    await store.close();
    await Promise.all([gateway.close(), platform.close()]);
  });

  async function run(words: string, flags: Partial<CommandFlags> = {}) {
    let output = '';
    let errors = '';
    const context = new CommandContext({
      flags: { ...FLAGS, ...flags },
      author: 'operator',
      clock,
      random: new SeededRandomSource(output.length + words.length),
      write: (text) => {
        output += text;
      },
      platform: () => ({
        configurations: new ConfigurationStore(store),
        supply: new HttpEndpointSupply(platform.url),
        instances: new HttpInstanceList(platform.url),
        usage: new HttpUsageReportSink(platform.url),
      }),
    });
    const code = await registry.run(context, words.split(' '), (text) => {
      errors += text;
    });
    return { code, output, errors };
  }

  /** Writes a copy of the example declarations with the given fields replaced. */
  async function writeChanged(name: string, fields: object): Promise<string> {
    const document = parse(await readFile(EXAMPLE, 'utf8')) as object;
    const file = path.join(folder, `${name}.yaml`);
    await writeFile(file, stringify({ ...document, ...fields }));
    return file;
  }

  it('applies a file, then finds no differences', async () => {
    expect(await run(`apply ${EXAMPLE}`)).toMatchObject({ code: 0 });
    expect(await run(`diff ${EXAMPLE}`)).toMatchObject({ code: 0, output: 'No differences.\n' });
    expect((await run('history')).output).toContain('operator');
  });

  it('changes nothing in a dry run', async () => {
    const dry = await run(`apply ${EXAMPLE}`, { dryRun: true });
    expect(dry.output).toContain('+ account city-museum');
    expect((await run('get')).code).toBe(2);
  });

  it('shows the changed field in a diff', async () => {
    await run(`apply ${EXAMPLE}`);
    const file = await writeChanged('changed', { budget: { costPerHour: 7 } });
    const diff = await run(`diff ${file}`);
    expect(diff.code).toBe(5);
    expect(diff.output).toContain('budget.costPerHour: 160 -> 7');
  });

  it('keeps issued keys when a file without keys is applied again', async () => {
    await run(`apply ${EXAMPLE}`);
    const issued = await run('keys issue city-museum');
    const file = await writeChanged('changed', { staleKeySeconds: 60 });
    await run(`apply ${file}`);
    const listed = await run('keys list city-museum', { json: true });
    const [key] = JSON.parse(listed.output) as { identifier: string; state: string }[];
    expect(issued.output).toContain(key?.identifier);
    expect(key?.state).toBe('valid');
  });

  it('keeps a withdrawn key withdrawn when an older file is applied', async () => {
    await run(`apply ${EXAMPLE}`);
    await run('keys issue city-museum');
    const { document } = JSON.parse((await run('get', { json: true })).output) as {
      document: { accounts: { keys: { identifier: string }[] }[] };
    };
    const older = path.join(folder, 'older.yaml');
    await writeFile(older, stringify(document));
    const identifier = document.accounts
      .flatMap(({ keys }) => keys)
      .map((key) => key.identifier)
      .join('');
    expect((await run(`keys withdraw ${identifier}`)).code).toBe(0);
    await run(`apply ${older}`);
    expect((await run('keys list')).output).toContain('withdrawn');
  });

  // Guards against a change that every instance ignores, since a restored store gives out revisions
  // that the instances have passed.
  it('reports a conflict while instances have a revision that the store has lost', async () => {
    await run(`apply ${EXAMPLE}`);
    const { table } = gateway;
    const copy = table.copy();
    await run(`apply ${await writeChanged('lost', { staleKeySeconds: 61 })}`);
    const instance = new StatusStandIn(2);
    await instance.listen();
    platform.instances.set('entry-1', {
      name: 'entry-1',
      zone: 'zone-a',
      state: 'live',
      callersUrl: instance.url,
      peersUrl: 'ws://127.0.0.1:9',
    });
    table.restore(copy);
    const file = await writeChanged('next', { staleKeySeconds: 62 });
    const refused = await run(`apply ${file}`);
    expect(refused).toMatchObject({ code: 3 });
    expect(refused.output).toContain('Revision 2 is in force, but the store has revision 1.');
    expect(await run('keys issue city-museum')).toMatchObject({ code: 3 });
    expect(await run(`apply ${file}`, { supersede: true, waitSeconds: 0 })).toMatchObject({
      code: 0,
    });
    expect((await run('get')).output).toContain('# revision 3\n');
    await instance.close();
  });

  it('reports a conflict to the operator whose concurrent change came second', async () => {
    await run(`apply ${EXAMPLE}`);
    const file = await writeChanged('first', { staleKeySeconds: 61 });
    const other = await writeChanged('second', { staleKeySeconds: 62 });
    const results = await Promise.all([run(`apply ${file}`), run(`apply ${other}`)]);
    const codes = results.map(({ code }) => code);
    expect(codes).toContain(0);
    expect(codes.every((code) => code === 0 || code === 3)).toBe(true);
    const { output } = await run('get', { json: true });
    const { revision } = JSON.parse(output) as { revision: number };
    expect(revision).toBe(1 + codes.filter((code) => code === 0).length);
  });

  it('names instances that have not applied a change', async () => {
    platform.instances.set('entry-9', {
      name: 'entry-9',
      zone: 'zone-a',
      state: 'live',
      callersUrl: 'http://127.0.0.1:9',
      peersUrl: 'ws://127.0.0.1:9',
    });
    const applied = await run(`apply ${EXAMPLE}`);
    expect(applied.code).toBe(4);
    expect(applied.output).toContain('entry-9');
  });

  it.each([
    ['an unknown field', 'weights: {}\n', 'weights'],
    ['a wrong type', 'staleKeySeconds: soon\n', 'staleKeySeconds'],
    ['broken YAML', 'classes: [\n', '(syntax)'],
  ])('reports file, line and field of %s', async (name, text, field) => {
    const file = path.join(folder, 'broken.yaml');
    await writeFile(file, `version: 1\n${text}`);
    const { code, errors } = await run(`check ${file}`);
    expect(code).toBe(2);
    expect(errors).toMatch(
      new RegExp(`broken\\.yaml:\\d+: .*${field.replace(/[()]/gu, '.')}`, 'u'),
    );
  });

  it.each([
    ['foucault', 'declarations', false],
    ['vekstlinje', 'declarations', false],
    ['foucault', 'settings', true],
    ['vekstlinje', 'settings', true],
  ])('accepts the example %s %s', async (user, kind, settings) => {
    const { code } = await run(`check examples/${user}/${kind}.yaml`, { settings });
    expect(code).toBe(0);
  });

  describe('check', () => {
    // A minimum of changes to the example after which a check has something to report.
    const writeWithWarning = () =>
      writeChanged('warning', { accounts: [{ name: 'city-museum', classes: ['quick-ask'] }] });
    const writeWithError = () => writeChanged('error', { budget: { costPerHour: 7 } });

    it('gives warnings an exit code only on request, and errors always', async () => {
      const warning = await writeWithWarning();
      const relaxed = await run(`check ${warning}`);
      expect(relaxed.code).toBe(0);
      expect(relaxed.output).toContain('warning: class rig-brief: no account may use the class');
      expect((await run(`check ${warning}`, { strict: true })).code).toBe(1);
      const error = await run(`check ${await writeWithError()}`);
      expect(error.code).toBe(2);
      expect(error.output).toContain('costPerHour of 8 is above the budget of 7');
      expect(error.output).toContain('has errors.');
    });

    it('compares with a file and with the stored configuration', async () => {
      const file = await writeWithWarning();
      const withFile = await run(`check ${file}`, { against: EXAMPLE, expectUnchanged: true });
      expect(withFile.code).toBe(1);
      expect(withFile.output).toContain('- account science-fair');
      expect((await run(`check ${file}`, { against: EXAMPLE })).code).toBe(0);
      expect((await run(`check ${file}`, { stored: true })).code).toBe(2);
      await run(`apply ${EXAMPLE}`);
      const stored = await run(`check ${file}`, { stored: true, expectUnchanged: true });
      expect(stored).toMatchObject({ code: 1 });
      expect(stored.output).toContain('- account science-fair');
      expect(await run(`check ${EXAMPLE}`, { stored: true, expectUnchanged: true })).toMatchObject({
        code: 0,
      });
    });

    // Guards against an account that is reported as without keys although its keys are stored.
    it('takes stored keys into account', async () => {
      await run(`apply ${EXAMPLE}`);
      const unknown = 'account city-museum: the account has no valid key';
      expect((await run(`check ${EXAMPLE}`, { stored: true })).output).toContain(unknown);
      await run('keys issue city-museum');
      expect((await run(`check ${EXAMPLE}`, { stored: true })).output).not.toContain(unknown);
      expect((await run(`check ${EXAMPLE}`)).output).toBe(`${EXAMPLE} is valid.\n`);
    });

    it('writes a report as JSON, also of an invalid file', async () => {
      const { code, output } = await run(`check ${await writeWithError()}`, { json: true });
      expect(code).toBe(2);
      expect(JSON.parse(output)).toMatchObject({
        layout: 1,
        outcome: 'errors',
        findings: [{ severity: 'error', kind: 'contradiction', section: 'endpoint-kind' }],
        differences: null,
      });
      const invalid = await writeChanged('invalid', { weights: {} });
      const report = await run(`check ${invalid}`, { json: true });
      expect(report.code).toBe(2);
      expect(JSON.parse(report.output)).toMatchObject({
        outcome: 'errors',
        findings: [{ kind: 'invalid', section: 'file' }],
      });
    });

    it('compares the settings of an instance', async () => {
      const settings = 'examples/foucault/settings.yaml';
      const against = 'examples/vekstlinje/settings.yaml';
      const flags = { settings: true, against, expectUnchanged: true };
      expect((await run(`check ${settings}`, flags)).code).toBe(1);
      expect((await run(`check ${against}`, flags)).code).toBe(0);
    });

    it.each([
      { stored: true, against: EXAMPLE },
      { stored: true, settings: true },
    ])('refuses the flags %j', async (flags) => {
      expect((await run(`check ${EXAMPLE}`, flags)).code).toBe(2);
    });
  });

  it('refuses an unknown command', async () => {
    expect(await run('frobnicate')).toMatchObject({ code: 2 });
  });
});
