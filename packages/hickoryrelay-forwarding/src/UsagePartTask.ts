import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { encodePart } from './UsagePartWriter.js';

import type { UsagePartRelay } from './UsagePartRelay.js';
import type { UsagePart } from './UsagePartWriter.js';
import type { UsageTally } from './UsageTally.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';

/**
 * Part of a window's requests that may be lost when an instance is killed: what it counted since its
 * last write. It stays below the permitted error of a window.
 */
const LOST_PART = 0.036;

/** Shortest time between two writes, in milliseconds. */
const SHORTEST_PERIOD_MILLISECONDS = 1000;

/** Writes in a window where the instances of a zone write in common, all at the same times. */
const SHARED_WRITES = 4;

/** Time after the end of a window in which its last counts are written, and the spread of it. */
const AFTER_WINDOW_MILLISECONDS = 150;
const AFTER_WINDOW_SPREAD_MILLISECONDS = 800;

/** What the task works with. */
export interface UsagePartTaskParts {
  /** Unique for each start of an instance. */
  readonly incarnation: string;
  readonly relay: UsagePartRelay;
  readonly tally: UsageTally;
  readonly windowMilliseconds: number;
  /** When the usage of a window is due, after its end. */
  readonly dueMilliseconds: number;
  /** Number of instances that share the requests. */
  readonly countInstances: () => number;
  readonly random: RandomSource;
  readonly log: PartLogger;
}

/** Hands the counts of this instance over to the store, again and again while they grow. */
export class UsagePartTask extends Task {
  override readonly name = 'usage parts';

  private readonly parts: UsagePartTaskParts;

  /** What was last written for each window. */
  private readonly written = new Map<number, string>();

  /** True if the last write failed. */
  private hasFailed = false;

  constructor(parts: UsagePartTaskParts) {
    super();
    this.parts = parts;
  }

  /**
   * Writes what was not written yet, of this instance and of those that handed their counts over. The
   * last counts of an instance that stops are final for the current window as well.
   */
  async flush(wallMilliseconds: number, isLast = false): Promise<void> {
    const { oldest, current } = this.windowsAt(wallMilliseconds);
    this.hasFailed = false;
    await this.parts.relay.writeKept(oldest).catch((error: unknown) => this.fail(oldest, error));
    for (let window = oldest; window <= current && !this.hasFailed; window += 1) {
      await this.writeWindow(window, isLast || window < current);
    }
    for (const window of this.written.keys()) {
      if (window < oldest) {
        this.written.delete(window);
      }
    }
  }

  /** Writes the last counts of an instance that stops, or hands them over where that fails. */
  async finish(wallMilliseconds: number): Promise<void> {
    await this.flush(wallMilliseconds, true);
    const { oldest, current } = this.windowsAt(wallMilliseconds);
    for (let window = oldest; window <= current; window += 1) {
      const part = this.partOf(window, true);
      if (this.isUnwritten(part)) {
        const isTaken = await this.parts.relay.handOver(part);
        this.parts.log.info('The counts of a window were handed over.', { window, isTaken });
      }
    }
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      yield;
      await clock.sleep(this.untilNextWrite(clock.wallMilliseconds()), signal);
      await this.flush(clock.wallMilliseconds());
    }
  }

  /** Time to the next write: after a part of the window, or soon after its end. */
  private untilNextWrite(wall: number): number {
    const { windowMilliseconds, countInstances, random, relay } = this.parts;
    if (this.hasFailed) {
      return SHORTEST_PERIOD_MILLISECONDS;
    }
    if (relay.isShared) {
      const sharedPeriod = windowMilliseconds / SHARED_WRITES;
      return sharedPeriod - (wall % sharedPeriod) + AFTER_WINDOW_MILLISECONDS;
    }
    const period = windowMilliseconds * LOST_PART * Math.max(1, countInstances());
    const untilEnd = windowMilliseconds - (wall % windowMilliseconds);
    const spread = random.fraction() * AFTER_WINDOW_SPREAD_MILLISECONDS;
    return Math.min(
      Math.max(SHORTEST_PERIOD_MILLISECONDS, period),
      untilEnd + AFTER_WINDOW_MILLISECONDS + spread,
    );
  }

  private windowsAt(wallMilliseconds: number): { oldest: number; current: number } {
    const { tally, windowMilliseconds, dueMilliseconds } = this.parts;
    const current = tally.windowAt(wallMilliseconds);
    return { oldest: current - Math.ceil(dueMilliseconds / windowMilliseconds), current };
  }

  private partOf(window: number, isFinal: boolean): UsagePart {
    const { tally, incarnation } = this.parts;
    return { window, incarnation, counts: tally.countsOf(window), isFinal };
  }

  private isUnwritten(part: UsagePart): boolean {
    return (
      Object.keys(part.counts).length > 0 && encodePart(part) !== this.written.get(part.window)
    );
  }

  private async writeWindow(window: number, isFinal: boolean): Promise<void> {
    const part = this.partOf(window, isFinal);
    if (!this.isUnwritten(part)) {
      return;
    }
    try {
      await this.parts.relay.store(part);
      this.written.set(window, encodePart(part));
    } catch (error) {
      this.fail(window, error);
    }
  }

  private fail(window: number, error: unknown): void {
    this.hasFailed = true;
    this.parts.log.warn('The counts of a window were not written; they are tried again.', {
      window,
      reason: describeFailure(failureOf(error)),
    });
  }
}
