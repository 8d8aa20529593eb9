import { describe, expect, it } from 'vitest';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { RetrySemantics } from 'hickoryrelay-forwarding/ForwardingConfiguration';

import {
  answer,
  endpointFailure,
  makeConfiguration,
  makeEndpoint,
  makeRequest,
  makeRoute,
  makeWorld,
} from './ForwardingFixture.js';

import type { Behaviour, WorldOptions } from './ForwardingFixture.js';
import type { ForwardingRoute } from 'hickoryrelay-forwarding/ForwardingConfiguration';

const notRun: Behaviour = async () => answer([], { status: 503, isNotRun: true });
const good: Behaviour = async () => answer(['good']);
const lost: Behaviour = async () => {
  throw endpointFailure(true);
};
const unsent: Behaviour = async () => {
  throw endpointFailure(false);
};
const never: Behaviour = (_attempt, signal) =>
  new Promise((_resolve, reject) => {
    signal.addEventListener('abort', () => reject(endpointFailure(true)));
  });

function worldOf(
  route: Partial<ForwardingRoute>,
  behaviours: Behaviour[],
  more: WorldOptions = {},
) {
  const configuration = makeConfiguration({ routes: [makeRoute(route)] });
  return makeWorld({ configuration, behaviours, ...more });
}

const idempotent = { retrySemantics: RetrySemantics.Idempotent };
const stream = { retrySemantics: RetrySemantics.Resumable, isStreaming: true };

describe('a request that may run once', () => {
  it.each([
    ['the answer was lost', lost, 502],
    ['a success carries no signature', async () => answer(['x'], { isSigned: false }), 502],
    ['an answer breaks off', async () => answer(['x', endpointFailure(true)]), 502],
    // A 503 without the statement that the request has not run would be a false promise.
    ['an endpoint answers 503 after running it', async () => answer([], { status: 503 }), 502],
  ] as [string, Behaviour, number][])(
    'is not sent again after %s',
    async (_name, behaviour, status) => {
      const world = worldOf({}, [behaviour, good]);
      await world.run();
      expect(world.link.sent).toHaveLength(1);
      expect(world.sink.own).toMatchObject({ status });
      expect(world.sink.own?.retryAfterMilliseconds).toBeUndefined();
    },
  );

  it('is sent to another endpoint when the first states that it did not run it', async () => {
    const world = worldOf({}, [notRun, good]);
    await world.run();
    expect(world.link.sent.map(({ endpoint }) => endpoint.identifier).sort()).toEqual([
      'e1',
      'e22',
    ]);
    expect(world.sink).toMatchObject({ status: 200, text: 'good', isEnded: true });
  });

  it('is refused with a time to come back when no endpoint has run it', async () => {
    const world = worldOf({ maximumAttempts: 1 }, [notRun]);
    await world.run();
    expect(world.sink.own?.status).toBe(503);
    expect(world.sink.own?.retryAfterMilliseconds).toBeGreaterThan(0);
  });

  it('does not count a connection that was not opened as an attempt', async () => {
    const world = worldOf({ maximumAttempts: 1 }, [unsent, good]);
    await world.run();
    expect(world.sink.text).toBe('good');
  });

  it('ends with 504 at the time limit of its route when its fate is open', async () => {
    const world = worldOf({ timeoutMilliseconds: 1000 }, [never]);
    const running = world.run();
    await world.clock.advance(1000);
    await running;
    expect(world.sink.own?.status).toBe(504);
  });

  it('hands on the time that is left', async () => {
    const world = worldOf({ timeoutMilliseconds: 1000 }, [good]);
    await world.clock.advance(300);
    await world.run(makeRequest({ callerTimeoutMilliseconds: 900 }));
    expect(world.link.sent[0]?.remainingMilliseconds).toBeLessThanOrEqual(600);
    expect(world.link.sent[0]?.remainingMilliseconds).toBeGreaterThan(500);
  });
});

describe('an idempotent request', () => {
  it.each([
    ['a lost answer', lost],
    ['a failure of the endpoint', async () => answer(['no'], { status: 500 })],
    ['an answer that breaks off', async () => answer(['half', endpointFailure(true)])],
  ] as [string, Behaviour][])('is sent again after %s', async (_name, behaviour) => {
    const world = worldOf(idempotent, [behaviour, good]);
    await world.run();
    expect(world.sink).toMatchObject({ status: 200, text: 'good' });
  });

  it('is not sent to more endpoints than its route allows', async () => {
    const world = worldOf(idempotent, [lost, lost, good], {
      endpoints: ['e1', 'e22', 'e333'].map((name) => makeEndpoint(name)),
    });
    await world.run();
    expect(world.link.sent).toHaveLength(2);
    expect(world.sink.own?.status).toBe(502);
  });

  it('passes on the failure of the last endpoint', async () => {
    const failed: Behaviour = async () => answer(['no'], { status: 500 });
    const world = worldOf(idempotent, [failed, failed]);
    await world.run();
    expect(world.sink).toMatchObject({ status: 500, text: 'no' });
  });

  it('is sent elsewhere when its endpoint stays silent', async () => {
    const world = worldOf(idempotent, [never, good]);
    const running = world.run();
    await world.clock.advance(1000);
    await running;
    expect(world.sink.text).toBe('good');
  });

  it('stops at the endpoint when the caller leaves', async () => {
    const world = worldOf(idempotent, [never, good]);
    const running = world.run();
    world.sink.leaving.abort();
    await running;
    expect(world.link.sent).toHaveLength(1);
    expect(world.sink.own).toBeUndefined();
  });

  // Guards against the bytes of two runs in one answer.
  it('is not sent again once its answer has begun', async () => {
    const long = 'x'.repeat(70_000);
    const world = worldOf(idempotent, [
      async () => answer([long, endpointFailure(true)]),
      async () => answer([long, 'end']),
    ]);
    await world.run();
    expect(world.link.sent).toHaveLength(1);
    expect(world.sink).toMatchObject({ text: long, isEnded: false, isBroken: true });
  });

  it('is not sent again without retry budget', async () => {
    const world = worldOf(idempotent, [lost, good]);
    while (world.budgets.tryTake('desk')) {
      // Uses the budget up.
    }
    await world.run();
    expect(world.link.sent).toHaveLength(1);
  });
});

describe('a stream', () => {
  const events = (...identifiers: number[]) =>
    identifiers.map((identifier) => `id: ${identifier}\ndata: ${identifier}\n\n`);

  it('continues at another engine after the last complete event', async () => {
    const world = worldOf(stream, [
      async () => answer([...events(1, 2), 'id: 3\nda', endpointFailure(true)]),
      async () => answer(events(3, 4)),
    ]);
    await world.run();
    expect(world.link.sent[1]?.lastEvent).toBe('2');
    expect(world.sink.text).toBe(events(1, 2, 3, 4).join(''));
    expect(world.sink.isEnded).toBe(true);
  });

  it('never looks complete when it cannot continue', async () => {
    const world = worldOf({ ...stream, retrySemantics: RetrySemantics.AtMostOnce }, [
      async () => answer([...events(1), 'id: 2\nda', endpointFailure(true)]),
      good,
    ]);
    await world.run();
    expect(world.link.sent).toHaveLength(1);
    expect(world.sink).toMatchObject({ text: events(1).join(''), isEnded: false, isBroken: true });
  });

  // Guards against the bytes of an error answer, or of a repeated event, within a stream.
  it.each([
    [
      'an engine that answers with a failure',
      events(1, 2),
      async () => answer(['no'], { status: 404 }),
    ],
    ['events that have no identifier', ['data: 1\n\n'], async () => answer(['data: 1\n\n'])],
  ] as [string, string[], Behaviour][])('is not continued with %s', async (_name, begun, next) => {
    const world = worldOf(stream, [async () => answer([...begun, endpointFailure(true)]), next]);
    await world.run();
    expect(world.sink).toMatchObject({ text: begun.join(''), isEnded: false, isBroken: true });
  });

  it('passes bytes on that are cut anywhere', async () => {
    const whole = events(1, 2, 3).join('');
    const pieces = whole.match(/.{1,5}/gsu) ?? [];
    const world = worldOf(stream, [async () => answer(pieces)]);
    await world.run();
    expect(world.sink.text).toBe(whole);
  });

  it('starts after the event that the caller already has', async () => {
    const world = worldOf(stream, [async () => answer(events(8))]);
    await world.run(makeRequest({ lastEvent: '7' }));
    expect(world.link.sent[0]?.lastEvent).toBe('7');
  });
});

describe('a generation', () => {
  const endpoints = [
    makeEndpoint('reader', { service: 'model', stage: EngineStage.Prefill, slots: 12 }),
    makeEndpoint('engine', { service: 'model', stage: EngineStage.Decode, slots: 12 }),
  ];
  const route = {
    ...stream,
    services: [{ service: 'model', weight: 1 }],
    latencyTargetMilliseconds: 600,
  };
  const long = makeRequest({
    promptSegments: [
      { identifier: 'shared', tokens: 13_000 },
      { identifier: 'own', tokens: 3000 },
    ],
  });

  it('has a long prompt read apart and hands the memory over', async () => {
    const world = worldOf(route, [async () => answer(['id: 1\n\n'])], { endpoints });
    await world.run(long);
    expect(world.link.reads[0]?.endpoint.identifier).toBe('reader');
    expect(world.link.sent[0]).toMatchObject({
      endpoint: { identifier: 'engine' },
      prefilledPrompt: { handle: 'handle' },
    });
  });

  // Guards against a request that reaches an engine long after it said that it leaves.
  it('does not go to an engine that began to leave while the prompt was read', async () => {
    const spare = makeEndpoint('spare', {
      service: 'model',
      stage: EngineStage.Decode,
      zone: 'zone-b',
    });
    const world = worldOf(route, [async () => answer(['id: 1\n\n'])], {
      endpoints: [...endpoints, spare],
    });
    world.link.onRead = () => world.registry.replace([...endpoints.slice(0, 1), spare]);
    await world.run(long);
    expect(world.link.sent.map(({ endpoint }) => endpoint.identifier)).toEqual(['spare']);
  });

  it('frees the memory that no engine took', async () => {
    const world = worldOf({ ...route, maximumAttempts: 1 }, [notRun], { endpoints });
    await world.run(long);
    expect(world.link.released).toEqual([{ address: '10.0.0.9:1', handle: 'handle' }]);
    expect(world.sink.own?.status).toBe(503);
  });

  it('is refused at once when no engine can begin before the caller gives up', async () => {
    const world = worldOf(route, [good], { endpoints: endpoints.slice(1) });
    await world.run(makeRequest({ promptSegments: [{ identifier: 'own', tokens: 100_000 }] }));
    expect(world.link.sent).toHaveLength(0);
    expect(world.sink.own?.status).toBe(503);
  });

  it('ranks behind the others when it will be late', async () => {
    const world = worldOf({ ...route, latencyTargetMilliseconds: 10 }, [good], { endpoints });
    await world.run(long);
    expect(world.link.reads[0]?.priority).toBeGreaterThan(5);
  });
});

describe('usage', () => {
  it('counts a request once for its account when an endpoint begins it', async () => {
    const world = worldOf({}, [good]);
    await world.run();
    const window = world.tally.windowAt(world.clock.wallMilliseconds());
    expect(world.tally.countsOf(window)).toEqual({ 'account-1': 1 });
  });

  it('does not count a request that no endpoint ran', async () => {
    const world = worldOf({ maximumAttempts: 1 }, [notRun]);
    await world.run();
    const window = world.tally.windowAt(world.clock.wallMilliseconds());
    expect(world.tally.countsOf(window)).toEqual({});
  });
});
