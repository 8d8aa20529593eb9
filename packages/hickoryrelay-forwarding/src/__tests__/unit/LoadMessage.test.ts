import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeLoad, encodeLoad } from 'hickoryrelay-forwarding/LoadMessage';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

const loadArbitrary = fastCheck.record({
  endpoint: fastCheck.nat(2 ** 32 - 1),
  running: fastCheck.nat(500),
  readingTokens: fastCheck.nat(10 ** 6),
  lateTokens: fastCheck.nat(10 ** 6),
});

const useArbitrary = fastCheck.record({
  engine: fastCheck.nat(2 ** 32 - 1),
  part: fastCheck.nat(2 ** 32 - 1),
});

describe('load messages', () => {
  it('come out as they went in', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.record({
          instance: fastCheck.string(),
          loads: fastCheck.array(loadArbitrary),
          uses: fastCheck.array(useArbitrary),
        }),
        (message) => {
          expect(decodeLoad(encodeLoad(message))).toEqual(message);
        },
      ),
    );
  });

  it('are dropped when they are not messages', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array({ maxLength: 60 }), (bytes) => {
        const message = decodeLoad(Buffer.from(bytes));
        expect(message === undefined || typeof message.instance === 'string').toBe(true);
      }),
    );
  });
});

describe('the load of peers', () => {
  const load = { endpoint: 5, running: 2, readingTokens: 10, lateTokens: 0 };

  it('adds up what peers said last', () => {
    const loads = new PeerLoads();
    loads.receive({ instance: 'a', loads: [load] }, 0);
    loads.receive({ instance: 'a', loads: [{ ...load, running: 3 }] }, 10);
    loads.receive({ instance: 'b', loads: [load] }, 20);
    expect(loads.loadOf(5)).toEqual({ running: 5, readingTokens: 20, lateTokens: 0 });
  });

  // Guards against load of a dead instance that keeps others away from an engine.
  it('forgets a peer that says nothing', () => {
    const loads = new PeerLoads();
    loads.receive({ instance: 'a', loads: [load] }, 0);
    loads.expire(2000);
    expect(loads.loadOf(5).running).toBe(0);
  });

  it('scales what is heard where only some peers are heard', () => {
    const loads = new PeerLoads();
    loads.setScale(3);
    loads.receive({ instance: 'a', loads: [load] }, 0);
    expect(loads.loadOf(5).running).toBe(6);
  });
});
