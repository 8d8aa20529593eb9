import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { fencingKey } from './ZoneKeyUtils.js';
import type { AuthorityTerm } from './AuthorityTerm.js';
import type { FencingFloor } from './FencingFloor.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

/** 640 instances make 11 reads a second. */
const INTERVAL_MILLISECONDS = 60_000;

/** Spreads the reads of all instances after a restore. Less than the wait of a term before its orders. */
const MAXIMUM_RESTORE_JITTER_MILLISECONDS = 2000;

const RETRY_INTERVAL_MILLISECONDS = 1000;

/** Collaborators of a fencing counter task. */
export interface FencingCounterTaskParts {
  readonly zone: string;
  readonly store: KeyValueStore;
  readonly floor: FencingFloor;
  /** Returns the term that this instance holds, if any. */
  readonly currentTerm: () => AuthorityTerm | undefined;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
}

/**
 * Reads the fencing counter of the zone periodically and after a restore of the store. Raises a counter
 * that has gone back, so that the next term gets a number that no term has had, and ends a term of this
 * instance whose number is below one that is known.
 */
export class FencingCounterTask extends Task {
  override readonly name: string;

  private readonly parts: FencingCounterTaskParts;

  constructor(parts: FencingCounterTaskParts) {
    super();
    this.name = `fencing counter of ${parts.zone}`;
    this.parts = parts;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    const { random, store } = this.parts;
    let restored = new AbortController();
    const unsubscribe = store.era.onRestore(() => restored.abort());
    try {
      while (!signal.aborted) {
        if (restored.signal.aborted) {
          restored = new AbortController();
          await clock.sleep(random.fraction() * MAXIMUM_RESTORE_JITTER_MILLISECONDS, signal);
        }
        const isRead = await this.synchronize();
        yield;
        const intervalMilliseconds = isRead ? INTERVAL_MILLISECONDS : RETRY_INTERVAL_MILLISECONDS;
        const wake = AbortSignal.any([signal, restored.signal]);
        await clock
          .sleep(intervalMilliseconds * (0.75 + random.fraction() / 2), wake)
          .catch(() => {});
      }
    } finally {
      unsubscribe();
    }
  }

  /** Returns whether the counter is at least as high as any known number. */
  private async synchronize(): Promise<boolean> {
    const { zone, store, floor, currentTerm, log } = this.parts;
    try {
      const stored = await store.get(fencingKey(zone));
      const counter = Number(stored?.value ?? 0);
      floor.record(counter);
      if (counter < floor.highest) {
        const operand = stored?.modRevision ?? StoreRevision.None;
        const key = fencingKey(zone);
        const { succeeded } = await store.commit({
          compare: [{ key, target: 'mod-revision', operand }],
          success: [{ type: 'put', key, value: String(floor.highest) }],
          failure: [],
        });
        if (!succeeded) {
          return false;
        }
        const fencingNumber = floor.highest;
        log.warn('The fencing counter had gone back and was raised.', { zone, fencingNumber });
      }
      const term = currentTerm();
      if (term !== undefined && term.fencingNumber < floor.highest) {
        term.end();
      }
      return true;
    } catch (error) {
      const reason = describeFailure(failureOf(error));
      log.warn('Could not read or raise the fencing counter.', { zone, reason });
      return false;
    }
  }
}
