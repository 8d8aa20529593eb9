import { describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import { EngineCluster } from './EngineClusterFixture.js';

const CONTACT_MILLISECONDS = 3000;
const TOLERATED_CRASHES = 5;
const TOLERATED_REQUESTS = 3;
const MINIMUM_SERVED_FRACTION = 0.5;

const DAY_MILLISECONDS = 30_000;

/** Sound requests with a segment that are needed to judge how many are served. */
const MINIMUM_SAMPLE = 20;

function pick<Option>(random: SeededRandomSource, options: readonly Option[]): Option {
  return options[random.integerBelow(options.length)] as Option;
}

/** Schedules a few events at random times of the day. */
function scheduleSome(cluster: EngineCluster, random: SeededRandomSource, event: () => void): void {
  for (let count = random.integerBelow(4); count > 0; count -= 1) {
    cluster.clock.schedule(500 + random.integerBelow(20_000), event);
  }
}

describe('Requests with a deadly prompt segment on random days', () => {
  // Restarts, losses of datagrams and of several engines come beside the deadly requests.
  it.each([207, 218, 247, 281, 285, 301, 302, 303, 304, 305])('seed %i', async (seed) => {
    const random = new SeededRandomSource(seed);
    const cluster = new EngineCluster(seed);
    const firstSegments = pick(random, [1, 5, 10, 80]);
    const lossFraction = pick(random, [0, 0, 0.3]);
    const startMilliseconds = pick(random, [0, 100, 2000]);
    const wasSoundBefore = startMilliseconds > 0 && pick(random, [true, false, false]);
    const chooseDeadlyPrompt = pick(random, [
      () => ['first-0', 'deadly'],
      () => ['deadly'],
      () => [`first-${random.integerBelow(firstSegments)}`, 'deadly', pick(random, ['x', 'y'])],
    ]);
    cluster.network.isDelivered = () => random.fraction() >= lossFraction;
    scheduleSome(cluster, random, () => cluster.restart(random.integerBelow(6)));
    scheduleSome(cluster, random, () => cluster.crashEngines(1 + random.integerBelow(8)));
    cluster.sendEvery(pick(random, [10, 20, 100]), DAY_MILLISECONDS, () => [
      `first-${random.integerBelow(firstSegments)}`,
    ]);
    if (wasSoundBefore) {
      cluster.sendEvery(20, startMilliseconds, () => ['first-0', 'deadly']);
    }
    await cluster.clock.advance(startMilliseconds);
    cluster.engines.deadlySegments.add('deadly');
    cluster.sendEvery(pick(random, [30, 100, 180, 400, 1000, 3000]), 26_000, chooseDeadlyPrompt);
    await cluster.clock.advance(DAY_MILLISECONDS + 1000 - startMilliseconds);

    const { crashesMilliseconds } = cluster.engines;
    const lastCounted = crashesMilliseconds[TOLERATED_CRASHES - 1] ?? crashesMilliseconds.at(-1);
    const toleranceEnd = (lastCounted ?? 0) + CONTACT_MILLISECONDS;
    if (crashesMilliseconds.length >= TOLERATED_CRASHES) {
      expect(cluster.deadlyArrivalsSince(toleranceEnd)).toBeLessThanOrEqual(TOLERATED_REQUESTS);
    }
    const since = toleranceEnd + CONTACT_MILLISECONDS;
    if (cluster.soundRequestsSince(since, 'first-0') >= MINIMUM_SAMPLE) {
      const served = cluster.servedFractionSince(since, 'first-0');
      expect(served).toBeGreaterThan(MINIMUM_SERVED_FRACTION);
    }
  });
});
