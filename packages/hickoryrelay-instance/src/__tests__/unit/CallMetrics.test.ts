import { describe, expect, it } from 'vitest';
import { CallMetrics, CallOutcome, CallTime } from 'hickoryrelay-instance/CallMetrics';

import type { Call } from 'hickoryrelay-link/Call';

const createCall = (accountName: string): Call => ({
  kind: 'service',
  requestIdentifier: 'r',
  accountName,
  keyIdentifier: undefined,
  className: 'book',
  arrivalMilliseconds: 0,
  deadlineMilliseconds: 0,
  isIdempotent: false,
  idempotencyKey: undefined,
  route: 'book',
  method: 'POST',
  path: '',
  contentType: undefined,
  body: undefined,
});

describe('CallMetrics', () => {
  it('renders a summary per account and class', () => {
    const metrics = new CallMetrics();
    const series = metrics.seriesFor(createCall('first'));
    [10, 20, 30].forEach((milliseconds) => series.record(CallTime.Completion, milliseconds));
    series.count(CallOutcome.Answered);
    const text = metrics.render();
    expect(text).toContain(
      'hickoryrelay_completion_milliseconds_count{account="first",class="book"} 3',
    );
    expect(text).toContain(
      'hickoryrelay_completion_milliseconds_sum{account="first",class="book"} 60',
    );
    expect(text).toContain(
      'hickoryrelay_calls_total{account="first",class="book",outcome="answered"} 1',
    );
  });

  // Guards against memory that grows with the number of accounts.
  it('bounds the number of label sets', () => {
    const metrics = new CallMetrics();
    for (let index = 0; index < 10_000; index += 1) {
      metrics.seriesFor(createCall(`account-${index}`)).count(CallOutcome.Refused);
    }
    const lines = metrics.render().split('\n');
    expect(lines.length).toBeLessThan(4100);
    expect(lines.some((line) => line.includes('account="other"'))).toBe(true);
  });
});
