import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { usageCountsKey, usageCountsPrefix } from './UsageKeys.js';
import { isAccountCounts } from './UsageTally.js';

import type { AccountCounts } from './UsageTally.js';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { StoreEra } from 'hickoryrelay-platform/StoreEra';

/** The store allows 32 entries in a transaction, and each write takes a condition and a put. */
const MAXIMUM_ENTRIES_PER_WRITE = 16;

const RETAINED_WINDOWS = 4;

/** Cumulative counts of one incarnation of an instance in one window. */
export interface UsageCounts {
  readonly window: number;
  readonly incarnation: string;
  readonly counts: AccountCounts;
  /** True if the counts will not grow any more. */
  readonly isFinal: boolean;
}

/** Encodes the stored value. */
export function encodeUsageCounts({
  counts,
  isFinal,
}: Pick<UsageCounts, 'counts' | 'isFinal'>): string {
  return JSON.stringify({ counts, isFinal });
}

/** Decodes the stored value. Returns undefined if it holds no counts. */
export function decodeUsageCounts(
  value: string,
): Pick<UsageCounts, 'counts' | 'isFinal'> | undefined {
  try {
    const { counts, isFinal } = JSON.parse(value) as Partial<Record<keyof UsageCounts, unknown>>;
    return isAccountCounts(counts) ? { counts, isFinal: isFinal === true } : undefined;
  } catch {
    return undefined;
  }
}

function totalOf(counts: AccountCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

type CountsOfUsage = Pick<UsageCounts, 'counts' | 'isFinal'>;

/** True if the counts are higher than the previous ones of the instance, or equal and newly final. */
export function isNewerUsage(usage: CountsOfUsage, previous: CountsOfUsage): boolean {
  const growth = totalOf(usage.counts) - totalOf(previous.counts);
  return growth > 0 || (growth === 0 && usage.isFinal && !previous.isFinal);
}

function isNewerThanStored(usage: UsageCounts, stored: string | undefined): boolean {
  const storedUsage = stored === undefined ? undefined : decodeUsageCounts(stored);
  return storedUsage === undefined || isNewerUsage(usage, storedUsage);
}

const keyOf = ({ window, incarnation }: UsageCounts) => usageCountsKey(window, incarnation);

function* chunksOf<Entry>(entries: readonly Entry[], size: number): Generator<Entry[], void, void> {
  for (let start = 0; start < entries.length; start += size) {
    yield entries.slice(start, start + size);
  }
}

/**
 * Writes usage counts to the store and never replaces counts by earlier ones. Counts only grow, and
 * each write is conditional on the last known revision, so a write that times out and takes effect
 * later than its retry changes nothing.
 */
export class UsageCountsWriter {
  private readonly store: KeyValueStore;

  /** Last known revision of each key, by window. */
  private readonly revisions = new Map<number, Map<string, StoreRevision>>();

  constructor(store: KeyValueStore) {
    this.store = store;
  }

  get era(): StoreEra {
    return this.store.era;
  }

  /** Throws unless these counts or later ones are certainly stored. */
  async write(entries: readonly UsageCounts[]): Promise<void> {
    for (const chunk of chunksOf(entries, MAXIMUM_ENTRIES_PER_WRITE)) {
      await this.writeChunk(chunk);
    }
    this.evictOldWindows();
  }

  private async writeChunk(entries: readonly UsageCounts[]): Promise<void> {
    if (await this.commit(entries)) {
      return;
    }
    const newer = await this.readRevisions(entries);
    if (newer.length > 0 && !(await this.commit(newer))) {
      throw new RelayError({
        kind: FailureKind.PlatformUnavailable,
        service: 'key-value service',
        reason: 'usage counts were changed by another writer',
        mayHaveTakenEffect: false,
      });
    }
  }

  private async commit(entries: readonly UsageCounts[]): Promise<boolean> {
    const { succeeded, revision } = await this.store.commit({
      compare: entries.map((usage) => ({
        key: keyOf(usage),
        target: 'mod-revision',
        operand: this.revisionOf(usage),
      })),
      success: entries.map((usage) => ({
        type: 'put',
        key: keyOf(usage),
        value: encodeUsageCounts(usage),
      })),
      failure: [],
    });
    if (succeeded) {
      entries.forEach((usage) => this.revisionsOf(usage.window).set(keyOf(usage), revision));
    }
    return succeeded;
  }

  /** Reads the current revisions. Returns the entries that are newer than the stored ones. */
  private async readRevisions(entries: readonly UsageCounts[]): Promise<UsageCounts[]> {
    const stored = new Map<string, string>();
    for (const window of new Set(entries.map((usage) => usage.window))) {
      const { values } = await this.store.range(usageCountsPrefix(window), { prefix: true });
      const revisions = this.revisionsOf(window);
      revisions.clear();
      for (const { key, value, modRevision } of values) {
        revisions.set(key, modRevision);
        stored.set(key, value);
      }
    }
    return entries.filter((usage) => isNewerThanStored(usage, stored.get(keyOf(usage))));
  }

  /** Revisions of an earlier era are not used, since the store has assigned them again. */
  private revisionOf(usage: UsageCounts): StoreRevision {
    const revision = this.revisionsOf(usage.window).get(keyOf(usage));
    const isCurrent = revision !== undefined && revision.era === (this.era.current ?? revision.era);
    return isCurrent ? revision : StoreRevision.None;
  }

  private revisionsOf(window: number): Map<string, StoreRevision> {
    let revisions = this.revisions.get(window);
    if (revisions === undefined) {
      revisions = new Map();
      this.revisions.set(window, revisions);
    }
    return revisions;
  }

  private evictOldWindows(): void {
    const newest = Math.max(...this.revisions.keys());
    for (const window of this.revisions.keys()) {
      if (window <= newest - RETAINED_WINDOWS) {
        this.revisions.delete(window);
      }
    }
  }
}
