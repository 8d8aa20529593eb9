import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  decodeRateReports,
  encodeRateReports,
  isPlausibleRate,
  RateKind,
  ReportAge,
} from 'hickoryrelay-workload/RateReport';
import { RateReportQueue } from 'hickoryrelay-workload/RateReportQueue';

import type { RateReport } from 'hickoryrelay-workload/RateReport';

const REPORT: RateReport = {
  endpoint: 4_000_000_000,
  kind: RateKind.Prefill,
  age: ReportAge.Fresh,
  logRate: 5.25,
  weight: 3,
};

describe('RateReport', () => {
  it('survives the encoding', () => {
    const reports = Object.values(RateKind).flatMap((kind) =>
      Object.values(ReportAge).map((age) => ({ ...REPORT, kind, age, logRate: 0.5, weight: 15 })),
    );
    expect(decodeRateReports(encodeRateReports(reports), 100)).toEqual(reports);
  });

  // Guards against figures of a faulty or hostile peer that are negative, huge or not a number.
  it('decodes only plausible reports of any value', () => {
    fc.assert(
      fc.property(fc.oneof(fc.anything(), fc.array(fc.oneof(fc.anything(), fc.nat()))), (value) => {
        for (const { kind, logRate, weight, endpoint } of decodeRateReports(value, 10)) {
          expect(isPlausibleRate(kind, logRate)).toBe(true);
          expect(weight).toBeGreaterThanOrEqual(1);
          expect(weight).toBeLessThanOrEqual(15);
          expect(Number.isInteger(endpoint)).toBe(true);
        }
      }),
    );
    const list = [...encodeRateReports([REPORT]), 1, Number.NaN, 3, 1, -5, 3, 1, 1e12, 3];
    expect(decodeRateReports(list, 10)).toEqual([REPORT]);
  });

  it('decodes no more reports than allowed', () => {
    const list = encodeRateReports(Array.from({ length: 50 }, () => REPORT));
    expect(decodeRateReports(list, 10)).toHaveLength(10);
  });
});

describe('RateReportQueue', () => {
  it('merges the observations of one endpoint', () => {
    const queue = new RateReportQueue();
    queue.add({ ...REPORT, weight: 1, logRate: 4 }, 0);
    queue.add({ ...REPORT, weight: 3, logRate: 6 }, 0);
    expect(queue.take(10, 0)).toEqual([{ ...REPORT, weight: 4, logRate: 5.5 }]);
    expect(queue.isEmpty).toBe(true);
  });

  // Guards against endpoints that are never reported because others are observed more often.
  it('takes the endpoints in the order of their first observation', () => {
    const queue = new RateReportQueue();
    for (let endpoint = 0; endpoint < 5; endpoint += 1) {
      queue.add({ ...REPORT, endpoint }, 0);
    }
    queue.add({ ...REPORT, endpoint: 0 }, 0);
    const taken = [...queue.take(3, 0), ...queue.take(3, 0)];
    expect(taken.map(({ endpoint }) => endpoint)).toEqual([0, 1, 2, 3, 4]);
  });

  // Guards against a slowdown that is applied after it has ended.
  it('marks reports that have waited', () => {
    const queue = new RateReportQueue();
    queue.add(REPORT, 0);
    expect(queue.take(1, 5000)).toEqual([{ ...REPORT, age: ReportAge.Late }]);
  });
});
