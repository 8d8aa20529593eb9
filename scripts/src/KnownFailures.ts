import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { FileProblem } from 'hickoryrelay/Failure';

/** The list of known failures at the root of the repository. */
export const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';

/** Separates the path of a test file, its suites and the test, as in the output of vitest. */
const NAME_SEPARATOR = ' > ';

/** What an entry of the list is about. */
const EntryKind = {
  Test: 'test',
  /** A simulated day of the benchmark, which is not among the tests. */
  Day: 'day',
  /** A seed of a soak that CI does not play. */
  Run: 'run',
} as const;

const REQUIRED_FIELDS = ['command', 'seed', 'seen', 'issue'] as const;

/** A test that the list of known failures names. */
export interface KnownFailingTest {
  /** Line of the entry, from 1. */
  readonly line: number;
  /** Path of the test file, relative to the root of the repository. */
  readonly file: string;
  /** Names of the suites and of the test, joined by " > ". */
  readonly name: string;
}

interface Field {
  readonly line: number;
  readonly key: string;
  readonly value: string;
}

/** A problem of the list in the entry that starts at the line. */
export function knownFailureProblem(line: number, field: string, reason: string): FileProblem {
  return { file: KNOWN_FAILURES_FILE, line, field, reason };
}

/** Entries are runs of `key: value` lines, separated by empty lines. Comments start with `#`. */
function splitEntries(text: string): readonly (readonly Field[])[] {
  const entries: Field[][] = [];
  let entry: Field[] = [];
  text.split('\n').forEach((content, index) => {
    if (content.startsWith('#')) {
      return;
    }
    if (content.trim() === '') {
      entry = [];
      return;
    }
    if (entry.length === 0) {
      entries.push(entry);
    }
    const [, key, value] = /^([a-z]+): *(.*)$/.exec(content) ?? ['', '', content];
    entry.push({ line: index + 1, key: key ?? '', value: (value ?? '').trim() });
  });
  return entries;
}

function checkFields(entry: readonly Field[]): readonly FileProblem[] {
  const entryLine = entry[0]?.line ?? 1;
  const malformed = entry.filter(({ key }) => key === '');
  const missing = REQUIRED_FIELDS.filter((key) => entry.every((field) => field.key !== key));
  return [
    ...malformed.map(({ line, value }) =>
      knownFailureProblem(line, '', `"${value}" is not a "key: value" line`),
    ),
    ...missing.map((key) => knownFailureProblem(entryLine, key, 'the entry has no such line')),
  ];
}

function checkKind([first]: readonly Field[]): readonly FileProblem[] {
  const kinds: readonly string[] = Object.values(EntryKind);
  return first === undefined || kinds.includes(first.key)
    ? []
    : [knownFailureProblem(first.line, first.key, `an entry starts with ${kinds.join(' or ')}`)];
}

function checkTestName({ line, key, value }: Field): readonly FileProblem[] {
  return value.includes(NAME_SEPARATOR)
    ? []
    : [knownFailureProblem(line, key, `"${value}" is not a "<file> > <full test name>"`)];
}

function decodeTest({ line, value }: Field): KnownFailingTest {
  const end = value.indexOf(NAME_SEPARATOR);
  return { line, file: value.slice(0, end), name: value.slice(end + NAME_SEPARATOR.length) };
}

/**
 * Reads the tests in the list of known failures. Throws `invalid-file` if an entry is malformed, so
 * that no entry is passed over.
 */
export function parseKnownFailures(text: string): readonly KnownFailingTest[] {
  const entries = splitEntries(text);
  const tests = entries.flat().filter(({ key }) => key === EntryKind.Test);
  const problems = [
    ...entries.flatMap(checkFields),
    ...entries.flatMap(checkKind),
    ...tests.flatMap(checkTestName),
  ];
  if (problems.length > 0) {
    throw new RelayError({ kind: FailureKind.InvalidFile, problems });
  }
  return tests.map(decodeTest);
}
