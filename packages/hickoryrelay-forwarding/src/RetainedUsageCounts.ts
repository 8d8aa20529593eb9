import { isNewerUsage } from './UsageCountsWriter.js';

import type { UsageCounts } from './UsageCountsWriter.js';

/** Limit on the entries; at most a few megabytes with 1,100 client accounts. */
const MAXIMUM_ENTRIES = 400;

interface RetainedEntry {
  readonly usage: UsageCounts;
  /** Era of the store in which the counts were written; undefined if they have not been written. */
  readonly storedEra: number | undefined;
}

/**
 * Usage counts of other instances, retained until their window is overdue. Their instances may have
 * stopped by the time at which a restored store has lost them.
 */
export class RetainedUsageCounts {
  private readonly entries = new Map<string, RetainedEntry>();

  /**
   * Retains counts unless newer ones of the same instance are retained. Counts that are already
   * stored make room for others. Returns false if the counts are not retained.
   */
  add(usage: UsageCounts, storedEra?: number): boolean {
    const key = `${usage.window}/${usage.incarnation}`;
    const previous = this.entries.get(key);
    if (previous !== undefined && !isNewerUsage(usage, previous.usage)) {
      return true;
    }
    if (previous === undefined && !this.makeRoom()) {
      return false;
    }
    this.entries.set(key, { usage, storedEra });
    return true;
  }

  /** The counts that have not been written in an era. */
  unstoredIn(era: number): UsageCounts[] {
    return [...this.entries.values()]
      .filter(({ storedEra }) => storedEra !== era)
      .map(({ usage }) => usage);
  }

  /** The counts that have never been written. */
  get unstored(): UsageCounts[] {
    return [...this.entries.values()]
      .filter(({ storedEra }) => storedEra === undefined)
      .map(({ usage }) => usage);
  }

  /** Records that counts were written in an era, unless newer ones have replaced them since. */
  markStored(written: readonly UsageCounts[], era: number): void {
    const usages = new Set(written);
    for (const [key, { usage }] of this.entries) {
      if (usages.has(usage)) {
        this.entries.set(key, { usage, storedEra: era });
      }
    }
  }

  remove(usage: UsageCounts): void {
    this.entries.delete(`${usage.window}/${usage.incarnation}`);
  }

  /** Drops the counts of windows before the oldest. Returns those that were never written. */
  dropBefore(oldestWindow: number): UsageCounts[] {
    const dropped = [...this.entries.values()].filter(({ usage }) => usage.window < oldestWindow);
    dropped.forEach(({ usage }) => this.remove(usage));
    return dropped.filter(({ storedEra }) => storedEra === undefined).map(({ usage }) => usage);
  }

  /** Evicts an entry that is stored if there is no room. Returns false if there is none. */
  private makeRoom(): boolean {
    if (this.entries.size < MAXIMUM_ENTRIES) {
      return true;
    }
    for (const [key, { storedEra }] of this.entries) {
      if (storedEra !== undefined) {
        return this.entries.delete(key);
      }
    }
    return false;
  }
}
