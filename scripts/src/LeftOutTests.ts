import { knownFailureProblem } from './KnownFailures.js';

import type { KnownFailingTest } from './KnownFailures.js';
import type { FileProblem } from 'hickoryrelay/Failure';

/** A test as vitest collects it. */
export interface CollectedTest {
  /** Path of the test file, relative to the root of the repository. */
  readonly file: string;
  /** Names of the suites and of the test, in order. */
  readonly path: readonly string[];
}

function isNamedBy({ file, name }: KnownFailingTest, test: CollectedTest): boolean {
  return test.file === file && test.path.join(' > ') === name;
}

/** Returns a problem for each known failing test that names no test, or more than one. */
export function findUnmatched(
  known: readonly KnownFailingTest[],
  collected: readonly CollectedTest[],
): readonly FileProblem[] {
  return known.flatMap((entry) => {
    const count = collected.filter((test) => isNamedBy(entry, test)).length;
    const reason = `${count} tests of ${entry.file} are named "${entry.name}"; expected one`;
    return count === 1 ? [] : [knownFailureProblem(entry.line, 'test', reason)];
  });
}

/** Returns the full name that vitest compares with a name pattern. */
function patternName({ path }: CollectedTest): string {
  return path.join(' ');
}

function escapePattern(text: string): string {
  return text.replace(/[\\^$.*+?()[\]{}|]/g, '\\$&');
}

/** Returns a name pattern that matches all tests of the file but the known failing ones. */
export function patternWithout(
  file: string,
  known: readonly KnownFailingTest[],
  collected: readonly CollectedTest[],
): RegExp {
  const leftOut = collected.filter(
    (test) => test.file === file && known.some((entry) => isNamedBy(entry, test)),
  );
  const names = leftOut.map(patternName).map(escapePattern);
  return new RegExp(`^(?!(?:${names.join('|')})$)`);
}
