import { describe, expect, it } from 'vitest';
import { EngineDemand } from 'hickoryrelay-supply/EngineDemand';

import type { EngineWork } from 'hickoryrelay-supply/EngineDemand';

const SIZE = { slots: 10, cacheCapacityTokens: 100_000 };
const IDLE: EngineWork = { busyPrefillEngines: 0, runningRequests: 0, sharedTokens: 0 };
const PERIOD_MILLISECONDS = 500;

/** Observes the work that a function gives for each time. Returns the demand at the end. */
function observe(workAt: (now: number) => Partial<EngineWork>, untilMilliseconds: number) {
  const demand = new EngineDemand();
  for (let now = 0; now <= untilMilliseconds; now += PERIOD_MILLISECONDS) {
    demand.observe({ ...IDLE, ...workAt(now) }, now);
  }
  return demand.required(SIZE, untilMilliseconds);
}

describe('EngineDemand', () => {
  // Guards against a supply that is reduced before any request has shown what it is for.
  it('knows no demand while there has been no work, or too short a time of it', () => {
    expect(observe(() => IDLE, 600_000)).toBeUndefined();
    expect(
      observe((now) => ({ runningRequests: now > 500_000 ? 50 : 0 }), 600_000),
    ).toBeUndefined();
  });

  it('asks for engines that are busy for half of the time', () => {
    const required = observe(() => ({ busyPrefillEngines: 6, runningRequests: 40 }), 150_000);
    expect(required?.prefill).toBeCloseTo(12);
    expect(required?.decode).toBeCloseTo(8);
  });

  // Guards against prompts that are read again because too few engines hold their shared segments.
  it('asks for prefill engines whose caches hold the shared segments in use', () => {
    const required = observe(() => ({ busyPrefillEngines: 1, sharedTokens: 600_000 }), 150_000);
    expect(required?.prefill).toBeCloseTo(10);
  });

  // Guards against a supply that follows a mix which shifts back and forth faster than engines start.
  it('keeps the peak of a load that comes in waves', () => {
    const required = observe(
      (now) => ({ busyPrefillEngines: now % 6000 < 3000 ? 10 : 0 }),
      150_000,
    );
    expect(required?.prefill).toBeGreaterThan(12);
    expect(required?.prefill).toBeLessThanOrEqual(20);
  });

  // Guards against engines that are handed back in a lull and ordered again for the next swing.
  it('keeps the peak through a lull of minutes', () => {
    const required = observe(
      (now) => ({ runningRequests: now < 150_000 ? 100 : 20 }),
      150_000 + 240_000,
    );
    expect(required?.decode).toBeGreaterThan(19);
  });

  it('forgets a peak after the load has been lower for a while', () => {
    const required = observe(
      (now) => ({ runningRequests: now < 200_000 ? 100 : 20 }),
      200_000 + 320_000,
    );
    expect(required?.decode).toBeCloseTo(4, 0);
  });
});
