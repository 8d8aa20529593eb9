import type { UsageReport } from 'hickoryrelay-platform/UsageReportSink';

/** What the platform does with a report. */
export const ReportAnswer = {
  Taken: 'taken',
  /** The same report was taken before. */
  Repeated: 'repeated',
  /** The window was reported with other figures, or a later holder has reported. */
  Refused: 'refused',
} as const;

export type ReportAnswer = (typeof ReportAnswer)[keyof typeof ReportAnswer];

/** The usage reports of a platform stand-in; zone and window are the idempotency key. */
export class UsageReportTable {
  /** Every report received, in order, repeats and refused ones included. */
  readonly received: UsageReport[] = [];

  private readonly taken = new Map<string, UsageReport>();

  /** The accepted report of each zone and window. */
  get accepted(): readonly UsageReport[] {
    return [...this.taken.values()];
  }

  private readonly highestFencing = new Map<string, number>();

  take(report: UsageReport): ReportAnswer {
    this.received.push(report);
    const { zone, windowStartMilliseconds, fencingNumber, lines } = report;
    const highest = this.highestFencing.get(zone) ?? 0;
    if (fencingNumber < highest) {
      return ReportAnswer.Refused;
    }
    this.highestFencing.set(zone, fencingNumber);
    const previous = this.find(zone, windowStartMilliseconds);
    if (previous !== undefined) {
      const isEqual = JSON.stringify(previous.lines) === JSON.stringify(lines);
      return isEqual ? ReportAnswer.Repeated : ReportAnswer.Refused;
    }
    this.taken.set(`${zone}/${windowStartMilliseconds}`, report);
    return ReportAnswer.Taken;
  }

  find(zone: string, windowStartMilliseconds: number): UsageReport | undefined {
    return this.taken.get(`${zone}/${windowStartMilliseconds}`);
  }
}
