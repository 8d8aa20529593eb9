import { entriesOf } from './ConfigurationBucket.js';

import type { AccessKeyDeclaration } from './AccessKey.js';
import type { EntrySection } from './ConfigurationBucket.js';
import type { DeclarationsDocument } from './Declarations.js';

/** What became of one named entry. */
export const ChangeKind = { Added: 'added', Changed: 'changed', Removed: 'removed' } as const;

export type ChangeKind = (typeof ChangeKind)[keyof typeof ChangeKind];

/** One changed entry with the fields that differ, as dotted paths. */
export interface EntryChange {
  readonly kind: ChangeKind;
  readonly section: EntrySection;
  readonly name: string;
  readonly fields: readonly FieldChange[];
}

/** A field before and after, as JSON texts; undefined where it is absent. */
export interface FieldChange {
  readonly field: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function* fieldChanges(path: string, before: unknown, after: unknown): Generator<FieldChange> {
  const left = JSON.stringify(before);
  const right = JSON.stringify(after);
  if (left === right) {
    return;
  }
  if (!isRecord(before) || !isRecord(after) || Array.isArray(before) !== Array.isArray(after)) {
    yield { field: path, before: left, after: right };
    return;
  }
  for (const name of new Set([...Object.keys(before), ...Object.keys(after)])) {
    yield* fieldChanges(path === '' ? name : `${path}.${name}`, before[name], after[name]);
  }
}

/** Lists the entries that differ between two documents; all of them if there is none before. */
export function changesBetween(
  before: DeclarationsDocument | undefined,
  after: DeclarationsDocument,
): EntryChange[] {
  const identify = (entry: { section: string; name: string }) => `${entry.section}/${entry.name}`;
  const old = new Map(
    (before === undefined ? [] : entriesOf(before)).map((entry) => [identify(entry), entry]),
  );
  const changes: EntryChange[] = [];
  for (const entry of entriesOf(after)) {
    const previous = old.get(identify(entry));
    old.delete(identify(entry));
    const fields = previous === undefined ? [] : [...fieldChanges('', previous.body, entry.body)];
    const { section, name } = entry;
    if (previous === undefined) {
      changes.push({ kind: ChangeKind.Added, section, name, fields });
    } else if (fields.length > 0) {
      changes.push({ kind: ChangeKind.Changed, section, name, fields });
    }
  }
  for (const { section, name } of old.values()) {
    changes.push({ kind: ChangeKind.Removed, section, name, fields: [] });
  }
  return changes;
}

function carryAccountKeys(
  declared: readonly AccessKeyDeclaration[] | undefined,
  stored: readonly AccessKeyDeclaration[],
): AccessKeyDeclaration[] {
  const withdrawn = new Set(stored.filter((key) => key.withdrawn).map((key) => key.identifier));
  const keys = declared ?? stored;
  return keys.map((key) => (withdrawn.has(key.identifier) ? { ...key, withdrawn: true } : key));
}

/**
 * Fills in stored keys of accounts whose declaration leaves `keys` out. A withdrawal is final: a key
 * that is stored as withdrawn stays withdrawn, also if an older file declares it as valid.
 */
export function carryKeys(
  next: DeclarationsDocument,
  stored: DeclarationsDocument | undefined,
): DeclarationsDocument {
  const storedKeys = new Map(
    (stored?.accounts ?? []).map((account) => [account.name, account.keys ?? []]),
  );
  const accounts = next.accounts.map((account) => ({
    ...account,
    keys: carryAccountKeys(account.keys, storedKeys.get(account.name) ?? []),
  }));
  return { ...next, accounts };
}
