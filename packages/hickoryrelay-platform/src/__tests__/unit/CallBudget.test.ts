import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { CallBudget, CallKind, limitsForInstances } from 'hickoryrelay-platform/CallBudget';

const PLATFORM_READS_PER_SECOND = 2000;
const PLATFORM_WRITES_PER_SECOND = 400;

describe('CallBudget', () => {
  // Guards against overloading the key-value service as instances are added.
  it.each([1, 8, 58, 640, 2000])(
    'keeps %d instances within the limits of the platform',
    (count) => {
      const { reads, writes } = limitsForInstances(count);
      expect(reads.perSecond * count).toBeLessThanOrEqual(PLATFORM_READS_PER_SECOND);
      expect(writes.perSecond * count).toBeLessThanOrEqual(PLATFORM_WRITES_PER_SECOND);
    },
  );

  // Guards against delaying the writes of a small federation to the share of a large one.
  it('does not delay 100 writes in 10 s in a federation of 8 instances', async () => {
    const clock = new ManualClock();
    const budget = new CallBudget(clock);
    budget.setInstanceCount(8);
    for (let index = 0; index < 100; index += 1) {
      await budget.acquire(CallKind.Write);
      await clock.advance(100);
    }
    expect(budget.counts).toMatchObject({ writes: 100, delayed: 0 });
  });
});
