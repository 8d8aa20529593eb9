import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { partKey, partsPrefix } from './UsageKeys.js';

import type { AccountCounts } from './UsageTally.js';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

/** Parts in one transaction: the store takes 32 entries, and each part is a condition and a write. */
const MOST_PARTS = 16;

/** Windows whose revisions are kept. */
const KEPT_WINDOWS = 4;

/** What one incarnation of an instance has counted in a window so far. */
export interface UsagePart {
  readonly window: number;
  readonly incarnation: string;
  readonly counts: AccountCounts;
  /** True once the window is over for the instance, so that the counts do not grow any more. */
  readonly isFinal: boolean;
}

/** The stored value of a part. */
export function encodePart({ counts, isFinal }: Pick<UsagePart, 'counts' | 'isFinal'>): string {
  return JSON.stringify({ counts, isFinal });
}

/** Decodes a stored value. */
export function decodePart(value: string): Pick<UsagePart, 'counts' | 'isFinal'> {
  return JSON.parse(value) as Pick<UsagePart, 'counts' | 'isFinal'>;
}

function totalOf(counts: AccountCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

/** True if a part says more than the stored value. */
function isNewer(part: UsagePart, stored: string | undefined): boolean {
  if (stored === undefined) {
    return true;
  }
  const known = decodePart(stored);
  const growth = totalOf(part.counts) - totalOf(known.counts);
  return growth > 0 || (growth === 0 && part.isFinal && !known.isFinal);
}

const keyOf = ({ window, incarnation }: UsagePart) => partKey(window, incarnation);

function* chunksOf<Entry>(entries: readonly Entry[], size: number): Generator<Entry[], void, void> {
  for (let start = 0; start < entries.length; start += size) {
    yield entries.slice(start, start + size);
  }
}

/**
 * Writes counts to the store and never replaces counts by earlier ones. Counts only grow, and each
 * write is conditional on the revision that was last seen, so that a write whose answer was lost and
 * that takes effect later changes nothing.
 */
export class UsagePartWriter {
  private readonly store: KeyValueStore;

  /** Last known revision of each key, by window. */
  private readonly revisions = new Map<number, Map<string, number>>();

  constructor(store: KeyValueStore) {
    this.store = store;
  }

  /** Throws if it is not certain that the counts, or later ones, are stored. */
  async write(parts: readonly UsagePart[]): Promise<void> {
    for (const chunk of chunksOf(parts, MOST_PARTS)) {
      await this.writeChunk(chunk);
    }
    this.forgetOldWindows();
  }

  private async writeChunk(parts: readonly UsagePart[]): Promise<void> {
    if (await this.commit(parts)) {
      return;
    }
    const newer = await this.readRevisions(parts);
    if (newer.length > 0 && !(await this.commit(newer))) {
      throw new RelayError({
        kind: FailureKind.PlatformUnavailable,
        service: 'key-value service',
        reason: 'another writer changed the counts',
        mayHaveTakenEffect: false,
      });
    }
  }

  private async commit(parts: readonly UsagePart[]): Promise<boolean> {
    const { succeeded, revision } = await this.store.commit({
      compare: parts.map((part) => ({
        key: keyOf(part),
        target: 'mod-revision',
        operand: this.revisionsOf(part.window).get(keyOf(part)) ?? 0,
      })),
      success: parts.map((part) => ({ type: 'put', key: keyOf(part), value: encodePart(part) })),
      failure: [],
    });
    if (succeeded) {
      parts.forEach((part) => this.revisionsOf(part.window).set(keyOf(part), revision));
    }
    return succeeded;
  }

  /** Learns the current revisions. Returns the parts that count more than is stored. */
  private async readRevisions(parts: readonly UsagePart[]): Promise<UsagePart[]> {
    const stored = new Map<string, string>();
    for (const window of new Set(parts.map((part) => part.window))) {
      const { values } = await this.store.range(partsPrefix(window), { prefix: true });
      const revisions = this.revisionsOf(window);
      revisions.clear();
      for (const { key, value, modRevision } of values) {
        revisions.set(key, modRevision);
        stored.set(key, value);
      }
    }
    return parts.filter((part) => isNewer(part, stored.get(keyOf(part))));
  }

  private revisionsOf(window: number): Map<string, number> {
    let revisions = this.revisions.get(window);
    if (revisions === undefined) {
      revisions = new Map();
      this.revisions.set(window, revisions);
    }
    return revisions;
  }

  private forgetOldWindows(): void {
    const newest = Math.max(...this.revisions.keys());
    for (const window of this.revisions.keys()) {
      if (window <= newest - KEPT_WINDOWS) {
        this.revisions.delete(window);
      }
    }
  }
}
