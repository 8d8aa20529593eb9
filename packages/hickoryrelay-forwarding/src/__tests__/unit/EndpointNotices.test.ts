import { describe, expect, it } from 'vitest';
import { EndpointNotices } from 'hickoryrelay-forwarding/EndpointNotices';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { ForwardingMetrics } from 'hickoryrelay-forwarding/ForwardingMetrics';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

import { makeEndpoint } from './ForwardingFixture.js';

import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { EndpointState } from 'hickoryrelay-forwarding/EndpointState';

const LEAVING = { isLeaving: true, isMisdirected: false };

function setUp(records: readonly EndpointRecord[]) {
  const lines: string[] = [];
  const write = (sentence: string) => lines.push(sentence);
  const log = { debug: write, info: write, warn: write, error: write };
  const registry = new EndpointRegistry(new PeerLoads());
  const metrics = new ForwardingMetrics();
  registry.replace(records);
  const notices = new EndpointNotices({ registry, metrics, log });
  const stateOf = ({ identifier, service }: EndpointRecord) =>
    registry
      .readyEndpoints(service)
      .find(({ record }) => record.identifier === identifier) as EndpointState;
  return { registry, metrics, notices, lines, stateOf };
}

describe('EndpointNotices', () => {
  const endpoint = makeEndpoint('e1');

  it('logs and counts once that an endpoint is leaving', () => {
    const { notices, lines, metrics, stateOf } = setUp([endpoint]);
    const state = stateOf(endpoint);
    for (let count = 0; count < 3; count += 1) {
      notices.receive(state, LEAVING, `request-${count}`);
    }
    expect(lines).toHaveLength(1);
    expect(metrics.render()).toContain('hickoryrelay_endpoints_leaving_total 1\n');
  });

  // Guards against requests to an endpoint that answered in place of the one addressed.
  it('applies the notice of a misdirected response to all endpoints at the address', () => {
    const successor = makeEndpoint('e2', { address: endpoint.address });
    const other = makeEndpoint('e33');
    const { notices, registry, stateOf } = setUp([endpoint, successor, other]);
    notices.receive(stateOf(endpoint), { ...LEAVING, isMisdirected: true }, 'request-1');
    expect([endpoint, successor, other].map((record) => registry.allowsRequest(record))).toEqual([
      false,
      false,
      true,
    ]);
  });

  // Guards against a notice that is lost because its request was sent before the registration expired.
  it('keeps the notice of a request that was in flight while the registration was missing', () => {
    const { notices, registry, stateOf } = setUp([endpoint]);
    const state = stateOf(endpoint);
    registry.replace([]);
    notices.receive(state, LEAVING, 'request-1');
    registry.replace([endpoint]);
    expect(registry.allowsRequest(endpoint)).toBe(false);
  });

  it('reports a new incarnation of a leaving endpoint as restarted, and only once', () => {
    const { notices, registry, stateOf } = setUp([endpoint]);
    notices.receive(stateOf(endpoint), LEAVING, 'request-1');
    const restarted = { ...endpoint, startedMilliseconds: 2 };
    expect(registry.replace([restarted])).toEqual([restarted]);
    expect(registry.replace([restarted])).toEqual([]);
    expect(registry.allowsRequest(restarted)).toBe(true);
  });

  // Guards against memory that grows with each endpoint that has ever been registered.
  it('forgets the endpoints that have been unregistered for longest', () => {
    const { notices, registry, stateOf } = setUp([endpoint]);
    notices.receive(stateOf(endpoint), LEAVING, 'request-1');
    for (let count = 0; count < 300; count += 1) {
      registry.replace([makeEndpoint(`other-${count}`)]);
    }
    registry.replace([endpoint]);
    expect(registry.allowsRequest(endpoint)).toBe(true);
  });
});
