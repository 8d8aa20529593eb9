#!/usr/bin/env node
import { readFile } from 'node:fs/promises';
import { relative } from 'node:path';
import { createVitest } from 'vitest/node';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { KNOWN_FAILURES_FILE, parseKnownFailures } from './KnownFailures.js';
import { findUnmatched, patternWithout } from './LeftOutTests.js';

import type { KnownFailingTest } from './KnownFailures.js';
import type { CollectedTest } from './LeftOutTests.js';
import type { TestCase, TestSpecification, Vitest } from 'vitest/node';

const root = process.cwd();

function isMissingFile(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ENOENT';
}

/** Reads the list of known failures and prints it. Returns the tests that it names. */
async function readKnownFailures(): Promise<readonly KnownFailingTest[]> {
  let text: string;
  try {
    text = await readFile(KNOWN_FAILURES_FILE, 'utf8');
  } catch (error) {
    if (isMissingFile(error)) {
      return [];
    }
    throw error;
  }
  if (text.length > 0) {
    process.stdout.write(`Known to fail:\n${text}`);
  }
  return parseKnownFailures(text);
}

function fileOf({ moduleId }: { readonly moduleId: string }): string {
  return relative(root, moduleId);
}

function describeTest(test: TestCase): CollectedTest {
  const path = [test.name];
  for (let { parent } = test; parent.type === 'suite'; { parent } = parent) {
    path.unshift(parent.name);
  }
  return { file: fileOf(test.module), path };
}

/** Collects the tests of the files without running them. */
async function collectTests(
  vitest: Vitest,
  specifications: readonly TestSpecification[],
): Promise<readonly CollectedTest[]> {
  const { testModules } = await vitest.collectTests([...specifications]);
  return testModules.flatMap((module) => [...module.children.allTests()].map(describeTest));
}

/** Returns the specifications of all tests but the known failing ones. */
async function leaveOut(
  vitest: Vitest,
  known: readonly KnownFailingTest[],
): Promise<TestSpecification[]> {
  const files = new Set(known.map(({ file }) => file));
  const specifications = await vitest.globTestSpecifications();
  const affected = specifications.filter((specification) => files.has(fileOf(specification)));
  const collected = await collectTests(vitest, affected);
  const problems = findUnmatched(known, collected);
  if (problems.length > 0) {
    throw new RelayError({ kind: FailureKind.InvalidFile, problems });
  }
  return specifications.map((specification) =>
    affected.includes(specification)
      ? specification.project.createSpecification(specification.moduleId, {
          testNamePattern: patternWithout(fileOf(specification), known, collected),
        })
      : specification,
  );
}

/** Prints the tests that were not run, since the summary of the runner counts them as skipped. */
function printLeftOut(known: readonly KnownFailingTest[]): void {
  known.forEach(({ file, name }) => process.stdout.write(`Left out: ${file} > ${name}\n`));
  process.stdout.write(`Left out as known to fail (${KNOWN_FAILURES_FILE}): ${known.length}\n`);
}

/** Runs all tests but the known failing ones. vitest sets the exit code if a test fails. */
async function runTests(): Promise<void> {
  const known = await readKnownFailures();
  const vitest = await createVitest('test', { watch: false });
  try {
    await vitest.standalone();
    await vitest.runTestSpecifications(await leaveOut(vitest, known), true);
    printLeftOut(known);
  } finally {
    await vitest.exit();
  }
}

try {
  await runTests();
} catch (error) {
  if (!(error instanceof RelayError)) {
    throw error;
  }
  process.stderr.write(`${error.message}\n`);
  process.exitCode = 1;
}
