import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { partKey } from './UsageKeys.js';

import type { UsageTally } from './UsageTally.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

/**
 * Time between two writes of counts. An instance that is killed loses the counts since its last
 * write, which stays below the permitted error of a window.
 */
const WRITE_PERIOD_MILLISECONDS = 1250;

/** Windows before the current one whose counts are still written. */
const LATE_WINDOWS = 1;

/** What the task works with. */
export interface UsagePartTaskParts {
  /** Unique for each start of an instance. */
  readonly incarnation: string;
  readonly store: KeyValueStore;
  readonly tally: UsageTally;
  readonly log: PartLogger;
}

/** Hands the counts of this instance over to the store, again and again while they grow. */
export class UsagePartTask extends Task {
  override readonly name = 'usage parts';

  private readonly parts: UsagePartTaskParts;

  /** What was last written for each window. */
  private readonly written = new Map<number, string>();

  constructor(parts: UsagePartTaskParts) {
    super();
    this.parts = parts;
  }

  /** Writes what was not written yet. */
  async flush(wallMilliseconds: number): Promise<void> {
    const current = this.parts.tally.windowAt(wallMilliseconds);
    for (let window = current - LATE_WINDOWS; window <= current; window += 1) {
      await this.writeWindow(window);
    }
    for (const window of this.written.keys()) {
      if (window < current - LATE_WINDOWS) {
        this.written.delete(window);
      }
    }
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      yield;
      await clock.sleep(WRITE_PERIOD_MILLISECONDS, signal);
      await this.flush(clock.wallMilliseconds());
    }
  }

  private async writeWindow(window: number): Promise<void> {
    const { store, tally, incarnation, log } = this.parts;
    const value = JSON.stringify(tally.countsOf(window));
    if (value === '{}' || value === this.written.get(window)) {
      return;
    }
    try {
      const key = partKey(window, incarnation);
      await store.commit({ compare: [], success: [{ type: 'put', key, value }], failure: [] });
      this.written.set(window, value);
    } catch (error) {
      log.warn('The counts of a window were not written; they are tried again.', {
        window,
        reason: describeFailure(failureOf(error)),
      });
    }
  }
}
