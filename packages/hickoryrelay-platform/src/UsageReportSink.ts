/** Use by one client account of one class and model in a window. */
export interface UsageLine {
  readonly account: string;
  readonly className: string;
  /** The model, or the route of a plain service. */
  readonly subject: string;
  readonly calls: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Start of the earlier window in which the calls closed, if they came too late for it. */
  readonly correctedWindowStartMilliseconds?: number;
}

/** The report of one zone and window. */
export interface UsageReport {
  readonly zone: string;
  /** Start of the window, in milliseconds since the Unix epoch. */
  readonly windowStartMilliseconds: number;
  readonly fencingNumber: number;
  readonly lines: readonly UsageLine[];
}

/** The platform's interface that takes usage reports; zone and window are the idempotency key. */
export abstract class UsageReportSink {
  abstract submit(report: UsageReport): Promise<void>;

  /** Reads back the report of a zone and window, to resolve a lost answer. */
  abstract find(zone: string, windowStartMilliseconds: number): Promise<UsageReport | undefined>;
}
