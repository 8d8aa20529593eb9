import { describe, expect, it } from 'vitest';

import { parseKnownFailures } from '../../KnownFailures.js';
import { findUnmatched, patternWithout } from '../../LeftOutTests.js';

const FILE = 'platform/src/__tests__/e2e/Example.test.ts';
const DETAILS = ['command: npx vitest run', 'seed: none', 'seen: once', 'issue: 1'];

function entry(subject: string, details: readonly string[] = DETAILS): string {
  return [subject, ...details].join('\n');
}

describe('the list of known failures', () => {
  it('names tests by file and full name, and leaves out days and runs of soaks', () => {
    const text = [
      '# Comment.',
      '',
      entry('day: site trouble-1'),
      '',
      entry('run: soak, seed 1'),
      '',
      entry(`test: ${FILE} > a > b`),
    ];
    expect(parseKnownFailures(text.join('\n'))).toEqual([{ line: 15, file: FILE, name: 'a > b' }]);
  });

  // Guards against an entry that is passed over, so that nobody notices what it leaves out.
  it.each([
    ['a whole file', entry(`test: ${FILE}`), 'KNOWN-RED.txt:1: test: '],
    ['an unknown kind', entry(`tests: ${FILE} > a`), 'KNOWN-RED.txt:1: tests: '],
    ['no issue', entry(`test: ${FILE} > a`, DETAILS.slice(0, 3)), 'KNOWN-RED.txt:1: issue: '],
    ['a line without a key', entry(`test: ${FILE} > a`, [...DETAILS, 'a note']), '"a note"'],
  ])('rejects an entry with %s', (_, text, message) => {
    expect(() => parseKnownFailures(text)).toThrow(message);
  });
});

describe('the tests that are left out', () => {
  const known = [{ line: 9, file: FILE, name: 'suite > case: 1.5 (a|b) [c]' }];
  const named = { file: FILE, path: ['suite', 'case: 1.5 (a|b) [c]'] };

  it('are exactly those named', () => {
    const pattern = patternWithout(FILE, known, [named]);
    expect('suite case: 1.5 (a|b) [c]').not.toMatch(pattern);
    const others = [
      'suite case: 1.5 (a|b) [c], too',
      'outer suite case: 1.5 (a|b) [c]',
      'suite case: 1x5 a c',
      'suite case: 1.5 (a|b)',
      'suite',
    ];
    others.forEach((name) => expect(name).toMatch(pattern));
  });

  it('do not include a test of the same name in another file', () => {
    const pattern = patternWithout('other.test.ts', known, [
      named,
      { ...named, file: 'other.test.ts' },
    ]);
    expect('suite case: 1.5 (a|b) [c]').toMatch(pattern);
  });

  it('must each be found once', () => {
    expect(findUnmatched(known, [named])).toEqual([]);
    const mismatches = [
      [],
      [named, named],
      [{ ...named, file: 'other.test.ts' }],
      [{ ...named, path: ['suite', 'case'] }],
    ];
    mismatches.forEach((collected) => {
      expect(findUnmatched(known, collected)).toEqual([
        expect.objectContaining({ line: 9, reason: expect.stringContaining(FILE) as string }),
      ]);
    });
  });
});
