import { createHash } from 'node:crypto';

import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { declarationsSchema } from './Declarations.js';

import type { DeclarationsDocument } from './Declarations.js';

/**
 * Number of buckets that the declarations are distributed over. With 1,100 client accounts, changing
 * one account rewrites about 10 KB, and the first apply fits into a transaction of 128 operations.
 */
export const BUCKET_COUNT = 64;

const DIGEST_HEX_DIGITS = 16;

/** The section of a declarations document that an entry belongs to. */
export const EntrySection = {
  General: 'general',
  Class: 'class',
  Account: 'account',
  EndpointKind: 'endpoint-kind',
} as const;

export type EntrySection = (typeof EntrySection)[keyof typeof EntrySection];

/** A named entry of the declarations. The body is the entry as written in the file. */
export interface ConfigurationEntry {
  readonly section: EntrySection;
  readonly name: string;
  readonly body: unknown;
}

/** The `BUCKET_COUNT` buckets of a configuration, serialized as JSON, with their digests. */
export interface BucketSet {
  readonly texts: readonly string[];
  readonly digests: readonly string[];
}

const entriesSchema = z.array(
  z.strictObject({
    section: z.enum([
      EntrySection.General,
      EntrySection.Class,
      EntrySection.Account,
      EntrySection.EndpointKind,
    ]),
    name: z.string(),
    body: z.unknown(),
  }),
);

/** Returns the first 16 hexadecimal digits of the SHA-256 digest of a serialized bucket. */
export function digestBucket(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_HEX_DIGITS);
}

function bucketIndex(entry: ConfigurationEntry): number {
  const hash = createHash('sha256').update(`${entry.section}/${entry.name}`).digest();
  return hash.readUInt32BE(0) % BUCKET_COUNT;
}

/** Splits a document into named entries. */
export function splitIntoEntries(document: DeclarationsDocument): ConfigurationEntry[] {
  const { classes, accounts, endpointKinds, ...general } = document;
  return [
    { section: EntrySection.General, name: 'general', body: general },
    ...classes.map((body) => ({ section: EntrySection.Class, name: body.name, body })),
    ...accounts.map((body) => ({ section: EntrySection.Account, name: body.name, body })),
    ...endpointKinds.map((body) => ({
      section: EntrySection.EndpointKind,
      name: body.name,
      body,
    })),
  ];
}

/**
 * Distributes the entries of a document over buckets by a hash of section and name. Equal documents
 * give equal buckets.
 */
export function splitIntoBuckets(document: DeclarationsDocument): BucketSet {
  const buckets: ConfigurationEntry[][] = Array.from({ length: BUCKET_COUNT }, () => []);
  for (const entry of splitIntoEntries(document)) {
    buckets[bucketIndex(entry)]?.push(entry);
  }
  const texts = buckets.map((bucket) => {
    const sorted = bucket.toSorted((left, right) =>
      `${left.section}/${left.name}` < `${right.section}/${right.name}` ? -1 : 1,
    );
    return JSON.stringify(sorted);
  });
  return { texts, digests: texts.map(digestBucket) };
}

/** Assembles a document from its buckets. Throws `invalid-file` if the document is not valid. */
export function assembleDocument(texts: readonly string[]): DeclarationsDocument {
  const entries = texts.flatMap(parseEntries);
  const bodiesOfSection = (section: EntrySection) =>
    entries.filter((entry) => entry.section === section).map((entry) => entry.body);
  const general = bodiesOfSection(EntrySection.General)[0];
  const result = declarationsSchema.safeParse({
    ...(typeof general === 'object' ? general : {}),
    classes: bodiesOfSection(EntrySection.Class),
    accounts: bodiesOfSection(EntrySection.Account),
    endpointKinds: bodiesOfSection(EntrySection.EndpointKind),
  });
  if (result.success) {
    return result.data;
  }
  throw invalidConfiguration(
    result.error.issues.map((issue) => ({
      field: issue.path.map(String).join('.'),
      reason: issue.message,
    })),
  );
}

function parseEntries(text: string, index: number): ConfigurationEntry[] {
  try {
    return entriesSchema.parse(JSON.parse(text));
  } catch (error) {
    const field = `bucket ${index}`;
    throw invalidConfiguration(
      [{ field, reason: 'expected a list of configuration entries' }],
      error,
    );
  }
}

function invalidConfiguration(
  issues: readonly { field: string; reason: string }[],
  cause?: unknown,
): RelayError {
  const problems = issues.map((issue) => ({ file: '(configuration)', line: 1, ...issue }));
  return new RelayError({ kind: FailureKind.InvalidFile, problems }, cause);
}
