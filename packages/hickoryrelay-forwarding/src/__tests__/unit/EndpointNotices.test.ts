import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { EndpointNotices } from 'hickoryrelay-forwarding/EndpointNotices';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { ForwardingMetrics } from 'hickoryrelay-forwarding/ForwardingMetrics';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

import {
  makeEndpoint,
  makeRequest,
  makeResponse,
  makeRouteHarness,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';

import type { SendPermit } from 'hickoryrelay-endpoint/EndpointAvailability';
import type { ReceivedNotice } from 'hickoryrelay-forwarding/EndpointLink';
import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { EndpointState } from 'hickoryrelay-forwarding/EndpointState';

const LEAVING = {
  isLeaving: true,
  backoffMilliseconds: undefined,
  isAccepted: true,
  isMisdirected: false,
};

function setUp(records: readonly EndpointRecord[]) {
  const lines: string[] = [];
  const write = (sentence: string) => lines.push(sentence);
  const log = { debug: write, info: write, warn: write, error: write };
  const registry = new EndpointRegistry(new PeerLoads());
  const clock = new ManualClock();
  const metrics = new ForwardingMetrics();
  registry.replace(records);
  const notices = new EndpointNotices({ registry, clock, metrics, log });
  const stateOf = ({ identifier, service }: EndpointRecord) =>
    registry
      .readyEndpoints(service)
      .find(({ record }) => record.identifier === identifier) as EndpointState;
  const receive = (state: EndpointState, notice: ReceivedNotice, request = 'request-1') =>
    notices.receive(state, state.availability.startRequest(0), notice, request);
  return { registry, clock, metrics, notices, receive, lines, stateOf };
}

describe('EndpointNotices', () => {
  const endpoint = makeEndpoint('e1');

  it('logs and counts once that an endpoint is leaving', () => {
    const { receive, lines, metrics, stateOf } = setUp([endpoint]);
    const state = stateOf(endpoint);
    for (let count = 0; count < 3; count += 1) {
      receive(state, LEAVING, `request-${count}`);
    }
    expect(lines).toHaveLength(1);
    expect(metrics.render()).toContain('hickoryrelay_endpoints_leaving_total 1\n');
  });

  // Guards against requests to an endpoint that answered in place of the one addressed.
  it('applies the notice of a misdirected response to all endpoints at the address', () => {
    const successor = makeEndpoint('e2', { address: endpoint.address });
    const other = makeEndpoint('e33');
    const { receive, registry, stateOf } = setUp([endpoint, successor, other]);
    receive(stateOf(endpoint), { ...LEAVING, isMisdirected: true });
    expect([endpoint, successor, other].map((record) => registry.allowsRequest(record, 0))).toEqual(
      [false, false, true],
    );
  });

  // Guards against a notice that is lost because its request was sent before the registration expired.
  it('keeps the notice of a request that was in flight while the registration was missing', () => {
    const { receive, registry, stateOf } = setUp([endpoint]);
    const state = stateOf(endpoint);
    registry.replace([]);
    receive(state, LEAVING);
    registry.replace([endpoint]);
    expect(registry.allowsRequest(endpoint, 0)).toBe(false);
  });

  // Guards against requests to a restarted endpoint that has asked for none, in response to a request
  // for its earlier incarnation and while its own registration was missing.
  it('keeps a backoff that was received while the registration of its sender was missing', () => {
    const { receive, registry, clock, stateOf } = setUp([endpoint]);
    const state = stateOf(endpoint);
    const restarted = { ...endpoint, startedMilliseconds: clock.wallMilliseconds() };
    registry.replace([restarted]);
    registry.replace([]);
    receive(state, { ...LEAVING, isLeaving: false, isAccepted: false, backoffMilliseconds: 9000 });
    registry.replace([restarted]);
    expect(registry.allowsRequest(restarted, 0)).toBe(false);
    expect(registry.allowsRequest(restarted, 9000)).toBe(true);
  });

  it('reports a new incarnation of a leaving endpoint as restarted, and only once', () => {
    const { receive, registry, clock, stateOf } = setUp([endpoint]);
    receive(stateOf(endpoint), LEAVING);
    const restarted = { ...endpoint, startedMilliseconds: clock.wallMilliseconds() + 1 };
    expect(registry.replace([restarted])).toEqual([restarted]);
    expect(registry.replace([restarted])).toEqual([]);
    expect(registry.allowsRequest(restarted, 0)).toBe(true);
  });

  // Guards against a log line for each refused request, and for each refused probe.
  it('logs and counts a backoff once, and once that the endpoint takes requests again', async () => {
    const { notices, clock, lines, metrics, stateOf } = setUp([endpoint]);
    const state = stateOf(endpoint);
    const send = (notice: Partial<ReceivedNotice>) => {
      const permit = state.availability.startRequest(clock.monotonicMilliseconds());
      notices.receive(state, permit, { ...LEAVING, isLeaving: false, ...notice }, 'request-1');
      permit.end();
    };
    const refused = { isAccepted: false, backoffMilliseconds: 1000 };
    for (let round = 0; round < 5; round += 1) {
      send(refused);
      send(refused);
      await clock.advance(1000);
    }
    send({});
    send({});
    expect(lines).toEqual([
      'An endpoint asked for no requests for a time.',
      'An endpoint takes requests again.',
    ]);
    expect(metrics.render()).toContain('hickoryrelay_endpoint_backoffs_total 1\n');
  });

  const limitedTo = (requestsPerSecond: number | undefined, isMisdirected = false) => ({
    ...LEAVING,
    isLeaving: false,
    isMisdirected,
    rateLimit: { requestsPerSecond },
  });

  const limitOf = ({ availability }: EndpointState) => availability.rateLimit.requestsPerSecond;

  it('logs and counts a rate limit when it is named, changes noticeably and ends', async () => {
    const { notices, clock, lines, metrics, stateOf } = setUp([endpoint]);
    const state = stateOf(endpoint);
    for (const limit of [undefined, 5, 5, 5.1, 9, undefined, undefined]) {
      const permit = state.availability.startRequest(clock.monotonicMilliseconds());
      await clock.advance(1);
      notices.receive(state, permit, limitedTo(limit), 'request-1');
      await clock.advance(1);
    }
    expect(lines).toEqual([
      'An endpoint named a rate limit.',
      'An endpoint named a rate limit.',
      'An endpoint named no rate limit any more.',
    ]);
    expect(metrics.render()).toContain('hickoryrelay_endpoint_rate_limits_total 2\n');
  });

  // Guards against a limit that ends by the response of another endpoint.
  it('applies a limit to all endpoints at the address, and ends it only for the sole one', async () => {
    const successor = makeEndpoint('e2', { address: endpoint.address });
    const { receive, registry, clock, notices, stateOf } = setUp([endpoint, successor]);
    const [first, second] = [stateOf(endpoint), stateOf(successor)];
    receive(first, limitedTo(5));
    expect([first, second].map(limitOf)).toEqual([5, 5]);
    await clock.advance(10);
    const respond = (notice: ReceivedNotice) => {
      const permit = second.availability.startRequest(clock.monotonicMilliseconds());
      notices.receive(second, permit, notice, 'request-2');
    };
    respond(limitedTo(undefined));
    respond(limitedTo(9));
    expect([first, second].map(limitOf)).toEqual([5, 5]);
    registry.replace([successor]);
    respond(limitedTo(undefined, true));
    expect(limitOf(second)).toBe(5);
    respond(limitedTo(undefined));
    expect(limitOf(second)).toBeUndefined();
  });

  // Guards against a limit that is lost with a registration that lapses and comes back.
  it('keeps the limit of an endpoint whose registration is missing, and of its successor', () => {
    const { receive, registry, clock, stateOf } = setUp([endpoint]);
    const state = stateOf(endpoint);
    registry.replace([]);
    receive(state, limitedTo(5));
    registry.replace([endpoint]);
    expect(limitOf(stateOf(endpoint))).toBe(5);
    const restarted = { ...endpoint, startedMilliseconds: clock.wallMilliseconds() };
    registry.replace([restarted]);
    expect(limitOf(stateOf(restarted))).toBe(5);
    const later = { ...endpoint, startedMilliseconds: clock.wallMilliseconds() + 1 };
    registry.replace([later]);
    expect(limitOf(stateOf(later))).toBeUndefined();
  });

  // Guards against an endpoint that is out of use for good because its start is not known.
  it('does not apply the notice of an earlier endpoint at the address to one of unknown start', () => {
    const { receive, registry, stateOf } = setUp([endpoint]);
    receive(stateOf(endpoint), LEAVING);
    const other = makeEndpoint('other', { address: endpoint.address, startedMilliseconds: 0 });
    registry.replace([other]);
    expect(registry.allowsRequest(other, 0)).toBe(true);
  });

  // Guards against memory that grows with each endpoint that has ever been registered.
  it('forgets the endpoints that have been unregistered for longest', () => {
    const { receive, registry, stateOf } = setUp([endpoint]);
    receive(stateOf(endpoint), LEAVING);
    for (let count = 0; count < 300; count += 1) {
      registry.replace([makeEndpoint(`other-${count}`)]);
    }
    registry.replace([endpoint]);
    expect(registry.allowsRequest(endpoint, 0)).toBe(true);
  });
});

describe('the KV cache of a prefilled prompt', () => {
  // Guards against a release that reaches an engine in the time for which it asked for no requests.
  it.each([
    [undefined, 1],
    [5000, 0],
  ])('is released unless its engine has asked for none for %s ms', async (milliseconds, count) => {
    const address = '10.0.0.9:1';
    const engine = { service: 'model', slots: 12 };
    const prefillEngine = makeEndpoint('p', { ...engine, address, stage: EngineStage.Prefill });
    const decodeEngine = makeEndpoint('decode', { ...engine, stage: EngineStage.Decode });
    const route = { ...RESUMABLE_STREAM, services: [{ service: 'model', weight: 1 }] };
    const harness = makeRouteHarness(
      { ...route, latencyTargetMilliseconds: 600, maximumAttempts: 1 },
      [
        async () => {
          const [state] = harness.registry.atAddress(address);
          const permit = state?.availability.startRequest(0) as SendPermit;
          const notice = { isLeaving: false, backoffMilliseconds: milliseconds, isAccepted: false };
          state?.availability.receive(notice, permit, 0);
          return makeResponse([], { status: 503, isNotRun: true });
        },
      ],
      { endpoints: [prefillEngine, decodeEngine] },
    );
    await harness.run(makeRequest({ promptSegments: [{ identifier: 'own', tokens: 16_000 }] }));
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.link.released).toHaveLength(count);
  });

  // Guards against a release that the rate limit of the engine does not allow.
  it('is released only with a token of an engine that has a rate limit', async () => {
    const address = '10.0.0.9:1';
    const engine = { service: 'model', slots: 12 };
    const prefillEngine = makeEndpoint('p', { ...engine, address, stage: EngineStage.Prefill });
    const decodeEngine = makeEndpoint('decode', { ...engine, stage: EngineStage.Decode });
    const route = { ...RESUMABLE_STREAM, services: [{ service: 'model', weight: 1 }] };
    const harness = makeRouteHarness(
      { ...route, latencyTargetMilliseconds: 600, maximumAttempts: 1 },
      [async () => makeResponse([], { status: 503, isNotRun: true })],
      { endpoints: [prefillEngine, decodeEngine] },
    );
    const [state] = harness.registry.atAddress(address);
    state?.availability.rateLimit.receive({ requestsPerSecond: 1 }, 0, 0);
    harness.link.onPrefill = () => harness.link.prefills.at(-1)?.permit.tryUse();
    await harness.clock.advance(1000);
    await harness.run(
      makeRequest({
        arrivedMilliseconds: 1000,
        arrivedSuspensionMilliseconds: 1000,
        promptSegments: [{ identifier: 'own', tokens: 16_000 }],
      }),
    );
    expect(harness.link.prefills).toHaveLength(1);
    expect(harness.link.released).toHaveLength(0);
  });
});
