import { describe, expect, it } from 'vitest';
import { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

import { makeEndpoint } from './ForwardingFixture.js';

const makeState = () => new EndpointState(makeEndpoint('e'), new PeerLoads());

describe('EndpointState', () => {
  // Guards against requests that keep going to a failing endpoint.
  it('ejects an endpoint after consecutive failures, for longer each time', () => {
    const state = makeState();
    const durations: number[] = [];
    let now = 0;
    for (let round = 0; round < 3; round += 1) {
      for (let failure = 0; failure < 3; failure += 1) {
        state.recordFailure(now);
      }
      expect(state.isEjected(now)).toBe(true);
      const ejectedAt = now;
      while (state.isEjected(now)) {
        now += 10;
      }
      durations.push(now - ejectedAt);
    }
    expect(durations[1]).toBeGreaterThan(durations[0] ?? 0);
    expect(durations[2]).toBeGreaterThan(durations[1] ?? 0);
  });

  it('does not eject an endpoint for failures interspersed with successes', () => {
    const state = makeState();
    for (let now = 0; now < 1000; now += 10) {
      state.recordFailure(now);
      state.recordSuccess(now);
      expect(state.isEjected(now)).toBe(false);
    }
  });

  // Guards against requests to an endpoint that stopped responding but keeps its connections open.
  it('counts an endpoint as unresponsive only while requests are in flight', () => {
    const state = makeState();
    expect(state.isUnresponsive(10_000)).toBe(false);
    state.beginRequest(0);
    expect(state.isUnresponsive(100)).toBe(false);
    expect(state.isUnresponsive(5000)).toBe(true);
    state.recordActivity(5000);
    expect(state.isUnresponsive(5100)).toBe(false);
    state.finishRequest();
    expect(state.isUnresponsive(60_000)).toBe(false);
  });

  // Guards against an endpoint that is avoided forever after one slow response.
  it('lets the average delay decay, so that the endpoint is tried again', () => {
    const state = makeState();
    state.recordDelay(1000, 0);
    expect(state.excessDelayMilliseconds(0)).toBeGreaterThan(100);
    expect(state.excessDelayMilliseconds(20_000)).toBeLessThan(1);
  });
});
