import { describe, expect, it } from 'vitest';
import { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

import { makeEndpoint } from './ForwardingFixture.js';

const makeState = () => new EndpointState(makeEndpoint('e'), new PeerLoads());

describe('what an instance has seen of an endpoint', () => {
  it('ejects it after failures in a row, for longer each time, and takes it back', () => {
    const state = makeState();
    const spans: number[] = [];
    let now = 0;
    for (let round = 0; round < 3; round += 1) {
      for (let failure = 0; failure < 3; failure += 1) {
        state.recordFailure(now);
      }
      expect(state.isEjected(now)).toBe(true);
      const begun = now;
      while (state.isEjected(now)) {
        now += 10;
      }
      spans.push(now - begun);
    }
    expect(spans[1]).toBeGreaterThan(spans[0] ?? 0);
    expect(spans[2]).toBeGreaterThan(spans[1] ?? 0);
  });

  it('does not eject it for failures among successes', () => {
    const state = makeState();
    for (let now = 0; now < 1000; now += 10) {
      state.recordFailure(now);
      state.recordSuccess(now);
      expect(state.isEjected(now)).toBe(false);
    }
  });

  // Guards against requests that are sent to an endpoint that went dark with open connections.
  it('finds it silent only while requests run there', () => {
    const state = makeState();
    expect(state.isSilent(10_000)).toBe(false);
    state.begin(0);
    expect(state.isSilent(100)).toBe(false);
    expect(state.isSilent(5000)).toBe(true);
    state.hear(5000);
    expect(state.isSilent(5100)).toBe(false);
    state.finish();
    expect(state.isSilent(60_000)).toBe(false);
  });

  it('forgets a delay after a while, so that the endpoint is tried again', () => {
    const state = makeState();
    state.recordDelay(1000, 0);
    expect(state.delay(0)).toBeGreaterThan(100);
    expect(state.delay(20_000)).toBeLessThan(1);
  });
});
