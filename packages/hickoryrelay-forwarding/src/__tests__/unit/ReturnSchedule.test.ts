import { describe, expect, it } from 'vitest';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { ReturnSchedule } from 'hickoryrelay-forwarding/ReturnSchedule';

import { makeEndpoint, makeHarness, makeResponse } from './ForwardingFixture.js';

function setUp(limits: readonly (number | undefined)[]) {
  const registry = new EndpointRegistry(new PeerLoads());
  registry.replace(limits.map((_limit, index) => makeEndpoint(`e${index}`)));
  const states = registry.readyEndpoints('desk');
  states.forEach(({ availability }, index) =>
    availability.rateLimit.receive({ requestsPerSecond: limits[index] }, 0, 0),
  );
  return { registry, states, schedule: new ReturnSchedule(registry) };
}

describe('ReturnSchedule', () => {
  // Guards against callers who are all told the time of the same token.
  it('tells callers the times of successive tokens', () => {
    const { schedule } = setUp([1, 1]);
    const waits = Array.from({ length: 4 }, () => schedule.nextMilliseconds('desk', 0));
    expect(waits).toEqual([1000, 1500, 2000, 2500]);
    expect(schedule.nextMilliseconds('desk', 2000)).toBe(1000);
  });

  it('puts callers off for 10 s at most, unless the first token comes later', () => {
    const { schedule } = setUp([1]);
    const waits = Array.from({ length: 50 }, () => schedule.nextMilliseconds('desk', 0));
    expect(Math.max(...waits)).toBe(10_000);
    expect(setUp([0.05]).schedule.nextMilliseconds('desk', 0)).toBe(10_000);
  });

  it('does not space callers while an endpoint without a limit takes requests', () => {
    const { schedule } = setUp([1, undefined]);
    const waits = Array.from({ length: 3 }, () => schedule.nextMilliseconds('desk', 0));
    expect(waits).toEqual([300, 300, 300]);
  });

  // Guards against callers of a full service who all return at the same time.
  it('tells callers of a full service the times of successive requests that end', () => {
    const { schedule } = setUp([undefined]);
    const times = Array.from({ length: 3 }, () => schedule.next('desk', 0, 5000, 10));
    expect(times.map(({ milliseconds }) => milliseconds)).toEqual([300, 400, 500]);
    expect(times.every(({ isInSequence }) => isInSequence)).toBe(true);
    expect(schedule.next('desk', 2000, 5000, 10).milliseconds).toBe(300);
  });

  // Guards against places in the sequence that are lost to callers who do not return.
  it('keeps no place for a caller that does not wait as long', () => {
    const { schedule } = setUp([undefined]);
    const waits = [5000, 350, 5000].map(
      (patience) => schedule.next('desk', 0, patience, 10).milliseconds,
    );
    expect(waits).toEqual([300, 400, 400]);
  });

  it('puts callers of a full service off for 10 s at most', () => {
    const { schedule } = setUp([undefined]);
    const waits = Array.from(
      { length: 50 },
      () => schedule.next('desk', 0, 60_000, 1).milliseconds,
    );
    expect(Math.max(...waits)).toBe(10_000);
  });

  it.each([Number.NaN, 0, -1])('does not space callers with a rate of %s', (drainPerSecond) => {
    const { schedule } = setUp([undefined]);
    const waits = Array.from(
      { length: 2 },
      () => schedule.next('desk', 0, 5000, drainPerSecond).milliseconds,
    );
    expect(waits).toEqual([300, 300]);
  });

  // Guards against a return as soon as a prefill engine has a token, which runs no request alone.
  it('tells callers the time of a token of a decode engine', () => {
    const registry = new EndpointRegistry(new PeerLoads());
    registry.replace([
      makeEndpoint('p', { service: 'model', stage: EngineStage.Prefill }),
      makeEndpoint('decode', { service: 'model', stage: EngineStage.Decode }),
    ]);
    registry
      .readyEndpoints('model')[1]
      ?.availability.rateLimit.receive({ requestsPerSecond: 0.5 }, 0, 0);
    expect(new ReturnSchedule(registry).nextMilliseconds('model', 0)).toBe(2000);
  });

  // Guards against tokens of endpoints that take no requests for another reason.
  it('counts only the tokens of endpoints without a backoff', () => {
    const { schedule, states } = setUp([1, 1]);
    const [first] = states;
    const notice = { isLeaving: false, backoffMilliseconds: 60_000, isAccepted: false };
    first?.availability.receive(notice, first.availability.startRequest(0), 0);
    const waits = Array.from({ length: 3 }, () => schedule.nextMilliseconds('desk', 0));
    expect(waits).toEqual([1000, 2000, 3000]);
  });
});

describe('a request to a service whose endpoints all have rate limits', () => {
  it('is refused at once as not run, and may return when there is a token', async () => {
    const harness = makeHarness({ behaviours: [async () => makeResponse(['done'])] });
    for (const { availability } of harness.registry.readyEndpoints('desk')) {
      availability.rateLimit.receive({ requestsPerSecond: 0.5 }, 0, 0);
    }
    await harness.run();
    expect(harness.link.sent).toHaveLength(0);
    expect(harness.sink.own?.status).toBe(503);
    expect(harness.sink.own?.retryAfterMilliseconds).toBeGreaterThanOrEqual(2000);
    await harness.clock.advance(2000);
    await harness.run();
    expect(harness.sink.head?.status).toBe(200);
  });

  // Guards against a second attempt beyond the limit of the endpoint that is left.
  it('is not retried without a token', async () => {
    const harness = makeHarness({
      behaviours: [async () => makeResponse([], { status: 503, isNotRun: true })],
    });
    const [first, second] = harness.registry.readyEndpoints('desk');
    first?.availability.rateLimit.receive({ requestsPerSecond: 1 }, 0, 0);
    second?.availability.rateLimit.receive({ requestsPerSecond: 0.5 }, 0, 0);
    await harness.clock.advance(1000);
    await harness.run();
    expect(harness.link.sent.map(({ endpoint }) => endpoint.identifier)).toEqual(['e1']);
    expect(harness.sink.own?.status).toBe(503);
  });
});
