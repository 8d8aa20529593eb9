import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { FencedCallResult } from './FencedPlatform.js';
import { SETTLE_MILLISECONDS } from './SealableWindows.js';
import { decodeUsageCounts } from './UsageCountsWriter.js';
import { sealedWindowKey, usageCountsPrefix } from './UsageKeys.js';

import type { FencedPlatform } from './FencedPlatform.js';
import type { SealableWindows } from './SealableWindows.js';
import type { UsageSeals } from './UsageSeals.js';
import type { AccountCounts } from './UsageTally.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValue, KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

const PERIOD_MILLISECONDS = 500;

/**
 * Fraction of the time until a report is due after which a window is sealed without the missing
 * counts. The rest is left for the calls that seal and report, each of which may have to be
 * repeated.
 */
const SEAL_DEADLINE_FRACTION = 0.75;

/**
 * Fraction of that time after which a window is sealed although fewer instances have written counts
 * than are registered, as those without requests write none.
 */
const IDLE_INSTANCES_FRACTION = 0.5;

/** The store allows 32 entries in a transaction, one of which deletes the seal. */
const MAXIMUM_REMOVED_ENTRIES = 31;

/**
 * Time after a restore of the store in which instances write lost counts again: they see the restore
 * within 1.5 s and write within 0.8 s.
 */
const RECOVERY_MILLISECONDS = 2500;

/** Periods in which a lost seal is requested from the other instances. */
const MAXIMUM_REQUESTS = 8;

/**
 * Entries are deleted so long after their window is overdue that no holder considers the window
 * again, since clocks may differ by 5 s and jump by as much.
 */
const REMOVAL_DELAY_MILLISECONDS = 10_000;

/** Collaborators and settings of the task. */
export interface UsageReportTaskParts {
  readonly store: KeyValueStore;
  readonly platform: FencedPlatform;
  readonly seals: UsageSeals;
  readonly sealableWindows: SealableWindows;
  readonly windowMilliseconds: number;
  readonly dueMilliseconds: number;
  /** Number of registered instances. */
  readonly countInstances: () => number;
  readonly log: ComponentLogger;
}

interface SealedWindow {
  readonly counts: AccountCounts;
  /** Keys of the entries whose usage counts are included. */
  readonly parts: readonly string[];
}

function sumCounts(entries: readonly AccountCounts[]): AccountCounts {
  const sums = new Map<string, number>();
  for (const entry of entries) {
    for (const [account, count] of Object.entries(entry)) {
      sums.set(account, (sums.get(account) ?? 0) + count);
    }
  }
  return Object.fromEntries(sums);
}

/**
 * Reports the usage of each window to the platform under a term of the authority. The counts of a
 * window are sealed in the store before the first report, so that repeated reports, also by later
 * holders, are identical. A window whose seal may have been lost with the state of the store is
 * reported only if an instance still has the sealed counts.
 */
export class UsageReportTask extends Task {
  override readonly name = 'usage reports';

  private readonly term: AuthorityTerm;

  private readonly parts: UsageReportTaskParts;

  /** Windows whose report the platform has accepted during this term. */
  private readonly acceptedWindows = new Set<number>();

  /** Number of entries in the previous sealed window; undefined until it has been read. */
  private expectedEntries: number | undefined;

  /** Number of requests for the lost seal of each window. */
  private readonly requests = new Map<number, number>();

  constructor(term: AuthorityTerm, parts: UsageReportTaskParts) {
    super();
    this.term = term;
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    this.parts.sealableWindows.beginTerm(this.term);
    for (;;) {
      yield;
      const wallMilliseconds = clock.wallMilliseconds();
      for (const window of this.dueWindows(wallMilliseconds)) {
        yield;
        await this.reportWindow(window, wallMilliseconds);
      }
      await clock.sleep(PERIOD_MILLISECONDS, signal);
    }
  }

  /** Windows that have settled and whose report is not overdue. */
  private *dueWindows(wallMilliseconds: number): Generator<number, void, void> {
    const { windowMilliseconds, dueMilliseconds } = this.parts;
    const newest = Math.floor((wallMilliseconds - SETTLE_MILLISECONDS) / windowMilliseconds) - 1;
    const oldest = Math.floor((wallMilliseconds - dueMilliseconds) / windowMilliseconds) - 1;
    for (let window = oldest; window <= newest; window += 1) {
      if (!this.acceptedWindows.has(window)) {
        yield window;
      }
    }
  }

  private async reportWindow(window: number, wallMilliseconds: number): Promise<void> {
    const { platform, log } = this.parts;
    try {
      const sealed = await this.readOrSealWindow(window, wallMilliseconds);
      if (sealed === undefined) {
        return;
      }
      const result = await platform.reportUsage(this.term, window, sealed.counts);
      log.info('Reported a usage window.', {
        window,
        result,
        fencingNumber: this.term.fencingNumber,
        parts: sealed.parts.length,
        requests: Object.values(sealed.counts).reduce((sum, count) => sum + count, 0),
      });
      if (result === FencedCallResult.Accepted) {
        this.acceptedWindows.add(window);
        await this.removeExpired(window);
      } else if (result === FencedCallResult.Refused) {
        this.term.end();
      }
    } catch (error) {
      log.warn('Could not report a usage window; will retry.', {
        window,
        reason: describeFailure(failureOf(error)),
      });
    }
  }

  /**
   * Reads the sealed counts of a window, or seals them. Undefined while counts or a lost seal are
   * awaited.
   */
  private async readOrSealWindow(
    window: number,
    wallMilliseconds: number,
  ): Promise<SealedWindow | undefined> {
    const { store, seals } = this.parts;
    const existing = await store.get(sealedWindowKey(window));
    if (existing !== undefined) {
      const sealed = JSON.parse(existing.value) as SealedWindow;
      return seals.record(window, sealed.counts) ? sealed : undefined;
    }
    const firstWindow = await this.parts.sealableWindows.firstWindow();
    const era = store.era.current;
    const known = seals.get(window);
    if (firstWindow === undefined) {
      return undefined;
    }
    if (known === undefined && window < firstWindow) {
      this.requestSeal(window);
      return undefined;
    }
    const { values } = await store.range(usageCountsPrefix(window), { prefix: true });
    const sealed =
      known === undefined
        ? await this.sumEntries(window, wallMilliseconds, values)
        : { counts: known, parts: values.map(({ key }) => key) };
    const isSealed =
      sealed !== undefined && store.era.current === era && (await this.writeSeal(window, sealed));
    // A seal that was written in a later era than that of the checks is read in the next period.
    if (!isSealed || store.era.current !== era || !seals.record(window, sealed.counts)) {
      return undefined;
    }
    seals.publish(window);
    return sealed;
  }

  /** Requests a seal that the store may have lost from the other instances. */
  private requestSeal(window: number): void {
    const requests = (this.requests.get(window) ?? 0) + 1;
    this.requests.set(window, requests);
    if (requests <= MAXIMUM_REQUESTS) {
      this.parts.seals.request(window);
    } else if (requests === MAXIMUM_REQUESTS + 1) {
      this.parts.log.warn('Not reporting a usage window; a restore may have lost its seal.', {
        window,
      });
    }
  }

  /** Adds up the counts of a window. Undefined while counts are awaited. */
  private async sumEntries(
    window: number,
    wallMilliseconds: number,
    values: readonly KeyValue[],
  ): Promise<SealedWindow | undefined> {
    const { windowMilliseconds, dueMilliseconds, sealableWindows } = this.parts;
    const age = wallMilliseconds - (window + 1) * windowMilliseconds;
    this.expectedEntries ??= await this.countSealedEntries(window - 1);
    const entries = values.flatMap(({ value }) => decodeUsageCounts(value) ?? []);
    const expected =
      age < dueMilliseconds * IDLE_INSTANCES_FRACTION
        ? Math.max(this.expectedEntries, this.parts.countInstances())
        : this.expectedEntries;
    const isComplete =
      entries.length >= expected &&
      entries.every(({ isFinal }) => isFinal) &&
      sealableWindows.restoredForMilliseconds >= RECOVERY_MILLISECONDS;
    if (!isComplete && age < dueMilliseconds * SEAL_DEADLINE_FRACTION) {
      return undefined;
    }
    if (entries.length < values.length) {
      const skipped = values.length - entries.length;
      this.parts.log.warn('Sealing a usage window without invalid entries.', { window, skipped });
    }
    this.expectedEntries = entries.length;
    return {
      counts: sumCounts(entries.map(({ counts }) => counts)),
      parts: values.map(({ key }) => key),
    };
  }

  /** Returns false if the window has a seal already. */
  private async writeSeal(window: number, sealed: SealedWindow): Promise<boolean> {
    this.term.assertHeld();
    const { succeeded } = await this.parts.store.commit({
      compare: [
        { key: sealedWindowKey(window), target: 'create-revision', operand: StoreRevision.None },
      ],
      success: [{ type: 'put', key: sealedWindowKey(window), value: JSON.stringify(sealed) }],
      failure: [],
    });
    return succeeded;
  }

  /** Number of entries in a sealed window; 0 if the window is not sealed. */
  private async countSealedEntries(window: number): Promise<number> {
    const seal = await this.parts.store.get(sealedWindowKey(window));
    return seal === undefined ? 0 : (JSON.parse(seal.value) as SealedWindow).parts.length;
  }

  /** Deletes the seal and the usage counts of a window whose report is overdue. */
  private async removeExpired(acceptedWindow: number): Promise<void> {
    const { store, windowMilliseconds, dueMilliseconds } = this.parts;
    const delay = dueMilliseconds + REMOVAL_DELAY_MILLISECONDS;
    const expiredWindow = acceptedWindow - Math.ceil(delay / windowMilliseconds) - 1;
    const seal = await store.get(sealedWindowKey(expiredWindow));
    if (seal === undefined) {
      return;
    }
    const { parts } = JSON.parse(seal.value) as SealedWindow;
    const keys = [...parts.slice(0, MAXIMUM_REMOVED_ENTRIES), sealedWindowKey(expiredWindow)];
    await store.commit({
      compare: [],
      success: keys.map((key) => ({ type: 'delete', key }) as const),
      failure: [],
    });
  }
}
