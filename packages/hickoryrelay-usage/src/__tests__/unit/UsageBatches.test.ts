import { describe, expect, it } from 'vitest';

import { startInstance, World } from './TestWorld.js';

import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { PeerMessage } from 'hickoryrelay-link/PeerMessages';

interface Sent {
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

/** Two instances, the first of which has found its holder; later messages are listed. */
async function pair() {
  const world = new World(1);
  const first = startInstance(world, 'a-1', 'zone-a');
  const second = startInstance(world, 'a-2', 'zone-a');
  await world.clock.advance(1010);
  const sent: Sent[] = [];
  world.observers.push((from, to, message) => {
    sent.push({ atMilliseconds: world.now(), from, message });
  });
  const of = (type: PeerMessage['type']) => sent.filter(({ message }) => message.type === type);
  return { world, first, second, of };
}

describe('the batches of usage records', () => {
  // Guards against openings that are sent again because their acknowledgement waits too long.
  it('acknowledges an opening within a batch, once', async () => {
    const { world, first, of } = await pair();
    first.usage.meter.open(callOf('one'), 'engine-1');
    await world.clock.advance(5000);
    const [opening, ...repeated] = of('usage-open');
    const [acknowledgement, ...others] = of('usage-acknowledged');
    expect([repeated, others]).toEqual([[], []]);
    const waited = (acknowledgement?.atMilliseconds ?? Infinity) - (opening?.atMilliseconds ?? 0);
    expect(waited).toBeLessThanOrEqual(260);
  });

  // Guards against a caller that waits for a batch before it gets its last piece.
  it('acknowledges a closing at once, also of a record that the holder lacks', async () => {
    const { world, first, of } = await pair();
    const short = first.usage.meter.open(callOf('short'), 'engine-1');
    const closed = short.close({ promptTokens: 1, completionTokens: 2 });
    const start = world.now();
    await world.clock.advance(60);
    await closed;
    expect(of('usage-open').length).toBe(1);
    const [acknowledgement] = of('usage-acknowledged');
    expect((acknowledgement?.atMilliseconds ?? Infinity) - start).toBeLessThanOrEqual(50);
    expect(first.usage.meter.counts.closedUnacknowledged).toBe(0);
  });

  // Guards against an acknowledgement message for each opening beside those of closings.
  it('acknowledges openings together with the next closing', async () => {
    const { world, first, of } = await pair();
    const early = first.usage.meter.open(callOf('early'), 'engine-1');
    await world.clock.advance(600);
    const before = of('usage-acknowledged').length;
    first.usage.meter.open(callOf('late'), 'engine-1');
    void early.close({ promptTokens: 1, completionTokens: 2 });
    await world.clock.advance(240);
    const numbers = of('usage-acknowledged')
      .slice(before)
      .flatMap(({ message }) => (message.type === 'usage-acknowledged' ? message.numbers : []));
    expect(of('usage-close').length).toBe(1);
    expect(new Set(numbers).size).toBe(numbers.length);
    await world.clock.advance(3000);
    expect(of('usage-open').length).toBe(2);
    expect(of('usage-close').length).toBe(1);
  });

  // Guards against progress in every batch, which took a quarter more bytes.
  it('sends progress once a second at most', async () => {
    const { world, first, second, of } = await pair();
    const running = first.usage.meter.open(callOf('long'), 'engine-1');
    for (let step = 1; step <= 50; step += 1) {
      running.progress(step * 200);
      await world.clock.advance(100);
    }
    const times = of('usage-progress').map(({ atMilliseconds }) => atMilliseconds);
    expect(times.length).toBeGreaterThanOrEqual(4);
    const gaps = times.slice(1).map((time, index) => time - (times[index] ?? 0));
    expect(Math.min(...gaps)).toBeGreaterThanOrEqual(1000);
    expect(second.usage.replica.size).toBe(1);
  });
});
