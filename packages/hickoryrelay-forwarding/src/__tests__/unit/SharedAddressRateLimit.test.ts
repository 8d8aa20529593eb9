import { describe, expect, it } from 'vitest';
import { EndpointPhase } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

describe('The rate limit of an endpoint with two registrations', () => {
  // Guards against an endpoint that gets its limit once for each of its registrations.
  it('is not exceeded by requests for both', () => {
    const registry = new EndpointRegistry(new PeerLoads());
    const records = ['e-1', 'e-2'].map((identifier) => ({
      identifier,
      service: 'desk',
      address: '127.0.0.1:1',
      zone: 'z',
      slots: 4,
      phase: EndpointPhase.Ready,
      startedMilliseconds: 0,
      isReclaimable: false,
    }));
    registry.replace(records);
    const states = registry.atAddress('127.0.0.1:1');
    states.forEach(({ availability }) =>
      availability.rateLimit.receive({ requestsPerSecond: 4 }, 0, 0),
    );
    let taken = 0;
    for (let now = 0; now <= 4000; now += 10) {
      for (const { availability } of states) {
        taken += Number(availability.rateLimit.tryTake(now));
      }
    }
    expect(states).toHaveLength(2);
    expect(taken).toBeLessThanOrEqual(6 * 4 + 5);
  });
});
