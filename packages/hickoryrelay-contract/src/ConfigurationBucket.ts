import { createHash } from 'node:crypto';

import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { declarationsSchema } from './Declarations.js';

import type { DeclarationsDocument } from './Declarations.js';

/**
 * Number of buckets that declarations are split over. With 1,100 client accounts a change of one
 * account replaces about 10 KB, and a first apply fits into one transaction of 128 operations.
 */
export const BUCKET_COUNT = 64;

const DIGEST_HEX_DIGITS = 16;

/** The part of a declarations document that an entry belongs to. */
export const EntrySection = {
  General: 'general',
  Class: 'class',
  Account: 'account',
  EndpointKind: 'endpoint-kind',
} as const;

export type EntrySection = (typeof EntrySection)[keyof typeof EntrySection];

/** One named piece of the declarations. The body is the piece as written in the file. */
export interface ConfigurationEntry {
  readonly section: EntrySection;
  readonly name: string;
  readonly body: unknown;
}

/** The buckets of a configuration as JSON texts, `BUCKET_COUNT` of them, and their digests. */
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

/** Returns the digest by which a bucket is checked: 16 hexadecimal digits of SHA-256. */
export function digestBucket(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_HEX_DIGITS);
}

function bucketIndex(entry: ConfigurationEntry): number {
  const hash = createHash('sha256').update(`${entry.section}/${entry.name}`).digest();
  return hash.readUInt32BE(0) % BUCKET_COUNT;
}

/** Splits a document into its named entries. */
export function entriesOf(document: DeclarationsDocument): ConfigurationEntry[] {
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

/** Splits a document into buckets. Equal documents give equal buckets. */
export function bucketsOf(document: DeclarationsDocument): BucketSet {
  const buckets: ConfigurationEntry[][] = Array.from({ length: BUCKET_COUNT }, () => []);
  for (const entry of entriesOf(document)) {
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

/** Puts a document together from its buckets. Throws `invalid-file` if it is not valid as a whole. */
export function documentFrom(texts: readonly string[]): DeclarationsDocument {
  const entries = texts.flatMap(entriesFrom);
  const bodies = (section: EntrySection) =>
    entries.filter((entry) => entry.section === section).map((entry) => entry.body);
  const general = bodies(EntrySection.General)[0];
  const result = declarationsSchema.safeParse({
    ...(typeof general === 'object' ? general : {}),
    classes: bodies(EntrySection.Class),
    accounts: bodies(EntrySection.Account),
    endpointKinds: bodies(EntrySection.EndpointKind),
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

function entriesFrom(text: string, index: number): ConfigurationEntry[] {
  try {
    return entriesSchema.parse(JSON.parse(text));
  } catch (error) {
    const field = `bucket ${index}`;
    throw invalidConfiguration([{ field, reason: 'not a list of entries' }], error);
  }
}

function invalidConfiguration(
  found: readonly { field: string; reason: string }[],
  cause?: unknown,
): RelayError {
  const problems = found.map((problem) => ({ file: '(configuration)', line: 1, ...problem }));
  return new RelayError({ kind: FailureKind.InvalidFile, problems }, cause);
}
