import { splitIntoEntries } from './ConfigurationBucket.js';

import type { AccessKeyDeclaration } from './AccessKey.js';
import type { DeclarationsDocument } from './Declarations.js';

/** How a named entry differs between two documents. */
export const ChangeKind = { Added: 'added', Changed: 'changed', Removed: 'removed' } as const;

export type ChangeKind = (typeof ChangeKind)[keyof typeof ChangeKind];

/** An entry of a document, which its section and name identify. */
export interface NamedEntry {
  readonly section: string;
  readonly name: string;
  readonly body: unknown;
}

/** An entry that differs between two documents, with its differing fields as dotted paths. */
export interface EntryChange {
  readonly kind: ChangeKind;
  readonly section: string;
  readonly name: string;
  readonly fields: readonly FieldChange[];
}

/** The old and new values of a field, serialized as JSON; undefined where the field is absent. */
export interface FieldChange {
  readonly field: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function* diffFields(path: string, before: unknown, after: unknown): Generator<FieldChange> {
  const beforeText = JSON.stringify(before);
  const afterText = JSON.stringify(after);
  if (beforeText === afterText) {
    return;
  }
  if (!isObject(before) || !isObject(after) || Array.isArray(before) !== Array.isArray(after)) {
    yield { field: path, before: beforeText, after: afterText };
    return;
  }
  for (const name of new Set([...Object.keys(before), ...Object.keys(after)])) {
    yield* diffFields(path === '' ? name : `${path}.${name}`, before[name], after[name]);
  }
}

/** Lists the entries that differ. The fields of an added or removed entry are not listed. */
export function diffEntries(
  before: readonly NamedEntry[],
  after: readonly NamedEntry[],
): EntryChange[] {
  const entryKey = (entry: NamedEntry) => `${entry.section}/${entry.name}`;
  const unmatched = new Map(before.map((entry) => [entryKey(entry), entry]));
  const changes: EntryChange[] = [];
  for (const entry of after) {
    const previous = unmatched.get(entryKey(entry));
    unmatched.delete(entryKey(entry));
    const fields = previous === undefined ? [] : [...diffFields('', previous.body, entry.body)];
    const { section, name } = entry;
    if (previous === undefined) {
      changes.push({ kind: ChangeKind.Added, section, name, fields });
    } else if (fields.length > 0) {
      changes.push({ kind: ChangeKind.Changed, section, name, fields });
    }
  }
  for (const { section, name } of unmatched.values()) {
    changes.push({ kind: ChangeKind.Removed, section, name, fields: [] });
  }
  return changes;
}

/**
 * Lists the entries that differ between two documents. Without a previous document, all entries
 * count as added.
 */
export function diffDeclarations(
  before: DeclarationsDocument | undefined,
  after: DeclarationsDocument,
): EntryChange[] {
  return diffEntries(before === undefined ? [] : splitIntoEntries(before), splitIntoEntries(after));
}

function mergeAccountKeys(
  declared: readonly AccessKeyDeclaration[] | undefined,
  stored: readonly AccessKeyDeclaration[],
): AccessKeyDeclaration[] {
  const withdrawn = new Set(stored.filter((key) => key.withdrawn).map((key) => key.identifier));
  const keys = declared ?? stored;
  return keys.map((key) => (withdrawn.has(key.identifier) ? { ...key, withdrawn: true } : key));
}

/**
 * Adds the stored keys to accounts whose declaration omits `keys`. Withdrawal is irreversible: a key
 * that is stored as withdrawn stays withdrawn, even if an older file declares it as valid.
 */
export function mergeStoredKeys(
  next: DeclarationsDocument,
  stored: DeclarationsDocument | undefined,
): DeclarationsDocument {
  const storedKeys = new Map(
    (stored?.accounts ?? []).map((account) => [account.name, account.keys ?? []]),
  );
  const accounts = next.accounts.map((account) => ({
    ...account,
    keys: mergeAccountKeys(account.keys, storedKeys.get(account.name) ?? []),
  }));
  return { ...next, accounts };
}
