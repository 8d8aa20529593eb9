import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { DutyResult } from './DutyPlatform.js';
import { partsPrefix, sealKey } from './UsageKeys.js';
import { decodePart } from './UsagePartWriter.js';

import type { DutyPlatform } from './DutyPlatform.js';
import type { AccountCounts } from './UsageTally.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

/** Time between two looks at the windows that are due. */
const PERIOD_MILLISECONDS = 500;

/** Time after the end of a window in which instances write their last counts of it. */
const SETTLE_MILLISECONDS = 1200;

/**
 * Part of the time until a report is due after which counts that are missing are not awaited. The rest
 * is for the calls that seal and report, each of which may have to be repeated.
 */
const LATE_SETTLE_PART = 0.75;

/** A transaction of the store takes 32 entries. */
const MOST_REMOVED_PARTS = 31;

/** What the duty works with. Times are in milliseconds. */
export interface UsageReportDutyParts {
  readonly store: KeyValueStore;
  readonly platform: DutyPlatform;
  readonly windowMilliseconds: number;
  readonly dueMilliseconds: number;
  readonly log: PartLogger;
}

interface SealedWindow {
  readonly counts: AccountCounts;
  /** Keys of the parts that the seal holds. */
  readonly parts: readonly string[];
}

function sumCounts(parts: readonly AccountCounts[]): AccountCounts {
  const sums = new Map<string, number>();
  for (const part of parts) {
    for (const [account, count] of Object.entries(part)) {
      sums.set(account, (sums.get(account) ?? 0) + count);
    }
  }
  return Object.fromEntries(sums);
}

/**
 * Reports the usage of each window under a term of the authority. The counts of a window are sealed
 * in the store before they are first sent, so that every later report of it is the same.
 */
export class UsageReportDuty extends Task {
  override readonly name = 'usage reports';

  private readonly term: AuthorityTerm;

  private readonly parts: UsageReportDutyParts;

  /** Windows that the platform has accepted in this term. */
  private readonly reported = new Set<number>();

  /** Number of parts in the last window that was sealed; undefined until one is known. */
  private expectedParts: number | undefined;

  constructor(term: AuthorityTerm, parts: UsageReportDutyParts) {
    super();
    this.term = term;
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      yield;
      const wall = clock.wallMilliseconds();
      for (const window of this.dueWindows(wall)) {
        yield;
        await this.reportWindow(window, wall);
      }
      await clock.sleep(PERIOD_MILLISECONDS, signal);
    }
  }

  /** Windows that have settled and whose report can still come in time. */
  private *dueWindows(wall: number): Generator<number, void, void> {
    const { windowMilliseconds, dueMilliseconds } = this.parts;
    const newest = Math.floor((wall - SETTLE_MILLISECONDS) / windowMilliseconds) - 1;
    const oldest = Math.floor((wall - dueMilliseconds) / windowMilliseconds) - 1;
    for (let window = oldest; window <= newest; window += 1) {
      if (!this.reported.has(window)) {
        yield window;
      }
    }
  }

  private async reportWindow(window: number, wall: number): Promise<void> {
    const { platform, log } = this.parts;
    try {
      const sealed = await this.sealOf(window, wall);
      if (sealed === undefined) {
        return;
      }
      const result = await platform.reportUsage(this.term, window, sealed.counts);
      log.info('A usage window was reported.', {
        window,
        result,
        fencingNumber: this.term.fencingNumber,
        parts: sealed.parts.length,
        requests: Object.values(sealed.counts).reduce((sum, count) => sum + count, 0),
      });
      if (result === DutyResult.Accepted) {
        this.reported.add(window);
        await this.removeOld(window);
      } else if (result === DutyResult.Refused) {
        this.term.end();
      }
    } catch (error) {
      log.warn('A usage window was not reported; it is tried again.', {
        window,
        reason: describeFailure(failureOf(error)),
      });
    }
  }

  /** Reads or makes the seal of a window. Undefined while counts may still come. */
  private async sealOf(window: number, wall: number): Promise<SealedWindow | undefined> {
    const { store, windowMilliseconds, dueMilliseconds } = this.parts;
    const known = await store.get(sealKey(window));
    if (known !== undefined) {
      return JSON.parse(known.value) as SealedWindow;
    }
    const { values } = await store.range(partsPrefix(window), { prefix: true });
    const age = wall - (window + 1) * windowMilliseconds;
    this.expectedParts ??= await this.countSealedParts(window - 1);
    const parts = values.map(({ value }) => decodePart(value));
    const isComplete = values.length >= this.expectedParts && parts.every(({ isFinal }) => isFinal);
    if (!isComplete && age < dueMilliseconds * LATE_SETTLE_PART) {
      return undefined;
    }
    const sealed: SealedWindow = {
      counts: sumCounts(parts.map(({ counts }) => counts)),
      parts: values.map(({ key }) => key),
    };
    this.term.assertHeld();
    const { succeeded } = await store.commit({
      compare: [{ key: sealKey(window), target: 'create-revision', operand: 0 }],
      success: [{ type: 'put', key: sealKey(window), value: JSON.stringify(sealed) }],
      failure: [],
    });
    if (!succeeded) {
      return undefined;
    }
    this.expectedParts = values.length;
    return sealed;
  }

  /** Number of parts in the seal of a window; 0 if it has none. */
  private async countSealedParts(window: number): Promise<number> {
    const seal = await this.parts.store.get(sealKey(window));
    return seal === undefined ? 0 : (JSON.parse(seal.value) as SealedWindow).parts.length;
  }

  /** Removes the seal and the parts of a window that cannot be reported any more. */
  private async removeOld(reported: number): Promise<void> {
    const { store, windowMilliseconds, dueMilliseconds } = this.parts;
    const old = reported - Math.ceil(dueMilliseconds / windowMilliseconds) - 1;
    const seal = await store.get(sealKey(old));
    if (seal === undefined) {
      return;
    }
    const { parts } = JSON.parse(seal.value) as SealedWindow;
    const keys = [...parts.slice(0, MOST_REMOVED_PARTS), sealKey(old)];
    await store.commit({
      compare: [],
      success: keys.map((key) => ({ type: 'delete', key }) as const),
      failure: [],
    });
  }
}
