import { describe, expect, it } from 'vitest';

import { UsageMerge } from '../../UsageMerge.js';
import { callOf, smallWorld, WINDOW } from './SmallWorld.js';
import { startInstance, World } from './TestWorld.js';

import type { AdoptedRecordEntry } from 'hickoryrelay-link/PeerMessages';

describe('usage records when parts fail', () => {
  // Guards against running calls that nobody bills because their instance was killed.
  it('counts a running call of a killed instance with the figure of the engine', async () => {
    const { world, second, lines } = smallWorld();
    await world.clock.advance(1000);
    second.usage.meter.open(callOf('running'), 'engine-1');
    world.engineCounts.set('running', () => ({
      ...{ isFinished: true, promptTokens: 5, completionTokens: 11 },
    }));
    await world.clock.advance(1000);
    second.kill();
    await world.clock.advance(3 * WINDOW);
    expect(lines().map(([account, , , , ...figures]) => [account, ...figures])).toEqual([
      ['running', 1, 5, 11],
    ]);
  });

  // Guards against records that are lost with the first holders, one after the other.
  it('sends its records again when both holders are lost', async () => {
    const { world, first, second, third, elsewhere } = smallWorld();
    await world.clock.advance(1000);
    await Promise.all([
      first.usage.meter.open(callOf('kept'), 'engine-1').close({
        ...{ promptTokens: 1, completionTokens: 2 },
      }),
      world.clock.advance(1000),
    ]);
    const holders = [second, third, elsewhere].filter((each) => each.usage.replica.size > 0);
    expect(holders.length).toBe(2);
    holders.forEach((holder) => holder.kill());
    await world.clock.advance(4000);
    const live = world.live.filter((each) => each !== first);
    expect(live.map(({ usage }) => usage.replica.size)).toEqual([1]);
  });

  // Guards against a close that waits for ever, or hides that no copy exists.
  it('resolves a close without a peer and counts it', async () => {
    const world = new World(1);
    const alone = startInstance(world, 'a-1', 'zone-a');
    await alone.usage.meter.open(callOf('alone'), 'engine-1').close({
      ...{ promptTokens: 1, completionTokens: 2 },
    });
    expect(alone.usage.meter.counts.closedWithoutPeer).toBe(1);
  });

  // Guards against a lost message that leaves a close unacknowledged.
  it('sends a lost closing again', async () => {
    const { world, first } = smallWorld();
    await world.clock.advance(1000);
    world.faults.messageLoss = 1;
    const closed = first.usage.meter.open(callOf('resent'), 'engine-1').close({
      ...{ promptTokens: 1, completionTokens: 2 },
    });
    await world.clock.advance(500);
    world.faults.messageLoss = 0;
    await world.clock.advance(1500);
    await closed;
    expect(first.usage.meter.counts.closedUnacknowledged).toBe(0);
  });

  // Guards against a seal of an earlier holder that reaches the service after its successor's.
  it('keeps the seal of an earlier holder from taking effect', async () => {
    const { world, first, second, lines } = smallWorld();
    // The window before the record is sealed and reported first.
    await world.clock.advance(16_000);
    void second.usage.meter.open(callOf('once'), 'engine-1').close({
      ...{ promptTokens: 1, completionTokens: 2 },
    });
    const { store } = first;
    const commit = store.commit.bind(store);
    const held: (() => void)[] = [];
    store.commit = async (transaction) => {
      await new Promise<void>((resolve) => {
        held.push(resolve);
      });
      return commit(transaction);
    };
    await world.clock.advance(WINDOW);
    expect(held.length).toBe(1);
    first.lose();
    // The successor seals a later window, in which the record is a correction.
    await world.clock.advance(WINDOW);
    world.grantAuthority('zone-a', second);
    await world.clock.advance(WINDOW);
    expect(lines().length).toBe(1);
    held.forEach((release) => release());
    await world.clock.advance(2 * WINDOW);
    expect(lines().map(([account]) => account)).toEqual(['once']);
  });
});

describe('merging of statements', () => {
  const entry = (figure: number, isOwn: boolean): AdoptedRecordEntry => [
    ...([1, 'account', 'work', 'book', 3, figure, 100, isOwn] as const),
  ];
  const stated = (incarnation: string, record: AdoptedRecordEntry) => ({
    ...{ incarnation, own: undefined, adopted: [['dead', [record]]] as const },
  });

  // Guards against an engine's count that replaces the figure that the instance acknowledged.
  it('counts one version of a record, the own figure of the instance first', () => {
    const merge = new UsageMerge([], 100);
    merge.addAll([stated('one', entry(90, false)), stated('two', entry(80, true))]);
    expect(merge.lines).toEqual([['account', 'work', 'book', 100, 1, 3, 80]]);
    merge.addAll([stated('one', entry(90, false))]);
    expect(merge.lines.map((line) => line[4])).toEqual([1]);
  });

  // Guards against a sum that is counted although one of its records was.
  it('refuses a statement that overlaps with what is counted', () => {
    const merge = new UsageMerge([['live', { upTo: 3, gaps: [2, 1] }, 99]], 100);
    const lines = [['account', 'work', 'book', 100, 2, 3, 4]] as const;
    merge.addAll([{ incarnation: 'live', own: { sequences: [2, 2], lines }, adopted: [] }]);
    expect(merge.lines).toEqual([]);
    merge.addAll([{ incarnation: 'live', own: { sequences: [2, 1, 1, 1], lines }, adopted: [] }]);
    expect(merge.sealedMarks).toEqual([['live', { upTo: 4, gaps: [] }, 100]]);
  });
});
