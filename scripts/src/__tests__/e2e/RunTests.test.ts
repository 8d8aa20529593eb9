import { execFile } from 'node:child_process';
import { mkdtemp, rm, symlink, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';

const pathOf = (relativePath: string) => fileURLToPath(new URL(relativePath, import.meta.url));

const TESTS = `
  import { describe, expect, it } from 'vitest';
  describe('suite', () => {
    it.each(['one', 'two'])('case %s', (name) => expect(name).toBe('one'));
  });
  it('sound', () => {});
`;

let directory = '';

beforeAll(async () => {
  directory = await mkdtemp(join(tmpdir(), 'run-tests-'));
  await symlink(pathOf('../../../../node_modules'), join(directory, 'node_modules'));
  await build({
    entryPoints: [pathOf('../../runTests.ts')],
    outfile: join(directory, 'runTests.mjs'),
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    conditions: ['source'],
    external: ['vitest'],
    logLevel: 'error',
  });
});

beforeEach(async () => {
  await rm(join(directory, 'KNOWN-RED.txt'), { force: true });
  await writeFile(join(directory, 'example.test.js'), TESTS);
  await writeFile(join(directory, 'other.test.js'), TESTS.replace("toBe('one')", 'toBeTruthy()'));
});

afterAll(async () => {
  await rm(directory, { recursive: true });
});

interface Outcome {
  readonly code: number;
  readonly output: string;
}

/** Runs the tests of the directory, with entries for the given tests in the list. */
async function runTests(...known: readonly string[]): Promise<Outcome> {
  const list = known.map((name) =>
    [`test: ${name}`, 'command: none', 'seed: none', 'seen: once', 'issue: 1', ''].join('\n'),
  );
  if (list.length > 0) {
    await writeFile(join(directory, 'KNOWN-RED.txt'), list.join('\n'));
  }
  // The variables of this run of vitest would change the inner one.
  const environment = Object.entries(process.env).filter(([name]) => !/^(VITE|TEST$)/.test(name));
  return new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      ['runTests.mjs'],
      { cwd: directory, env: { ...Object.fromEntries(environment), NO_COLOR: '1' } },
      (_, stdout, stderr) => resolve({ code: child.exitCode ?? -1, output: stdout + stderr }),
    );
  });
}

describe('the test run of continuous integration', () => {
  it.each([
    ['is not listed', ['example.test.js > sound']],
    ['no test is listed', []],
  ])('fails if a test fails and %s', async (_, known) => {
    const { code, output } = await runTests(...known);
    expect(code).toBe(1);
    expect(output).toContain('example.test.js > suite > case two');
  });

  // Guards against sound tests that are left out together with a failing one.
  it('leaves out exactly the listed test and prints it in its last lines', async () => {
    const { code, output } = await runTests('example.test.js > suite > case two');
    expect(output).toContain('Known to fail:\ntest: example.test.js > suite > case two\n');
    expect(output).toMatch(/Tests\s+5 passed \| 1 skipped \(6\)/);
    expect(output.trimEnd().split('\n').slice(-2)).toEqual([
      'Left out: example.test.js > suite > case two',
      'Left out as known to fail (KNOWN-RED.txt): 1',
    ]);
    expect(code).toBe(0);
  });

  it.each([
    ['is not in its file', 'example.test.js > suite > case three'],
    ['is in a file that does not exist', 'missing.test.js > suite > case two'],
  ])('fails without running a test if a listed test %s', async (_, name) => {
    const { code, output } = await runTests('example.test.js > suite > case two', name);
    expect(code).toBe(1);
    expect(output).toContain('KNOWN-RED.txt:7: test: 0 tests of');
    expect(output).toContain(name.slice(name.indexOf(' > ') + 3));
    expect(output).not.toContain('passed');
  });

  it('fails if a file with a listed test cannot be loaded', async () => {
    await writeFile(join(directory, 'example.test.js'), "import './missing.js';");
    const { code, output } = await runTests('example.test.js > suite > case two');
    expect(code).toBe(1);
    expect(output).toContain('KNOWN-RED.txt:1: test: 0 tests of example.test.js');
  });

  // Guards against a worker that ends early, whose remaining tests have no result.
  it('fails if the worker of a file with a left-out test ends early', async () => {
    await writeFile(
      join(directory, 'example.test.js'),
      `${TESTS}it('ends', () => process.kill(process.pid, 'SIGKILL'));`,
    );
    const { code } = await runTests('example.test.js > suite > case two');
    expect(code).toBe(1);
  });
});
