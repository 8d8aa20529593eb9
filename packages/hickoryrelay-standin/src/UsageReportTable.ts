import type { UsageReport } from 'hickoryrelay-platform/UsageReportSink';

/** How the platform stand-in handled a report. */
export const ReportOutcome = {
  Accepted: 'accepted',
  /** An identical report was accepted before. */
  Duplicate: 'duplicate',
  /** The window was already reported with other figures, or a later authority holder has reported. */
  Rejected: 'rejected',
} as const;

export type ReportOutcome = (typeof ReportOutcome)[keyof typeof ReportOutcome];

/** Usage reports received by the platform stand-in. Zone and window form the idempotency key. */
export class UsageReportTable {
  /** All reports in order of arrival, including duplicate and rejected ones. */
  readonly received: UsageReport[] = [];

  private readonly taken = new Map<string, UsageReport>();

  /** The accepted reports, one for each zone and window. */
  get accepted(): readonly UsageReport[] {
    return [...this.taken.values()];
  }

  private readonly highestFencing = new Map<string, number>();

  submit(report: UsageReport): ReportOutcome {
    this.received.push(report);
    const { zone, windowStartMilliseconds, fencingNumber, lines } = report;
    const highest = this.highestFencing.get(zone) ?? 0;
    if (fencingNumber < highest) {
      return ReportOutcome.Rejected;
    }
    this.highestFencing.set(zone, fencingNumber);
    const previous = this.find(zone, windowStartMilliseconds);
    if (previous !== undefined) {
      const isEqual = JSON.stringify(previous.lines) === JSON.stringify(lines);
      return isEqual ? ReportOutcome.Duplicate : ReportOutcome.Rejected;
    }
    this.taken.set(`${zone}/${windowStartMilliseconds}`, report);
    return ReportOutcome.Accepted;
  }

  find(zone: string, windowStartMilliseconds: number): UsageReport | undefined {
    return this.taken.get(`${zone}/${windowStartMilliseconds}`);
  }
}
