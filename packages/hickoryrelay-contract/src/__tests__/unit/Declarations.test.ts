import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { hasFailureKind } from 'hickoryrelay/RelayError';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';
import { bucketsOf, digestBucket, documentFrom } from 'hickoryrelay-contract/ConfigurationBucket';
import { Declarations, declarationsSchema } from 'hickoryrelay-contract/Declarations';
import { carryKeys, changesBetween } from 'hickoryrelay-contract/DeclarationsChange';

import type { FailureKind as Kind } from 'hickoryrelay/Failure';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';

const SEED = 20_261_204;

const names = fc.stringMatching(/^[a-z][a-z0-9-]{0,12}$/u);

/** Valid documents with up to 40 accounts, each with up to 3 keys. */
const documents: fc.Arbitrary<DeclarationsDocument> = fc
  .record({
    budget: fc.integer({ min: 1, max: 1000 }),
    accounts: fc.uniqueArray(names, { maxLength: 40 }),
    keys: fc.integer({ min: 0, max: 3 }),
    seed: fc.nat(),
  })
  .map(({ budget, accounts, keys, seed }) => {
    const random = new SeededRandomSource(seed);
    return declarationsSchema.parse({
      version: 1,
      budget: { costPerHour: budget },
      classes: [
        {
          name: 'ask',
          kind: 'model',
          models: ['model-one'],
          targets: { lateness: {}, loss: 0.1, cost: 1 },
        },
      ],
      accounts: accounts.map((name) => ({
        name,
        classes: ['ask'],
        keys: Array.from({ length: keys }, () => AccessKey.issue(random).declaration),
      })),
      endpointKinds: [],
    });
  });

function kindOf(action: () => unknown): Kind | undefined {
  try {
    action();
    return undefined;
  } catch (error) {
    return Object.values(FailureKind).find((kind) => hasFailureKind(error, kind));
  }
}

describe('declarations', () => {
  it('survive being split into buckets', () => {
    fc.assert(
      fc.property(documents, (document) => {
        const { texts, digests } = bucketsOf(document);
        expect(texts.map(digestBucket)).toEqual(digests);
        expect(changesBetween(document, documentFrom(texts))).toEqual([]);
      }),
      { seed: SEED, numRuns: 50 },
    );
  });

  it('change one bucket when one account changes', () => {
    fc.assert(
      fc.property(documents, (document) => {
        const [first, ...others] = document.accounts;
        fc.pre(first !== undefined);
        const changed = { ...document, accounts: [{ ...first, keys: [] }, ...others] };
        const before = bucketsOf(document).digests;
        const after = bucketsOf(changed).digests;
        const different = before.filter((digest, index) => digest !== after[index]);
        expect(different.length).toBeLessThanOrEqual(1);
      }),
      { seed: SEED, numRuns: 50 },
    );
  });

  it('never lose a withdrawal, whatever file is applied', () => {
    fc.assert(
      fc.property(documents, fc.array(fc.boolean()), (document, flags) => {
        const stored = structuredClone(document);
        const keys = stored.accounts.flatMap((account) => account.keys ?? []);
        keys.forEach((key, index) => Object.assign(key, { withdrawn: flags[index] ?? false }));
        const next = new Declarations(carryKeys(document, stored));
        for (const account of stored.accounts) {
          for (const key of account.keys ?? []) {
            expect(next.acceptsKey(key.identifier, account.name)).toBe(!key.withdrawn);
          }
        }
      }),
      { seed: SEED, numRuns: 50 },
    );
  });

  it('recognise exactly the issued key', () => {
    const random = new SeededRandomSource(SEED);
    const { text, declaration } = AccessKey.issue(random);
    const build = (withdrawn: boolean) =>
      new Declarations(
        declarationsSchema.parse({
          version: 1,
          budget: { costPerHour: 1 },
          classes: [
            {
              name: 'ask',
              kind: 'model',
              models: ['m'],
              targets: { lateness: {}, loss: 0, cost: 1 },
            },
          ],
          accounts: [{ name: 'first', classes: ['ask'], keys: [{ ...declaration, withdrawn }] }],
          endpointKinds: [],
        }),
      );
    const wrong = `${text.slice(0, -1)}${text.endsWith('0') ? '1' : '0'}`;
    expect(build(false).authenticate(text).account.name).toBe('first');
    expect(kindOf(() => build(false).authenticate(wrong))).toBe(FailureKind.Unauthenticated);
    expect(kindOf(() => build(false).authenticate('nonsense'))).toBe(FailureKind.Unauthenticated);
    expect(kindOf(() => build(true).authenticate(text))).toBe(FailureKind.KeyWithdrawn);
    expect(kindOf(() => build(true).authenticate(wrong))).toBe(FailureKind.Unauthenticated);
  });
});
