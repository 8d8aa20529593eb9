import { describe, expect, it } from 'vitest';

import { EngineCluster } from './EngineClusterFixture.js';

import type { SeededRandomSource } from 'hickoryrelay/RandomSource';

/** Time in which instances learn what others know, as the rules of the deployment state it. */
const CONTACT_MILLISECONDS = 3000;

/** Crashes by one segment after which it has to be known. */
const TOLERATED_CRASHES = 5;

/** Requests with a known deadly segment that may still reach engines. */
const TOLERATED_REQUESTS = 3;

const MINIMUM_SERVED_FRACTION = 0.5;

/** Sends sound requests with ten different first segments, 50 a second. */
function sendSoundRequests(cluster: EngineCluster, durationMilliseconds: number): void {
  cluster.sendEvery(20, durationMilliseconds, (random) => [`first-${random.integerBelow(10)}`]);
}

/** Returns the end of the time in which requests with the segment may still reach engines. */
function toleranceEndOf(cluster: EngineCluster): number {
  const fifthCrash = cluster.engines.crashesMilliseconds[TOLERATED_CRASHES - 1];
  return (fifthCrash ?? cluster.engines.crashesMilliseconds.at(-1) ?? 0) + CONTACT_MILLISECONDS;
}

/** Plays sound requests and, from second 2 on, deadly ones, and checks the rules for both. */
async function playPoisonedDay(
  cluster: EngineCluster,
  periodMilliseconds = 180,
  chooseDeadlyPrompt = (random: SeededRandomSource) => [
    `first-${random.integerBelow(10)}`,
    'deadly',
  ],
): Promise<void> {
  sendSoundRequests(cluster, 26_000);
  await cluster.clock.advance(2000);
  cluster.engines.deadlySegments.add('deadly');
  cluster.sendEvery(periodMilliseconds, 22_000, chooseDeadlyPrompt);
  await cluster.clock.advance(28_000);
  const toleranceEnd = toleranceEndOf(cluster);
  expect(cluster.deadlyArrivalsSince(toleranceEnd)).toBeLessThanOrEqual(TOLERATED_REQUESTS);
  for (let first = 0; first < 10; first += 1) {
    const since = toleranceEnd + CONTACT_MILLISECONDS;
    const served = cluster.servedFractionSince(since, `first-${first}`);
    expect(served).toBeGreaterThan(MINIMUM_SERVED_FRACTION);
  }
}

describe('Requests with a prompt segment that crashes engines', () => {
  // Guards against retries and placement that carry a poison request from engine to engine.
  it.each([
    { periodMilliseconds: 1000, seed: 1 },
    { periodMilliseconds: 180, seed: 2 },
    { periodMilliseconds: 30, seed: 3 },
  ])(
    'stop reaching engines while sound ones are served, one every $periodMilliseconds ms',
    async ({ periodMilliseconds, seed }) => {
      await playPoisonedDay(new EngineCluster(seed), periodMilliseconds);
    },
  );

  // Guards against the refusal of sound requests for a segment that they share with deadly ones.
  it.each([4, 5, 6])('do not take a shared first segment with them, seed %i', async (seed) => {
    const cluster = new EngineCluster(seed);
    await playPoisonedDay(cluster, 180, () => ['first-3', 'deadly']);
    expect(cluster.servedFractionSince(12_000, 'first-3')).toBeGreaterThan(0.5);
  });

  it('are known on all instances although half of the datagrams get lost', async () => {
    const cluster = new EngineCluster(7);
    let datagrams = 0;
    cluster.network.isDelivered = () => {
      datagrams += 1;
      return datagrams % 2 === 0;
    };
    await playPoisonedDay(cluster);
  });

  it('are known on 24 instances, which do not all exchange messages directly', async () => {
    await playPoisonedDay(new EngineCluster(8, ['a', 'b', 'c', 'd'], 6));
  });

  // Guards against an instance that starts without evidence and sends poison requests to engines.
  it('are known to instances that restart', async () => {
    const cluster = new EngineCluster(9);
    for (let number = 0; number < 6; number += 1) {
      cluster.clock.schedule(10_000 + number * 2000, () => cluster.restart(number));
    }
    await playPoisonedDay(cluster);
  });

  // Guards against a start of all instances at once, after which nobody has evidence to send.
  it('are known after all instances have restarted together', async () => {
    const cluster = new EngineCluster(14);
    cluster.clock.schedule(12_000, () => {
      for (let number = 0; number < 6; number += 1) {
        cluster.restart(number);
      }
    });
    await playPoisonedDay(cluster, 1500);
    expect(cluster.engines.crashesMilliseconds.length).toBeLessThanOrEqual(TOLERATED_CRASHES);
    expect(cluster.store.writes).toBeLessThanOrEqual(6);
  });

  // Guards against evidence that is not written again after the store has lost it.
  it('are known after the store was restored and all instances have restarted', async () => {
    const cluster = new EngineCluster(15);
    cluster.store.restore();
    cluster.clock.schedule(10_000, () => cluster.store.restore());
    cluster.clock.schedule(13_000, () => {
      for (let number = 0; number < 6; number += 1) {
        cluster.restart(number);
      }
    });
    await playPoisonedDay(cluster, 1500);
    expect(cluster.engines.crashesMilliseconds.length).toBeLessThanOrEqual(TOLERATED_CRASHES);
  });

  it('are known to an instance that its peers do not know yet', async () => {
    const cluster = new EngineCluster(13);
    await playPoisonedDay(cluster);
    expect(await cluster.segmentsKnownToNewInstance()).toBe(1);
  });

  it('are known to instances that return from a partition', async () => {
    const cluster = new EngineCluster(10);
    const isCut = (port: number) => port >= 4;
    cluster.network.isDelivered = (from, to) => isCut(from) === isCut(to);
    sendSoundRequests(cluster, 20_000);
    await cluster.clock.advance(1000);
    cluster.engines.deadlySegments.add('deadly');
    cluster.sendEvery(400, 18_000, () => ['first-1', 'deadly']);
    await cluster.clock.advance(6000);
    cluster.network.isDelivered = () => true;
    await cluster.clock.advance(CONTACT_MILLISECONDS);
    const now = cluster.clock.monotonicMilliseconds();
    await cluster.clock.advance(10_000);
    expect(cluster.deadlyArrivalsSince(now)).toBe(0);
  });

  it('do not hide a second deadly segment', async () => {
    const cluster = new EngineCluster(11);
    cluster.engines.deadlySegments.add('other-deadly');
    cluster.clock.schedule(4000, () =>
      cluster.sendEvery(300, 20_000, () => ['first-2', 'other-deadly']),
    );
    sendSoundRequests(cluster, 26_000);
    cluster.engines.deadlySegments.add('deadly');
    cluster.sendEvery(300, 24_000, () => ['first-1', 'deadly']);
    await cluster.clock.advance(26_000);
    expect(cluster.engines.crashesMilliseconds.length).toBeLessThanOrEqual(2 * TOLERATED_CRASHES);
    const served = cluster.servedFractionSince(12_000, 'first-2');
    expect(served).toBeGreaterThan(MINIMUM_SERVED_FRACTION);
  });

  // Guards against evidence of many unrelated crashes that takes the bandwidth for control.
  it('cost less than 9 KB a second and instance, however many segments are suspect', async () => {
    const cluster = new EngineCluster(15, ['a', 'b', 'c', 'd'], 6);
    await cluster.clock.advance(1000);
    cluster.suspectSegments(500);
    await cluster.clock.advance(20_000);
    let sentBytes = 0;
    cluster.network.observe = (_from, _to, bytes) => {
      sentBytes += bytes.length;
    };
    await cluster.clock.advance(10_000);
    expect(sentBytes / 24 / 10).toBeLessThan(9000);
    expect(sentBytes).toBeGreaterThan(0);
  });

  it('cause no datagrams and no calls of the store on a day without any', async () => {
    const cluster = new EngineCluster(12);
    await cluster.clock.advance(1000);
    const { sentDatagrams } = cluster.network;
    const { reads } = cluster.store;
    sendSoundRequests(cluster, 10_000);
    await cluster.clock.advance(11_000);
    expect(cluster.network.sentDatagrams).toBe(sentDatagrams);
    expect(cluster.store).toMatchObject({ reads, writes: 0 });
  });
});
