import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { hasFailureKind } from 'hickoryrelay/RelayError';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';
import {
  assembleDocument,
  digestBucket,
  splitIntoBuckets,
} from 'hickoryrelay-contract/ConfigurationBucket';
import { Declarations, declarationsSchema } from 'hickoryrelay-contract/Declarations';
import { diffDeclarations, mergeStoredKeys } from 'hickoryrelay-contract/DeclarationsChange';

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

function failureKindOf(action: () => unknown): Kind | undefined {
  try {
    action();
    return undefined;
  } catch (error) {
    return Object.values(FailureKind).find((kind) => hasFailureKind(error, kind));
  }
}

describe('declarations', () => {
  it('are unchanged after being split into buckets and reassembled', () => {
    fc.assert(
      fc.property(documents, (document) => {
        const { texts, digests } = splitIntoBuckets(document);
        expect(texts.map(digestBucket)).toEqual(digests);
        expect(diffDeclarations(document, assembleDocument(texts))).toEqual([]);
      }),
      { seed: SEED, numRuns: 50 },
    );
  });

  it('change at most one bucket when one account changes', () => {
    fc.assert(
      fc.property(documents, (document) => {
        const [first, ...others] = document.accounts;
        fc.pre(first !== undefined);
        const changed = { ...document, accounts: [{ ...first, keys: [] }, ...others] };
        const before = splitIntoBuckets(document).digests;
        const after = splitIntoBuckets(changed).digests;
        const different = before.filter((digest, index) => digest !== after[index]);
        expect(different.length).toBeLessThanOrEqual(1);
      }),
      { seed: SEED, numRuns: 50 },
    );
  });

  // Guards against an older declarations file that makes a withdrawn key valid again.
  it('keep withdrawn keys withdrawn when another file is applied', () => {
    fc.assert(
      fc.property(documents, fc.array(fc.boolean()), (document, flags) => {
        const stored = structuredClone(document);
        const keys = stored.accounts.flatMap((account) => account.keys ?? []);
        keys.forEach((key, index) => Object.assign(key, { withdrawn: flags[index] ?? false }));
        const next = new Declarations(mergeStoredKeys(document, stored));
        for (const account of stored.accounts) {
          for (const key of account.keys ?? []) {
            expect(next.acceptsKey(key.identifier, account.name)).toBe(!key.withdrawn);
          }
        }
      }),
      { seed: SEED, numRuns: 50 },
    );
  });

  it('authenticate only the issued key, and reject it once withdrawn', () => {
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
    const wrongKey = `${text.slice(0, -1)}${text.endsWith('0') ? '1' : '0'}`;
    expect(build(false).authenticate(text).account.name).toBe('first');
    expect(failureKindOf(() => build(false).authenticate(wrongKey))).toBe(
      FailureKind.Unauthenticated,
    );
    expect(failureKindOf(() => build(false).authenticate('malformed'))).toBe(
      FailureKind.Unauthenticated,
    );
    expect(failureKindOf(() => build(true).authenticate(text))).toBe(FailureKind.KeyWithdrawn);
    expect(failureKindOf(() => build(true).authenticate(wrongKey))).toBe(
      FailureKind.Unauthenticated,
    );
  });
});
