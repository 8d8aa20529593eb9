import { readFile } from 'node:fs/promises';

import { describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { runChecks } from 'hickoryrelay-configuration-check/ConfigurationCheck';
import { DECLARATIONS_CHECKS } from 'hickoryrelay-configuration-check/DeclarationsChecks';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';
import { declarationsSchema } from 'hickoryrelay-contract/Declarations';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';

const targets = (lateness: object = {}) => ({ lateness, loss: 0.1, cost: 1 });

const ASK = { name: 'ask', kind: 'model', models: ['large'], targets: targets() };
const BOOK = {
  name: 'book',
  kind: 'service',
  route: 'book',
  idempotent: false,
  targets: targets(),
};
const ENGINE = {
  name: 'engine',
  serves: 'model',
  models: ['large'],
  checksFencing: true,
  costPerHour: 2,
};
const DESK = {
  name: 'desk',
  serves: 'service',
  routes: ['book'],
  checksFencing: true,
  costPerHour: 1,
};
const KEY = AccessKey.issue(new SeededRandomSource(1)).declaration;

const CLEAN = {
  version: 1,
  budget: { costPerHour: 10 },
  classes: [ASK, BOOK],
  accounts: [{ name: 'first', classes: ['ask', 'book'] }],
  endpointKinds: [ENGINE, DESK],
};

function findingsOf(changes: object): string[] {
  const document = declarationsSchema.parse({ ...CLEAN, ...changes });
  return runChecks(DECLARATIONS_CHECKS, document).map(
    ({ severity, kind, section, name, message }) =>
      `${severity} ${kind} ${section} ${name}: ${message}`,
  );
}

const CASES: readonly (readonly [string, object, readonly string[]])[] = [
  ['nothing', {}, []],
  [
    'a model class that no kind serves',
    { endpointKinds: [DESK] },
    ['error unreachable class ask: no kind of endpoint serves large'],
  ],
  [
    'a route that only a kind of engine names',
    { endpointKinds: [ENGINE, { ...DESK, serves: 'model', models: ['large'] }] },
    [
      'error unreachable class book: no kind of endpoint serves book',
      'warning unused endpoint-kind desk: serves a model, so book has no effect',
    ],
  ],
  [
    'one of two models that no kind serves',
    { classes: [{ ...ASK, models: ['large', 'small'] }, BOOK] },
    ['warning unused class ask: no kind of endpoint serves small'],
  ],
  [
    'a class that no account may use',
    { accounts: [{ name: 'first', classes: ['ask'] }] },
    ['warning unreachable class book: no account may use the class'],
  ],
  [
    'an open class that no account may use',
    { accounts: [{ name: 'first', classes: ['ask'] }], classes: [ASK, { ...BOOK, open: true }] },
    [],
  ],
  [
    'a kind that no class uses',
    { endpointKinds: [ENGINE, DESK, { ...ENGINE, name: 'other', models: ['small'] }] },
    ['warning unused endpoint-kind other: no class uses what the kind serves'],
  ],
  [
    'a kind that serves nothing',
    { endpointKinds: [ENGINE, DESK, { ...ENGINE, name: 'other', models: [] }] },
    ['warning unused endpoint-kind other: no class uses what the kind serves'],
  ],
  [
    'a model of a kind that no class uses',
    { endpointKinds: [{ ...ENGINE, models: ['large', 'small'] }, DESK] },
    ['warning unused endpoint-kind engine: no class uses small'],
  ],
  [
    'an account without keys',
    { accounts: [{ name: 'first', classes: ['ask', 'book'], keys: [] }] },
    ['warning unreachable account first: the account has no valid key'],
  ],
  [
    'an account with a withdrawn key only',
    {
      accounts: [{ name: 'first', classes: ['ask', 'book'], keys: [{ ...KEY, withdrawn: true }] }],
    },
    ['warning unreachable account first: the account has no valid key'],
  ],
  [
    'an account with a valid key',
    { accounts: [{ name: 'first', classes: ['ask', 'book'], keys: [KEY] }] },
    [],
  ],
  [
    'a class that an account lists twice',
    { accounts: [{ name: 'first', classes: ['ask', 'book', 'ask'] }] },
    ['warning unused account first: class ask is listed more than once'],
  ],
  [
    'a target for tokens of a service',
    { classes: [ASK, { ...BOOK, targets: targets({ firstTokenMilliseconds: 5 }) }] },
    ['warning unused class book: firstTokenMilliseconds has no effect for a service'],
  ],
  [
    'targets for tokens above that for completion',
    {
      classes: [
        {
          ...ASK,
          targets: targets({
            firstTokenMilliseconds: 11,
            betweenTokensMilliseconds: 12,
            completionMilliseconds: 10,
          }),
        },
        BOOK,
      ],
    },
    [
      'warning contradiction class ask: firstTokenMilliseconds of 11 is above completionMilliseconds of 10',
      'warning contradiction class ask: betweenTokensMilliseconds of 12 is above completionMilliseconds of 10',
    ],
  ],
  [
    'a kind that costs more than the budget',
    { budget: { costPerHour: 1.5 } },
    ['error contradiction endpoint-kind engine: costPerHour of 2 is above the budget of 1.5'],
  ],
];

// Guards against declarations that are accepted and of which a part can never have an effect.
describe('the checks of declarations', () => {
  it.each(CASES)('find %s', (_name, changes, findings) => {
    expect(findingsOf(changes)).toEqual(findings);
  });

  it.each(['foucault', 'vekstlinje'])('find nothing in the example %s', async (name) => {
    const file = `examples/${name}/declarations.yaml`;
    const document = new YamlParser(declarationsSchema).parse(file, await readFile(file, 'utf8'));
    expect(runChecks(DECLARATIONS_CHECKS, document)).toEqual([]);
  });
});
