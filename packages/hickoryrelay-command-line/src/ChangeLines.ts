import type { EntryChange } from 'hickoryrelay-contract/DeclarationsChange';

/** The symbol of each kind of change. */
export const CHANGE_SYMBOLS = { added: '+', changed: '~', removed: '-' } as const;

/** Describes changes, one line for each entry and each field. */
export function* changeLines(changes: readonly EntryChange[]): Generator<string, void, void> {
  for (const change of changes) {
    yield `${CHANGE_SYMBOLS[change.kind]} ${change.section} ${change.name}`;
    for (const { field, before, after } of change.fields) {
      yield `    ${field}: ${before ?? '(absent)'} -> ${after ?? '(absent)'}`;
    }
  }
  if (changes.length === 0) {
    yield 'No differences.';
  }
}
