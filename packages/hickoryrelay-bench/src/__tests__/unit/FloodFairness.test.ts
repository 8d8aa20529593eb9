import { describe, expect, it } from 'vitest';
import { CACHE_EVENT_BYTES_PER_SECOND } from 'hickoryrelay-instance/CacheEventTasks';

import { floodDemands } from '../../AccountDemands.js';
import { arrivedBefore, findWorstServedAccount } from '../../AccountShares.js';
import { PolicySimulation, PolicyName } from '../../PolicySimulation.js';

/** The fairness target is at least 90% of the max-min fair share. */
const MIN_FAIR_SHARE_RATIO = 0.9;
const SECONDS = 120;
const LAST_COUNTED_ARRIVAL_SECONDS = 100;

describe('fairness under a flood', () => {
  // Guards against an account that demands the whole fleet and reduces the service of the others
  // below their fair share. The simulation uses a manual clock and is deterministic by seed.
  it.each([1, 2, 3, 5, 7])(
    'gives the worst-served account at least 0.9 of its fair share, seed %i',
    async (seed) => {
      const simulation = new PolicySimulation(PolicyName.Hickoryrelay, {
        seed,
        seconds: SECONDS,
        warmUpSeconds: 10,
        demands: floodDemands(),
        prefillShare: () => 0.4,
        cacheEventBytesPerSecond: CACHE_EVENT_BYTES_PER_SECOND,
        lostEvents: 0.02,
        firstComeLimit: 24,
      });
      const outcomes = await simulation.run();
      const { ratio } = findWorstServedAccount(
        arrivedBefore([...outcomes], LAST_COUNTED_ARRIVAL_SECONDS),
      );
      expect(ratio).toBeGreaterThanOrEqual(MIN_FAIR_SHARE_RATIO);
    },
  );
});
