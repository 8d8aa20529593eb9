import { MAXIMUM_REPORT_WEIGHT, ReportAge } from './RateReport.js';

import type { RateReport } from './RateReport.js';

/** Reports that waited longer describe a time that has passed, as far as slowdowns are concerned. */
const FRESH_MILLISECONDS = 400;

/** Bounds the memory use; reports of further endpoints are dropped, and later ones replace them. */
const MAXIMUM_QUEUED_REPORTS = 8192;

interface QueuedReport {
  report: RateReport;
  readonly atMilliseconds: number;
}

/** Reports to send, merged by endpoint and kind, first in first out. */
export class RateReportQueue {
  private readonly queue = new Map<string, QueuedReport>();

  /** True if there is nothing to send. */
  get isEmpty(): boolean {
    return this.queue.size === 0;
  }

  /** Adds an observation, or merges it with the queued one of the same endpoint and kind. */
  add(report: RateReport, now: number): void {
    if (report.age === ReportAge.Learned) {
      return;
    }
    const key = `${report.endpoint}/${report.kind}`;
    const queued = this.queue.get(key);
    if (queued !== undefined) {
      queued.report = RateReportQueue.merge(queued.report, report);
    } else if (this.queue.size < MAXIMUM_QUEUED_REPORTS) {
      this.queue.set(key, { report, atMilliseconds: now });
    }
  }

  /** Removes and returns the oldest reports, up to the limit. */
  take(maximumReports: number, now: number): RateReport[] {
    const taken: RateReport[] = [];
    for (const [key, { report, atMilliseconds }] of this.queue) {
      if (taken.length >= maximumReports) {
        break;
      }
      this.queue.delete(key);
      const isFresh = now - atMilliseconds <= FRESH_MILLISECONDS;
      taken.push(isFresh ? report : { ...report, age: ReportAge.Late });
    }
    return taken;
  }

  private static merge(left: RateReport, right: RateReport): RateReport {
    const weight = left.weight + right.weight;
    return {
      ...left,
      age: Math.max(left.age, right.age) as ReportAge,
      logRate: (left.logRate * left.weight + right.logRate * right.weight) / weight,
      weight: Math.min(MAXIMUM_REPORT_WEIGHT, weight),
    };
  }
}
