/** Usage of one class and model by one client account in a window. */
export interface UsageLine {
  readonly account: string;
  readonly className: string;
  /** The model, or the route of a plain service. */
  readonly subject: string;
  readonly calls: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Start of the window in which the calls ended, if they were recorded too late for its report. */
  readonly correctedWindowStartMilliseconds?: number;
}

/** The usage report of a zone for a window. */
export interface UsageReport {
  readonly zone: string;
  /** Start of the window, in milliseconds since the Unix epoch. */
  readonly windowStartMilliseconds: number;
  readonly fencingNumber: number;
  readonly lines: readonly UsageLine[];
}

/** The platform's interface for usage reports. Zone and window form the idempotency key. */
export abstract class UsageReportSink {
  abstract submit(report: UsageReport): Promise<void>;

  /** Reads a report back, to find out whether a submission without a response took effect. */
  abstract find(zone: string, windowStartMilliseconds: number): Promise<UsageReport | undefined>;
}
