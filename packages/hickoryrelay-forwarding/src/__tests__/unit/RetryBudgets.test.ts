import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryBudgets } from 'hickoryrelay-forwarding/RetryBudgets';

import { LIMITS } from './ForwardingFixture.js';

describe('RetryBudgets', () => {
  // Guards against instances whose budgets add up to more than the deployment allows.
  it('keeps all instances together within ratio and slack, in any order of calls', () => {
    const limits = { ...LIMITS, retryRatio: 0.1, retrySlack: 30 };
    const step = fastCheck.record({ instance: fastCheck.nat(6), isRetry: fastCheck.boolean() });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step, { maxLength: 600 }), (steps) => {
        const instances = Array.from({ length: 7 }, () => {
          const budgets = new RetryBudgets(limits);
          budgets.setInstanceCount(7);
          return budgets;
        });
        let requests = 0;
        let retries = 0;
        for (const { instance, isRetry } of steps) {
          const budgets = instances[instance] as RetryBudgets;
          if (isRetry) {
            retries += budgets.tryTake('s') ? 1 : 0;
          } else {
            budgets.addRequest('s');
            requests += 1;
          }
          expect(retries).toBeLessThanOrEqual(requests * 0.1 + 30);
        }
      }),
    );
  });

  // Guards against instances that retry on the slack of an unlisted instance that still runs.
  it('does not grow when instances disappear from the list', () => {
    const budgets = new RetryBudgets({ ...LIMITS, retrySlack: 30 });
    budgets.setInstanceCount(10);
    budgets.setInstanceCount(1);
    let taken = 0;
    while (budgets.tryTake('s')) {
      taken += 1;
    }
    expect(taken).toBe(3);
  });

  // Guards against a new instance that uses the slack of the others.
  it('starts with a small budget while the number of instances is unknown', () => {
    const budgets = new RetryBudgets({ ...LIMITS, retrySlack: 30 });
    expect(budgets.tryTake('s')).toBe(true);
    expect(budgets.tryTake('s')).toBe(false);
  });
});
