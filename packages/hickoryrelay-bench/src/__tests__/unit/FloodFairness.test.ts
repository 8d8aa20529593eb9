import { describe, expect, it } from 'vitest';
import { CACHE_EVENT_BYTES_PER_SECOND } from 'hickoryrelay-instance/CacheEventTasks';

import { floodDemands } from '../../AccountDemands.js';
import { counted, worstShare } from '../../AccountShares.js';
import { PolicyModel, PolicyName } from '../../PolicyModel.js';

/** The stated target: within 10% of the fair share. */
const LEAST_SHARE = 0.9;
const SECONDS = 120;
const LAST_COUNTED_SECONDS = 100;

describe('fairness under a flood', () => {
  // Guards against an account that floods the modelled fleet and takes from the share of the others.
  // The model runs on a manual clock, so the figure of a seed is the same in every run.
  it.each([1, 2, 3, 5, 7])(
    'serves the worst-served account at least 0.9 of its share, seed %i',
    async (seed) => {
      const model = new PolicyModel(PolicyName.Hickoryrelay, {
        seed,
        seconds: SECONDS,
        warmUpSeconds: 10,
        demands: floodDemands(),
        prefillPart: () => 0.4,
        cacheEventBytesPerSecond: CACHE_EVENT_BYTES_PER_SECOND,
        lostEvents: 0.02,
        firstComeLimit: 24,
      });
      const outcomes = await model.run();
      const { ratio } = worstShare(counted([...outcomes], LAST_COUNTED_SECONDS));
      expect(ratio).toBeGreaterThanOrEqual(LEAST_SHARE);
    },
  );
});
