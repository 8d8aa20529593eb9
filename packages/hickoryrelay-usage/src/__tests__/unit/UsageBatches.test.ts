import { describe, expect, it } from 'vitest';

import { startInstance, UsageSimulation } from './UsageSimulation.js';

import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { PeerMessage } from 'hickoryrelay-link/PeerMessages';

interface SentMessage {
  readonly atMilliseconds: number;
  readonly from: string;
  readonly message: PeerMessage;
}

function callOf(request: string): ServiceCall {
  return {
    ...{ kind: 'service', requestIdentifier: request, accountName: request, className: 'work' },
    ...{ route: 'book', idempotencyKey: request, method: 'POST', path: '/', body: Buffer.from('') },
  } as ServiceCall;
}

/** Two instances, the first of which has chosen its replica peer. Records later messages. */
async function startPair() {
  const simulation = new UsageSimulation(1);
  const first = startInstance(simulation, 'a-1', 'zone-a');
  const second = startInstance(simulation, 'a-2', 'zone-a');
  await simulation.clock.advance(1010);
  const sent: SentMessage[] = [];
  simulation.observers.push((from, to, message) => {
    sent.push({ atMilliseconds: simulation.now(), from, message });
  });
  const sentOfType = (type: PeerMessage['type']) =>
    sent.filter(({ message }) => message.type === type);
  return { simulation, first, second, sentOfType };
}

describe('batches of usage records', () => {
  // Guards against open records that are sent again because their acknowledgement is delayed.
  it('acknowledges an open record once, within a batch interval', async () => {
    const { simulation, first, sentOfType } = await startPair();
    first.usage.meter.open(callOf('one'), 'engine-1');
    await simulation.clock.advance(5000);
    const [openMessage, ...repeated] = sentOfType('usage-open');
    const [acknowledgement, ...others] = sentOfType('usage-acknowledged');
    expect([repeated, others]).toEqual([[], []]);
    const elapsedMilliseconds =
      (acknowledgement?.atMilliseconds ?? Infinity) - (openMessage?.atMilliseconds ?? 0);
    expect(elapsedMilliseconds).toBeLessThanOrEqual(260);
  });

  // Guards against delaying the last chunk of a response until the next batch.
  it('acknowledges a closed record at once, even if the replica peer lacks it', async () => {
    const { simulation, first, sentOfType } = await startPair();
    const short = first.usage.meter.open(callOf('short'), 'engine-1');
    const closed = short.close({ promptTokens: 1, completionTokens: 2 });
    const start = simulation.now();
    await simulation.clock.advance(60);
    await closed;
    expect(sentOfType('usage-open').length).toBe(1);
    const [acknowledgement] = sentOfType('usage-acknowledged');
    expect((acknowledgement?.atMilliseconds ?? Infinity) - start).toBeLessThanOrEqual(50);
    expect(first.usage.meter.counts.closedUnacknowledged).toBe(0);
  });

  // Guards against separate acknowledgement messages for open and closed records.
  it('acknowledges open records together with the next closed one', async () => {
    const { simulation, first, sentOfType } = await startPair();
    const early = first.usage.meter.open(callOf('early'), 'engine-1');
    await simulation.clock.advance(600);
    const before = sentOfType('usage-acknowledged').length;
    first.usage.meter.open(callOf('late'), 'engine-1');
    void early.close({ promptTokens: 1, completionTokens: 2 });
    await simulation.clock.advance(240);
    const numbers = sentOfType('usage-acknowledged')
      .slice(before)
      .flatMap(({ message }) => (message.type === 'usage-acknowledged' ? message.numbers : []));
    expect(sentOfType('usage-close').length).toBe(1);
    expect(new Set(numbers).size).toBe(numbers.length);
    await simulation.clock.advance(3000);
    expect(sentOfType('usage-open').length).toBe(2);
    expect(sentOfType('usage-close').length).toBe(1);
  });

  // Guards against progress in every batch, which sent 25% more bytes.
  it('sends progress once a second at most', async () => {
    const { simulation, first, second, sentOfType } = await startPair();
    const running = first.usage.meter.open(callOf('long'), 'engine-1');
    for (let step = 1; step <= 50; step += 1) {
      running.progress(step * 200);
      await simulation.clock.advance(100);
    }
    const times = sentOfType('usage-progress').map(({ atMilliseconds }) => atMilliseconds);
    expect(times.length).toBeGreaterThanOrEqual(4);
    const intervals = times.slice(1).map((time, index) => time - (times[index] ?? 0));
    expect(Math.min(...intervals)).toBeGreaterThanOrEqual(1000);
    expect(second.usage.replica.size).toBe(1);
  });
});
