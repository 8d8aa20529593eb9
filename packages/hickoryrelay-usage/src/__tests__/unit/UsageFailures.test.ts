import { describe, expect, it } from 'vitest';

import { UsageMerge } from '../../UsageMerge.js';
import { callOf, createUsageFixture, WINDOW_MILLISECONDS } from './UsageFixture.js';
import { startInstance, UsageSimulation } from './UsageSimulation.js';

import type { AdoptedRecordEntry } from 'hickoryrelay-link/PeerMessages';

describe('usage records during failures', () => {
  // Guards against running calls that are never billed because their instance was killed.
  it('counts a running call of a killed instance with the count of the engine', async () => {
    const { simulation, second, lines } = createUsageFixture();
    await simulation.clock.advance(1000);
    second.usage.meter.open(callOf('running'), 'engine-1');
    simulation.engineCounts.set('running', () => ({
      ...{ isFinished: true, promptTokens: 5, completionTokens: 11 },
    }));
    await simulation.clock.advance(1000);
    second.kill();
    await simulation.clock.advance(3 * WINDOW_MILLISECONDS);
    expect(lines().map(([account, , , , ...counts]) => [account, ...counts])).toEqual([
      ['running', 1, 5, 11],
    ]);
  });

  // Guards against records that are lost because their replica peers fail one after the other.
  it('sends its records again when both replica peers are lost', async () => {
    const { simulation, first, second, third, remote } = createUsageFixture();
    await simulation.clock.advance(1000);
    await Promise.all([
      first.usage.meter.open(callOf('kept'), 'engine-1').close({
        ...{ promptTokens: 1, completionTokens: 2 },
      }),
      simulation.clock.advance(1000),
    ]);
    const replicaPeers = [second, third, remote].filter((each) => each.usage.replica.size > 0);
    expect(replicaPeers.length).toBe(2);
    replicaPeers.forEach((replicaPeer) => replicaPeer.kill());
    await simulation.clock.advance(4000);
    const live = simulation.live.filter((each) => each !== first);
    expect(live.map(({ usage }) => usage.replica.size)).toEqual([1]);
  });

  // Guards against a close that never resolves, or does not count that there is no replica.
  it('resolves a close without a peer and counts it', async () => {
    const simulation = new UsageSimulation(1);
    const alone = startInstance(simulation, 'a-1', 'zone-a');
    await alone.usage.meter.open(callOf('alone'), 'engine-1').close({
      ...{ promptTokens: 1, completionTokens: 2 },
    });
    expect(alone.usage.meter.counts.closedWithoutPeer).toBe(1);
  });

  // Guards against a close that stays unacknowledged because a message was lost.
  it('sends a lost closed record again', async () => {
    const { simulation, first } = createUsageFixture();
    await simulation.clock.advance(1000);
    simulation.faults.messageLoss = 1;
    const closed = first.usage.meter.open(callOf('resent'), 'engine-1').close({
      ...{ promptTokens: 1, completionTokens: 2 },
    });
    await simulation.clock.advance(500);
    simulation.faults.messageLoss = 0;
    await simulation.clock.advance(1500);
    await closed;
    expect(first.usage.meter.counts.closedUnacknowledged).toBe(0);
  });

  // Guards against counting a record twice when the seal of an earlier authority holder is late.
  it('rejects the late seal of an earlier authority holder', async () => {
    const { simulation, first, second, lines } = createUsageFixture();
    // The window before the record is sealed and reported first.
    await simulation.clock.advance(16_000);
    void second.usage.meter.open(callOf('once'), 'engine-1').close({
      ...{ promptTokens: 1, completionTokens: 2 },
    });
    const { store } = first;
    const commit = store.commit.bind(store);
    const delayed: (() => void)[] = [];
    store.commit = async (transaction) => {
      await new Promise<void>((resolve) => {
        delayed.push(resolve);
      });
      return commit(transaction);
    };
    await simulation.clock.advance(WINDOW_MILLISECONDS);
    expect(delayed.length).toBe(1);
    first.loseAuthority();
    // The successor seals a later window, in which the record is a correction.
    await simulation.clock.advance(WINDOW_MILLISECONDS);
    simulation.grantAuthority('zone-a', second);
    await simulation.clock.advance(WINDOW_MILLISECONDS);
    expect(lines().length).toBe(1);
    delayed.forEach((release) => release());
    await simulation.clock.advance(2 * WINDOW_MILLISECONDS);
    expect(lines().map(([account]) => account)).toEqual(['once']);
  });
});

describe('merged statements', () => {
  const entry = (completionTokens: number, isFromOwner: boolean): AdoptedRecordEntry => [
    ...([1, 'account', 'work', 'book', 3, completionTokens, 100, isFromOwner] as const),
  ];
  const statementWith = (incarnation: string, record: AdoptedRecordEntry) => ({
    ...{ incarnation, own: undefined, adopted: [['dead', [record]]] as const },
  });

  // Guards against an engine's count that replaces the count of the instance.
  it('counts one version of a record and prefers that of its own instance', () => {
    const merge = new UsageMerge([], 100);
    merge.addAll([statementWith('one', entry(90, false)), statementWith('two', entry(80, true))]);
    expect(merge.lines).toEqual([['account', 'work', 'book', 100, 1, 3, 80]]);
    merge.addAll([statementWith('one', entry(90, false))]);
    expect(merge.lines.map((line) => line[4])).toEqual([1]);
  });

  // Guards against counting a record twice as part of a sum.
  it('rejects a statement that includes a counted record', () => {
    const merge = new UsageMerge([['live', { upTo: 3, gaps: [2, 1] }, 99]], 100);
    const lines = [['account', 'work', 'book', 100, 2, 3, 4]] as const;
    merge.addAll([{ incarnation: 'live', own: { sequences: [2, 2], lines }, adopted: [] }]);
    expect(merge.lines).toEqual([]);
    merge.addAll([{ incarnation: 'live', own: { sequences: [2, 1, 1, 1], lines }, adopted: [] }]);
    expect(merge.sealedMarks).toEqual([['live', { upTo: 4, gaps: [] }, 100]]);
  });
});
