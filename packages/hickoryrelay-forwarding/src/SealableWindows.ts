import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { SEALABLE_WINDOWS_KEY } from './UsageKeys.js';

import type { UsageSeals } from './UsageSeals.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { KeyValue, KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

/** Time after the end of a window in which instances write their final counts. */
export const SETTLE_MILLISECONDS = 1200;

/** Era of a store that has never been restored, or that states no era. */
const FIRST_ERA = 1;

/** Permitted difference between the wall clocks of two instances. */
const CLOCK_TOLERANCE_MILLISECONDS = 5000;

/** Collaborators and settings. */
export interface SealableWindowsParts {
  readonly store: KeyValueStore;
  readonly seals: UsageSeals;
  readonly clock: Clock;
  readonly windowMilliseconds: number;
  readonly log: ComponentLogger;
}

/** The stored value: the first window that no holder can have sealed before an era. */
interface EraMark {
  readonly era: number;
  readonly firstWindow: number;
}

/** Returns undefined for a malformed value. */
function decodeMark(value: string): EraMark | undefined {
  try {
    const { era, firstWindow } = JSON.parse(value) as Partial<Record<keyof EraMark, unknown>>;
    return Number.isSafeInteger(era) && Number.isSafeInteger(firstWindow)
      ? { era: era as number, firstWindow: firstWindow as number }
      : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Decides which windows may be sealed with counts that are added up now. After the store has been
 * restored from an older copy, a window without a seal may have been sealed and reported before. The
 * first window for which this is impossible is written to the store once in each era, by the last
 * holder of the authority before it or the first one in it, and applies to all later holders.
 */
export class SealableWindows {
  private readonly parts: SealableWindowsParts;

  /** The mark of the latest era that this process knows of. */
  private mark: EraMark | undefined;

  /** The last term of this process. */
  private term: AuthorityTerm | undefined;

  /**
   * Wall-clock time since which this process knows of all seals: the start of its term or, if it is
   * later, the last restore during the term.
   */
  private knownSinceMilliseconds = 0;

  /** Wall-clock time before which other holders may have sealed windows in earlier eras. */
  private restoredMilliseconds: number | undefined;

  private restoredAtMonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(parts: SealableWindowsParts) {
    this.parts = parts;
  }

  /** Starts observing restores. Returns the function that stops it. */
  listen(): () => void {
    return this.parts.store.era.onRestore(() => {
      const isHolder = this.term?.isLastHolder === true;
      this.recordRestore(isHolder);
      if (isHolder) {
        void this.writeAsLastHolder();
      }
    });
  }

  /** Records that this process holds the authority from now on. */
  beginTerm(term: AuthorityTerm): void {
    this.term = term;
    this.knownSinceMilliseconds = this.parts.clock.wallMilliseconds();
  }

  /** Time since this process has last seen that the store was restored, in milliseconds. */
  get restoredForMilliseconds(): number {
    return this.parts.clock.monotonicMilliseconds() - this.restoredAtMonotonicMilliseconds;
  }

  /**
   * The first window that may be sealed without a seal from an earlier era. Writes the mark of the
   * era if it is missing. Undefined if another holder wrote it at the same time.
   */
  async firstWindow(): Promise<number | undefined> {
    const { store, log } = this.parts;
    if (this.mark !== undefined && this.mark.era === store.era.current) {
      return this.mark.firstWindow;
    }
    const item = await store.get(SEALABLE_WINDOWS_KEY);
    const stored = item === undefined ? undefined : decodeMark(item.value);
    const era = store.era.current ?? 0;
    if (stored?.era === era) {
      this.mark = stored;
      return stored.firstWindow;
    }
    const mark = { era, firstWindow: this.firstWindowAfterRestore(era, item, stored) };
    if (!(await this.write(mark, item))) {
      return undefined;
    }
    this.mark = mark;
    log.info('Recorded the first usage window that can be sealed.', { ...mark });
    return mark.firstWindow;
  }

  private async write(mark: EraMark, previous: KeyValue | undefined): Promise<boolean> {
    const { store } = this.parts;
    const { succeeded } = await store.commit({
      compare: [
        {
          key: SEALABLE_WINDOWS_KEY,
          target: 'mod-revision',
          operand: previous?.modRevision ?? StoreRevision.None,
        },
      ],
      success: [{ type: 'put', key: SEALABLE_WINDOWS_KEY, value: JSON.stringify(mark) }],
      failure: [],
    });
    return succeeded && store.era.current === mark.era;
  }

  /**
   * Writes the mark at the end of a term that a restore ends. This process knows all seals since the
   * start of the term, so that fewer windows are closed than by the next holder.
   */
  private async writeAsLastHolder(): Promise<void> {
    try {
      await this.firstWindow();
    } catch (error) {
      this.parts.log.warn('Could not record the first usage window that can be sealed.', {
        reason: describeFailure(failureOf(error)),
      });
    }
  }

  private recordRestore(isHolder: boolean): void {
    const now = this.parts.clock.wallMilliseconds();
    this.restoredMilliseconds = isHolder ? this.knownSinceMilliseconds : now;
    // A holder of the era before may act until its term ends, which is within the clock tolerance.
    this.knownSinceMilliseconds = now;
    this.restoredAtMonotonicMilliseconds = this.parts.clock.monotonicMilliseconds();
  }

  /**
   * No window has been sealed before in a store that was never restored and has no mark. Otherwise a
   * window may have been sealed if it had settled by the clock of any holder, or if it precedes a
   * window whose seal is known.
   */
  private firstWindowAfterRestore(
    era: number,
    item: KeyValue | undefined,
    stored: EraMark | undefined,
  ): number {
    if (item === undefined && era <= FIRST_ERA && this.restoredMilliseconds === undefined) {
      return 0;
    }
    const { seals, store, clock } = this.parts;
    const { observedForMilliseconds } = store.era;
    const since = this.restoredMilliseconds ?? clock.wallMilliseconds() - observedForMilliseconds;
    return Math.max(
      this.firstUnsettledAt(since + CLOCK_TOLERANCE_MILLISECONDS),
      (seals.newestWindow ?? -1) + 1,
      stored?.firstWindow ?? 0,
      this.mark?.firstWindow ?? 0,
    );
  }

  /** The first window that has not settled at a wall-clock time. */
  private firstUnsettledAt(wallMilliseconds: number): number {
    return Math.floor((wallMilliseconds - SETTLE_MILLISECONDS) / this.parts.windowMilliseconds);
  }
}
