import { EndpointPhase, incarnationKey } from './EndpointRecord.js';

import type { EndpointRecord } from './EndpointRecord.js';

/** Time for which a removed endpoint is remembered; longer than a copy of the store is old. */
const REMOVAL_RETENTION_MILLISECONDS = 120_000;

/**
 * Recognizes registrations that a restore of the store has brought back: those of endpoints that
 * have been removed since the copy, and those that state that a leaving endpoint is ready. They stay
 * until the endpoint writes its registration again, or until it expires.
 */
export class RestoredEntryFilter {
  /** Time after a restore until which old registrations may be in the store. */
  private readonly windowMilliseconds: number;

  /** Time of the removal, by incarnation. */
  private readonly removals = new Map<string, number>();

  private beganAtMilliseconds = Number.NEGATIVE_INFINITY;

  private endsAtMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(windowMilliseconds: number) {
    this.windowMilliseconds = windowMilliseconds;
  }

  /** Starts the time in which registrations may be old. */
  begin(now: number): void {
    this.beganAtMilliseconds = now;
    this.endsAtMilliseconds = now + this.windowMilliseconds;
  }

  recordRemoval(record: EndpointRecord, now: number): void {
    this.removals.set(incarnationKey(record), now);
    for (const [incarnation, removedAtMilliseconds] of this.removals) {
      if (removedAtMilliseconds < now - REMOVAL_RETENTION_MILLISECONDS) {
        this.removals.delete(incarnation);
      }
    }
  }

  /**
   * Returns what is to be used of a registration: the known record of a leaving endpoint, nothing for
   * a removed one, else the registration itself.
   */
  apply(
    record: EndpointRecord,
    known: EndpointRecord | undefined,
    now: number,
  ): EndpointRecord | undefined {
    if (now >= this.endsAtMilliseconds) {
      return record;
    }
    const incarnation = incarnationKey(record);
    if (known !== undefined && incarnationKey(known) === incarnation) {
      return known.phase === EndpointPhase.Leaving ? known : record;
    }
    return this.wasRemovedBeforeRestore(incarnation) ? undefined : record;
  }

  /** A registration that was missing after the restore and is there now has been written again. */
  private wasRemovedBeforeRestore(incarnation: string): boolean {
    const removedAtMilliseconds = this.removals.get(incarnation);
    return removedAtMilliseconds !== undefined && removedAtMilliseconds <= this.beganAtMilliseconds;
  }
}
