import { FailureKind } from 'hickoryrelay/Failure';
import { hasFailureKind, RelayError } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { countedKey, reportedKey, reportOf, sealKey } from './UsageSeal.js';
import type { Authority } from './Authority.js';
import type { CountedState, UsageSeal } from './UsageSeal.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { UsageReport, UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';

/**
 * Delay before the first report of a new authority holder, so that reports of its predecessor have
 * arrived or failed. Must exceed the timeout of the sink, which is 2 s.
 */
export const FIRST_REPORT_DELAY_MILLISECONDS = 10_000;

/** Dependencies of a usage reporter. */
export interface UsageReporterParts {
  readonly authority: Authority;
  readonly store: KeyValueStore;
  readonly sink: UsageReportSink;
  readonly clock: Clock;
  readonly log: ComponentLogger;
}

/** Reports the sealed windows of a zone, oldest first, and deletes their seals. */
export class UsageReporter {
  private readonly parts: UsageReporterParts;

  /** Windows whose submission, or whose mark as reported, is not confirmed. */
  private readonly unconfirmed = new Set<number>();

  /** Fencing number of the term in which the seals up to `reportedWindow` were reported. */
  private reportedTerm = 0;

  private reportedWindow = 0;

  constructor(parts: UsageReporterParts) {
    this.parts = parts;
  }

  /**
   * True if a sealed window may be unreported: in a new term, and after each seal by this instance.
   * Only the authority holder adds seals, so no read is needed otherwise.
   */
  isDue(sealedWindow: number): boolean {
    const { authority, clock } = this.parts;
    if (!authority.isHeld) {
      return false;
    }
    const heldMilliseconds = clock.monotonicMilliseconds() - authority.heldSinceMilliseconds;
    const mayHaveUnreported =
      this.reportedTerm !== authority.fencingNumber || this.reportedWindow < sealedWindow;
    return mayHaveUnreported && heldMilliseconds >= FIRST_REPORT_DELAY_MILLISECONDS;
  }

  /**
   * Reports all sealed windows that are not reported yet. Throws if the platform does not respond;
   * the next attempt resumes at the same window.
   */
  async report(sealedWindow: number): Promise<void> {
    const { authority, store } = this.parts;
    const { zone, fencingNumber } = authority;
    const storedState = await store.get(countedKey(zone));
    const reportedMark = await store.get(reportedKey(zone));
    const state = storedState === undefined ? [] : JSON.parse(storedState.value);
    const windows = ((state as CountedState).unreported ?? []).filter(
      (window) => window > Number(reportedMark?.value ?? 0),
    );
    let modRevision = reportedMark?.modRevision ?? StoreRevision.None;
    for (const window of windows) {
      await this.reportWindow(window);
      modRevision = await this.markReported(window, modRevision);
    }
    this.reportedTerm = fencingNumber;
    this.reportedWindow = sealedWindow;
  }

  private async reportWindow(window: number): Promise<void> {
    const { authority, store, sink, log } = this.parts;
    const { zone } = authority;
    const stored = await store.get(sealKey(zone, window));
    if (stored === undefined) {
      log.error('The seal of an unreported usage window is missing.', { window });
      return;
    }
    const seal = JSON.parse(stored.value) as UsageSeal;
    authority.assertHeld();
    const report = reportOf(zone, seal, authority.fencingNumber);
    // A store that was restored from an older copy forgets seals and marks, and the term ends with its
    // lease. The first window that the next term seals may therefore have been reported before.
    const isFirstReportOfTerm = this.reportedTerm !== authority.fencingNumber;
    const mayBeReported =
      isFirstReportOfTerm ||
      this.unconfirmed.has(window) ||
      seal.fencingNumber !== authority.fencingNumber;
    if (mayBeReported) {
      const found = await sink.find(zone, report.windowStartMilliseconds);
      if (found !== undefined) {
        return;
      }
    }
    await this.submit(window, report);
  }

  private async submit(window: number, report: UsageReport): Promise<void> {
    const { authority, sink } = this.parts;
    authority.assertHeld();
    try {
      await sink.submit(report);
    } catch (error) {
      if (hasFailureKind(error, FailureKind.PlatformUnavailable)) {
        this.unconfirmed.add(window);
      }
      throw error;
    }
  }

  /** Marks a window as reported and deletes its seal. Returns the revision of the mark. */
  private async markReported(window: number, modRevision: StoreRevision): Promise<StoreRevision> {
    const { authority, store } = this.parts;
    const key = reportedKey(authority.zone);
    authority.assertHeld();
    // Until the mark is known to be written, the sink is queried before the window is resubmitted.
    this.unconfirmed.add(window);
    const result = await store.commit({
      compare: [authority.comparison(), { key, target: 'mod-revision', operand: modRevision }],
      success: [
        { type: 'put', key, value: String(window) },
        { type: 'delete', key: sealKey(authority.zone, window) },
      ],
      failure: [],
    });
    if (!result.succeeded) {
      const { zone, fencingNumber } = authority;
      throw new RelayError({ kind: FailureKind.AuthorityLost, zone, fencingNumber });
    }
    this.unconfirmed.delete(window);
    return result.revision;
  }
}
