import { describe, expect, it } from 'vitest';
import { SystemClock } from 'hickoryrelay/Clock';

describe('SystemClock', () => {
  // Guards against requests that expire at once because their route has a timeout of over 24 days.
  it.each([2 ** 31, 1e300, Number.POSITIVE_INFINITY])(
    'does not run an action at once whose delay is %d ms',
    async (milliseconds) => {
      const clock = new SystemClock();
      let hasRun = false;
      const cancel = clock.schedule(milliseconds, () => {
        hasRun = true;
      });
      await clock.sleep(5);
      cancel();
      expect(hasRun).toBe(false);
    },
  );
});
