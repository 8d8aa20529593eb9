import type { EndpointLink } from './EndpointLink.js';
import type { EndpointState } from './EndpointState.js';
import type { SegmentQuarantine } from './SegmentQuarantine.js';
import type { Clock } from 'hickoryrelay/Clock';

/** A refused connection takes one round trip. A retry does not wait longer for the result. */
const CHECK_TIMEOUT_MILLISECONDS = 250;

/** Collaborators of the detector. */
export interface EngineCrashDetectorParts {
  readonly link: EndpointLink;
  readonly quarantine: SegmentQuarantine;
  /** The monotonic clock. */
  readonly clock: Clock;
}

/**
 * Tells crashed engines from lost responses. The connection of a run ends in both cases, but only a
 * crashed engine refuses new connections.
 */
export class EngineCrashDetector {
  private readonly parts: EngineCrashDetectorParts;

  /** Checks in progress, shared by all runs that the engine has lost. */
  private readonly checks = new Map<EndpointState, Promise<boolean>>();

  private attributed = 0;

  constructor(parts: EngineCrashDetectorParts) {
    this.parts = parts;
  }

  /** Lost runs that were attributed to a crash of their engine. */
  get attributedRuns(): number {
    return this.attributed;
  }

  /**
   * Handles a run that was lost before its first event. Returns true if its engine has crashed, after
   * recording the crash as evidence about the segments.
   */
  async handleLostRun(state: EndpointState, segments: readonly number[]): Promise<boolean> {
    let check = this.checks.get(state);
    if (check === undefined) {
      check = this.check(state).finally(() => this.checks.delete(state));
      this.checks.set(state, check);
    }
    const hasCrashed = await check;
    if (hasCrashed) {
      this.attributed += 1;
      this.parts.quarantine.recordCrash(state.hash, segments);
    }
    return hasCrashed;
  }

  private async check(state: EndpointState): Promise<boolean> {
    const { link, clock } = this.parts;
    const timeout = new AbortController();
    const cancelTimer = clock.schedule(CHECK_TIMEOUT_MILLISECONDS, () => timeout.abort());
    try {
      const isRefused = await link.isRefused(state.record, timeout.signal);
      if (isRefused) {
        state.recordCrash(clock.monotonicMilliseconds());
      }
      return isRefused;
    } finally {
      cancelTimer();
    }
  }
}
