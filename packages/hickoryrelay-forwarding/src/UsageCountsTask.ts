import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { encodeUsageCounts } from './UsageCountsWriter.js';

import type { UsageCountsRelay } from './UsageCountsRelay.js';
import type { UsageCounts } from './UsageCountsWriter.js';
import type { UsageTally } from './UsageTally.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { StoreEra } from 'hickoryrelay-platform/StoreEra';

/**
 * Fraction of a window's requests that are lost at most when an instance is killed: those counted
 * since its last write. It stays below the permitted error of a window.
 */
const MAXIMUM_LOSS_FRACTION = 0.036;

const MINIMUM_PERIOD_MILLISECONDS = 1000;

/** With a relay, all instances of a zone write at the same times, so that it can batch them. */
const SHARED_WRITES_PER_WINDOW = 4;

/** Delay of the final write after the end of a window. */
const FINAL_WRITE_DELAY_MILLISECONDS = 150;

/** Spreads the final writes of instances that write on their own. */
const FINAL_WRITE_JITTER_MILLISECONDS = 800;

/**
 * Spreads the writes of all instances after the store has been restored. The counts are stored again
 * before a window is sealed, which takes 1.2 s or more after its end.
 */
const RESTORE_WRITE_JITTER_MILLISECONDS = 800;

/** Collaborators and settings of the task. */
export interface UsageCountsTaskParts {
  /** Unique for each start of an instance. */
  readonly incarnation: string;
  readonly relay: UsageCountsRelay;
  /** Era of the store; counts that were written in an earlier one are written again. */
  readonly era: StoreEra;
  readonly tally: UsageTally;
  readonly windowMilliseconds: number;
  /** Time after the end of a window at which its usage report is due. */
  readonly dueMilliseconds: number;
  /** Number of instances among which requests are distributed. */
  readonly countInstances: () => number;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
}

/** Periodically writes the usage counts of this instance to the store. */
export class UsageCountsTask extends Task {
  override readonly name = 'usage parts';

  private readonly parts: UsageCountsTaskParts;

  /** Encoded counts of the last write and the era of the store before it, by window. */
  private readonly lastWritten = new Map<number, { encoded: string; era: number | undefined }>();

  private hasFailed = false;

  constructor(parts: UsageCountsTaskParts) {
    super();
    this.parts = parts;
  }

  /**
   * Writes the counts of this instance that have changed or were written in an earlier era, and those
   * retained for other instances. In the last flush before the instance stops, the counts of the
   * current window are final as well.
   */
  async flush(wallMilliseconds: number, isLast = false): Promise<void> {
    const { oldest, current } = this.openWindowsAt(wallMilliseconds);
    this.hasFailed = false;
    await this.parts.relay
      .writeRetained(oldest)
      .catch((error: unknown) => this.recordFailure(oldest, error));
    for (let window = oldest; window <= current && !this.hasFailed; window += 1) {
      await this.writeWindow(window, isLast || window < current);
    }
    for (const window of this.lastWritten.keys()) {
      if (window < oldest) {
        this.lastWritten.delete(window);
      }
    }
  }

  /**
   * Writes the final counts before the instance stops; hands off those that cannot be written.
   * Leaves copies of the others, since the store may be restored from an older copy later.
   */
  async finish(wallMilliseconds: number): Promise<void> {
    await this.flush(wallMilliseconds, true);
    const handedOff = this.parts.relay.handOffAll();
    const { oldest, current } = this.openWindowsAt(wallMilliseconds);
    for (let window = oldest; window <= current; window += 1) {
      const usage = this.usageOf(window, true);
      if (this.isUnwritten(usage)) {
        const isTaken = await this.parts.relay.handOff(usage);
        this.parts.log.info('Tried to hand off the usage counts of a window.', { window, isTaken });
      } else if (Object.keys(usage.counts).length > 0) {
        this.parts.relay.sendCopies(usage, this.lastWritten.get(window)?.era);
      }
    }
    await handedOff;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    let restore = new AbortController();
    const unsubscribe = this.parts.era.onRestore(() => restore.abort());
    try {
      for (;;) {
        yield;
        const wakeSignal = AbortSignal.any([signal, restore.signal]);
        const delay = this.nextWriteDelay(clock.wallMilliseconds());
        await clock.sleep(delay, wakeSignal).catch(() => {});
        if (restore.signal.aborted) {
          restore = new AbortController();
          const jitter = this.parts.random.fraction() * RESTORE_WRITE_JITTER_MILLISECONDS;
          await clock.sleep(jitter, signal);
        }
        yield;
        await this.flush(clock.wallMilliseconds());
      }
    } finally {
      unsubscribe();
    }
  }

  /**
   * Time until the next write, which is due after a fraction of the window or soon after its end.
   */
  private nextWriteDelay(wallMilliseconds: number): number {
    const { windowMilliseconds, countInstances, random, relay } = this.parts;
    if (this.hasFailed) {
      return MINIMUM_PERIOD_MILLISECONDS;
    }
    if (relay.isShared) {
      const sharedPeriod = windowMilliseconds / SHARED_WRITES_PER_WINDOW;
      return sharedPeriod - (wallMilliseconds % sharedPeriod) + FINAL_WRITE_DELAY_MILLISECONDS;
    }
    const period = windowMilliseconds * MAXIMUM_LOSS_FRACTION * Math.max(1, countInstances());
    const untilEnd = windowMilliseconds - (wallMilliseconds % windowMilliseconds);
    const jitter = random.fraction() * FINAL_WRITE_JITTER_MILLISECONDS;
    return Math.min(
      Math.max(MINIMUM_PERIOD_MILLISECONDS, period),
      untilEnd + FINAL_WRITE_DELAY_MILLISECONDS + jitter,
    );
  }

  private openWindowsAt(wallMilliseconds: number): { oldest: number; current: number } {
    const { tally, windowMilliseconds, dueMilliseconds } = this.parts;
    const current = tally.windowAt(wallMilliseconds);
    return { oldest: current - Math.ceil(dueMilliseconds / windowMilliseconds), current };
  }

  private usageOf(window: number, isFinal: boolean): UsageCounts {
    const { tally, incarnation } = this.parts;
    return { window, incarnation, counts: tally.countsOf(window), isFinal };
  }

  private isUnwritten(usage: UsageCounts): boolean {
    const last = this.lastWritten.get(usage.window);
    const isStored =
      last?.encoded === encodeUsageCounts(usage) && last.era === this.parts.era.current;
    return Object.keys(usage.counts).length > 0 && !isStored;
  }

  private async writeWindow(window: number, isFinal: boolean): Promise<void> {
    const usage = this.usageOf(window, isFinal);
    if (!this.isUnwritten(usage)) {
      return;
    }
    const era = this.parts.era.current;
    try {
      await this.parts.relay.store(usage);
      this.lastWritten.set(window, { encoded: encodeUsageCounts(usage), era });
    } catch (error) {
      this.recordFailure(window, error);
    }
  }

  private recordFailure(window: number, error: unknown): void {
    this.hasFailed = true;
    this.parts.log.warn('Could not write the usage counts of a window; will retry.', {
      window,
      reason: describeFailure(failureOf(error)),
    });
  }
}
