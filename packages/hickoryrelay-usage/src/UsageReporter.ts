import { FailureKind } from 'hickoryrelay/Failure';
import { hasFailureKind, RelayError } from 'hickoryrelay/RelayError';

import { countedKey, reportedKey, reportOf, sealKey } from './UsageSeal.js';
import type { Authority } from './Authority.js';
import type { CountedState, UsageSeal } from './UsageSeal.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { UsageReport, UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';

/**
 * A new holder waits this long before its first report, so that reports of its predecessor have
 * arrived or failed. Must exceed the time-out of the sink, which is 2 s.
 */
export const REPORT_SETTLE_MILLISECONDS = 10_000;

/** What a reporter works with. */
export interface UsageReporterParts {
  readonly authority: Authority;
  readonly store: KeyValueStore;
  readonly sink: UsageReportSink;
  readonly clock: Clock;
  readonly log: ComponentLogger;
}

/** Reports the sealed windows of a zone, oldest first, and prunes them. */
export class UsageReporter {
  private readonly parts: UsageReporterParts;

  /** Windows whose submission got no answer. */
  private readonly unanswered = new Set<number>();

  /** Term and sealed window up to which everything is known to be reported. */
  private reportedTerm = 0;

  private reportedWindow = 0;

  constructor(parts: UsageReporterParts) {
    this.parts = parts;
  }

  /**
   * True if a sealed window may be unreported: in a new term, and after each seal by this instance.
   * Other seals cannot appear, so that no read is needed until then.
   */
  isDue(sealedWindow: number): boolean {
    const { authority, clock } = this.parts;
    if (!authority.isHeld) {
      return false;
    }
    const heldFor = clock.monotonicMilliseconds() - authority.heldSinceMilliseconds;
    const isNew =
      this.reportedTerm !== authority.fencingNumber || this.reportedWindow < sealedWindow;
    return isNew && heldFor >= REPORT_SETTLE_MILLISECONDS;
  }

  /**
   * Reports every sealed window that is not reported. Throws if the platform does not answer; the
   * next attempt goes on with the same window.
   */
  async report(sealedWindow: number): Promise<void> {
    const { authority, store } = this.parts;
    const { zone, fencingNumber } = authority;
    const counted = await store.get(countedKey(zone));
    const marked = await store.get(reportedKey(zone));
    const unreported = counted === undefined ? [] : JSON.parse(counted.value);
    const windows = ((unreported as CountedState).unreported ?? []).filter(
      (window) => window > Number(marked?.value ?? 0),
    );
    let { modRevision } = marked ?? { modRevision: 0 };
    for (const window of windows) {
      await this.reportOne(window);
      modRevision = await this.mark(window, modRevision);
    }
    this.reportedTerm = fencingNumber;
    this.reportedWindow = sealedWindow;
  }

  private async reportOne(window: number): Promise<void> {
    const { authority, store, sink, log } = this.parts;
    const { zone } = authority;
    const stored = await store.get(sealKey(zone, window));
    if (stored === undefined) {
      log.error('A sealed usage window that is not reported has no seal.', { window });
      return;
    }
    const seal = JSON.parse(stored.value) as UsageSeal;
    authority.assertHeld();
    const report = reportOf(zone, seal, authority.fencingNumber);
    const mayBeReported =
      this.unanswered.has(window) || seal.fencingNumber !== authority.fencingNumber;
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
        this.unanswered.add(window);
      }
      throw error;
    }
  }

  /** Marks a window as reported and prunes its seal. Returns the revision of the mark. */
  private async mark(window: number, modRevision: number): Promise<number> {
    const { authority, store } = this.parts;
    const key = reportedKey(authority.zone);
    authority.assertHeld();
    // Until the mark is known to be written, the platform is asked before the window is sent again.
    this.unanswered.add(window);
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
    this.unanswered.delete(window);
    return result.revision;
  }
}
