import { expect, it } from 'vitest';
import { retryDelayOf } from 'hickoryrelay-forwarding/ViewRefreshTask';

// Guards against calls of all instances that multiply with the fleet while the store is down.
it.each([
  { instances: 0, milliseconds: 250 },
  { instances: 8, milliseconds: 250 },
  { instances: 30, milliseconds: 500 },
  { instances: 60, milliseconds: 1000 },
  { instances: 640, milliseconds: 1000 },
])('repeats a failed read of $instances instances after $milliseconds ms', (each) => {
  expect(retryDelayOf(each.instances)).toBe(each.milliseconds);
});
