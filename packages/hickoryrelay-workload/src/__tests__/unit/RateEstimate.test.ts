import { describe, expect, it } from 'vitest';
import { RateEstimate } from 'hickoryrelay-workload/RateEstimate';

const SECOND = 1000;

function makeLearned(logRate: number, now: number): RateEstimate {
  const estimate = new RateEstimate();
  for (let second = 0; second < 10; second += 1) {
    estimate.add(logRate, 1, now + second * SECOND);
  }
  return estimate;
}

describe('RateEstimate', () => {
  // Guards against an engine that is avoided for seconds because of one slow response.
  it('changes the lasting rate by less than 7% for one response that takes four times as long', () => {
    const estimate = makeLearned(5, 0);
    estimate.add(3, 1, 40 * SECOND);
    expect(2 ** (estimate.logRate - 5)).toBeGreaterThan(0.93);
  });

  it('is not changed by a slow one among the first three observations', () => {
    const estimate = new RateEstimate();
    estimate.add(5, 1, 0);
    estimate.add(3, 1, 10);
    expect(estimate.logRate).toBe(5);
    estimate.add(5.1, 1, 20);
    expect(estimate.logRate).toBe(5);
  });

  it('follows a lasting change with a time constant of about 20 s', () => {
    const estimate = makeLearned(5, 0);
    for (let second = 10; second < 30; second += 1) {
      estimate.add(4.7, 1, second * SECOND);
    }
    expect(estimate.logRate).toBeGreaterThan(4.78);
    expect(estimate.logRate).toBeLessThan(4.84);
  });

  // Guards against requests that are sent to an engine while it is slow, and against avoiding it later.
  it('shows a temporary slowdown that is over within two seconds', () => {
    const estimate = makeLearned(5, 0);
    estimate.addSlowdown(5 - Math.log2(2.5), 10 * SECOND);
    expect(estimate.slowdown(10 * SECOND)).toBeGreaterThan(0.2);
    estimate.addSlowdown(5 - Math.log2(2.5), 10 * SECOND);
    estimate.addSlowdown(5 - Math.log2(2.5), 10 * SECOND);
    expect(estimate.slowdown(10 * SECOND)).toBeGreaterThan(0.5);
    expect(estimate.slowdown(12 * SECOND)).toBeLessThan(0.02);
    expect(estimate.logRate).toBe(5);
  });

  it('does not take normal variation for a slowdown', () => {
    const estimate = makeLearned(5, 0);
    estimate.addSlowdown(4.8, 10 * SECOND);
    expect(estimate.slowdown(10 * SECOND)).toBe(0);
  });

  it('takes over the learned rate of a peer only while it knows less itself', () => {
    const starting = new RateEstimate();
    starting.adopt(4, 8, 0);
    expect(starting.logRate).toBe(4);
    const learned = makeLearned(5, 0);
    learned.adopt(4, 15, 20 * SECOND);
    expect(learned.logRate).toBe(5);
  });
});
