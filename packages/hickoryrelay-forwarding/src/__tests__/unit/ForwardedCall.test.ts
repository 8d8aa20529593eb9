import { describe, expect, it } from 'vitest';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { RetrySemantics } from 'hickoryrelay-forwarding/ForwardingConfiguration';

import {
  makeResponse,
  endpointFailure,
  makeConfiguration,
  makeEndpoint,
  makeRequest,
  makeRoute,
  makeHarness,
} from './ForwardingFixture.js';

import type { EndpointBehaviour, HarnessOptions } from './ForwardingFixture.js';
import type { ForwardingRoute } from 'hickoryrelay-forwarding/ForwardingConfiguration';

const refusesToRun: EndpointBehaviour = async () =>
  makeResponse([], { status: 503, isNotRun: true });
const succeeds: EndpointBehaviour = async () => makeResponse(['good']);
const losesResponse: EndpointBehaviour = async () => {
  throw endpointFailure(true);
};
const refusesConnection: EndpointBehaviour = async () => {
  throw endpointFailure(false);
};
const neverResponds: EndpointBehaviour = (_attempt, signal) =>
  new Promise((_resolve, reject) => {
    signal.addEventListener('abort', () => reject(endpointFailure(true)));
  });

function makeRouteHarness(
  route: Partial<ForwardingRoute>,
  behaviours: EndpointBehaviour[],
  more: HarnessOptions = {},
) {
  const configuration = makeConfiguration({ routes: [makeRoute(route)] });
  return makeHarness({ configuration, behaviours, ...more });
}

const idempotent = { retrySemantics: RetrySemantics.Idempotent };
const stream = { retrySemantics: RetrySemantics.Resumable, isStreaming: true };

describe('a request that may run once', () => {
  it.each([
    ['the answer was lost', losesResponse, 502],
    ['a success carries no signature', async () => makeResponse(['x'], { isSigned: false }), 502],
    ['an answer breaks off', async () => makeResponse(['x', endpointFailure(true)]), 502],
    // A 503 without the statement that the request has not run would be a false promise.
    [
      'an endpoint answers 503 after running it',
      async () => makeResponse([], { status: 503 }),
      502,
    ],
  ] as [string, EndpointBehaviour, number][])(
    'is not sent again after %s',
    async (_name, behaviour, status) => {
      const harness = makeRouteHarness({}, [behaviour, succeeds]);
      await harness.run();
      expect(harness.link.sent).toHaveLength(1);
      expect(harness.sink.own).toMatchObject({ status });
      expect(harness.sink.own?.retryAfterMilliseconds).toBeUndefined();
    },
  );

  it('is sent to another endpoint when the first states that it did not run it', async () => {
    const harness = makeRouteHarness({}, [refusesToRun, succeeds]);
    await harness.run();
    expect(harness.link.sent.map(({ endpoint }) => endpoint.identifier).sort()).toEqual([
      'e1',
      'e22',
    ]);
    expect(harness.sink).toMatchObject({ status: 200, text: 'good', isEnded: true });
  });

  it('is refused with a time to come back when no endpoint has run it', async () => {
    const harness = makeRouteHarness({ maximumAttempts: 1 }, [refusesToRun]);
    await harness.run();
    expect(harness.sink.own?.status).toBe(503);
    expect(harness.sink.own?.retryAfterMilliseconds).toBeGreaterThan(0);
  });

  it('does not count a connection that was not opened as an attempt', async () => {
    const harness = makeRouteHarness({ maximumAttempts: 1 }, [refusesConnection, succeeds]);
    await harness.run();
    expect(harness.sink.text).toBe('good');
  });

  it('ends with 504 at the time limit of its route when its fate is open', async () => {
    const harness = makeRouteHarness({ timeoutMilliseconds: 1000 }, [neverResponds]);
    const running = harness.run();
    await harness.clock.advance(1000);
    await running;
    expect(harness.sink.own?.status).toBe(504);
  });

  it('hands on the time that is left', async () => {
    const harness = makeRouteHarness({ timeoutMilliseconds: 1000 }, [succeeds]);
    await harness.clock.advance(300);
    await harness.run(makeRequest({ callerTimeoutMilliseconds: 900 }));
    expect(harness.link.sent[0]?.remainingMilliseconds).toBeLessThanOrEqual(600);
    expect(harness.link.sent[0]?.remainingMilliseconds).toBeGreaterThan(500);
  });
});

describe('an idempotent request', () => {
  it.each([
    ['a lost answer', losesResponse],
    ['a failure of the endpoint', async () => makeResponse(['no'], { status: 500 })],
    ['an answer that breaks off', async () => makeResponse(['half', endpointFailure(true)])],
  ] as [string, EndpointBehaviour][])('is sent again after %s', async (_name, behaviour) => {
    const harness = makeRouteHarness(idempotent, [behaviour, succeeds]);
    await harness.run();
    expect(harness.sink).toMatchObject({ status: 200, text: 'good' });
  });

  it('is not sent to more endpoints than its route allows', async () => {
    const harness = makeRouteHarness(idempotent, [losesResponse, losesResponse, succeeds], {
      endpoints: ['e1', 'e22', 'e333'].map((name) => makeEndpoint(name)),
    });
    await harness.run();
    expect(harness.link.sent).toHaveLength(2);
    expect(harness.sink.own?.status).toBe(502);
  });

  it('passes on the failure of the last endpoint', async () => {
    const failed: EndpointBehaviour = async () => makeResponse(['no'], { status: 500 });
    const harness = makeRouteHarness(idempotent, [failed, failed]);
    await harness.run();
    expect(harness.sink).toMatchObject({ status: 500, text: 'no' });
  });

  it('is sent elsewhere when its endpoint stays silent', async () => {
    const harness = makeRouteHarness(idempotent, [neverResponds, succeeds]);
    const running = harness.run();
    await harness.clock.advance(1000);
    await running;
    expect(harness.sink.text).toBe('good');
  });

  it('stops at the endpoint when the caller leaves', async () => {
    const harness = makeRouteHarness(idempotent, [neverResponds, succeeds]);
    const running = harness.run();
    harness.sink.leaving.abort();
    await running;
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink.own).toBeUndefined();
  });

  // Guards against the bytes of two runs in one answer.
  it('is not sent again once its answer has begun', async () => {
    const long = 'x'.repeat(70_000);
    const harness = makeRouteHarness(idempotent, [
      async () => makeResponse([long, endpointFailure(true)]),
      async () => makeResponse([long, 'end']),
    ]);
    await harness.run();
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink).toMatchObject({ text: long, isEnded: false, isAborted: true });
  });

  it('is not sent again without retry budget', async () => {
    const harness = makeRouteHarness(idempotent, [losesResponse, succeeds]);
    while (harness.budgets.tryTake('desk')) {
      // Uses the budget up.
    }
    await harness.run();
    expect(harness.link.sent).toHaveLength(1);
  });
});

describe('a stream', () => {
  const events = (...identifiers: number[]) =>
    identifiers.map((identifier) => `id: ${identifier}\ndata: ${identifier}\n\n`);

  it('continues at another engine after the last complete event', async () => {
    const harness = makeRouteHarness(stream, [
      async () => makeResponse([...events(1, 2), 'id: 3\nda', endpointFailure(true)]),
      async () => makeResponse(events(3, 4)),
    ]);
    await harness.run();
    expect(harness.link.sent[1]?.lastEvent).toBe('2');
    expect(harness.sink.text).toBe(events(1, 2, 3, 4).join(''));
    expect(harness.sink.isEnded).toBe(true);
  });

  it('never looks complete when it cannot continue', async () => {
    const harness = makeRouteHarness({ ...stream, retrySemantics: RetrySemantics.AtMostOnce }, [
      async () => makeResponse([...events(1), 'id: 2\nda', endpointFailure(true)]),
      succeeds,
    ]);
    await harness.run();
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink).toMatchObject({
      text: events(1).join(''),
      isEnded: false,
      isAborted: true,
    });
  });

  // Guards against the bytes of an error answer, or of a repeated event, within a stream.
  it.each([
    [
      'an engine that answers with a failure',
      events(1, 2),
      async () => makeResponse(['no'], { status: 404 }),
    ],
    ['events that have no identifier', ['data: 1\n\n'], async () => makeResponse(['data: 1\n\n'])],
  ] as [string, string[], EndpointBehaviour][])(
    'is not continued with %s',
    async (_name, begun, next) => {
      const harness = makeRouteHarness(stream, [
        async () => makeResponse([...begun, endpointFailure(true)]),
        next,
      ]);
      await harness.run();
      expect(harness.sink).toMatchObject({ text: begun.join(''), isEnded: false, isAborted: true });
    },
  );

  it('passes bytes on that are cut anywhere', async () => {
    const whole = events(1, 2, 3).join('');
    const pieces = whole.match(/.{1,5}/gsu) ?? [];
    const harness = makeRouteHarness(stream, [async () => makeResponse(pieces)]);
    await harness.run();
    expect(harness.sink.text).toBe(whole);
  });

  it('starts after the event that the caller already has', async () => {
    const harness = makeRouteHarness(stream, [async () => makeResponse(events(8))]);
    await harness.run(makeRequest({ lastEvent: '7' }));
    expect(harness.link.sent[0]?.lastEvent).toBe('7');
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
    const harness = makeRouteHarness(route, [async () => makeResponse(['id: 1\n\n'])], {
      endpoints,
    });
    await harness.run(long);
    expect(harness.link.prefills[0]?.endpoint.identifier).toBe('reader');
    expect(harness.link.sent[0]).toMatchObject({
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
    const harness = makeRouteHarness(route, [async () => makeResponse(['id: 1\n\n'])], {
      endpoints: [...endpoints, spare],
    });
    harness.link.onPrefill = () => harness.registry.replace([...endpoints.slice(0, 1), spare]);
    await harness.run(long);
    expect(harness.link.sent.map(({ endpoint }) => endpoint.identifier)).toEqual(['spare']);
  });

  it('frees the memory that no engine took', async () => {
    const harness = makeRouteHarness({ ...route, maximumAttempts: 1 }, [refusesToRun], {
      endpoints,
    });
    await harness.run(long);
    expect(harness.link.released).toEqual([{ address: '10.0.0.9:1', handle: 'handle' }]);
    expect(harness.sink.own?.status).toBe(503);
  });

  it('is refused at once when no engine can begin before the caller gives up', async () => {
    const harness = makeRouteHarness(route, [succeeds], { endpoints: endpoints.slice(1) });
    await harness.run(makeRequest({ promptSegments: [{ identifier: 'own', tokens: 100_000 }] }));
    expect(harness.link.sent).toHaveLength(0);
    expect(harness.sink.own?.status).toBe(503);
  });

  it('ranks behind the others when it will be late', async () => {
    const harness = makeRouteHarness({ ...route, latencyTargetMilliseconds: 10 }, [succeeds], {
      endpoints,
    });
    await harness.run(long);
    expect(harness.link.prefills[0]?.priority).toBeGreaterThan(5);
  });
});

describe('usage', () => {
  it('counts a request once for its account when an endpoint begins it', async () => {
    const harness = makeRouteHarness({}, [succeeds]);
    await harness.run();
    const window = harness.tally.windowAt(harness.clock.wallMilliseconds());
    expect(harness.tally.countsOf(window)).toEqual({ 'account-1': 1 });
  });

  it('does not count a request that no endpoint ran', async () => {
    const harness = makeRouteHarness({ maximumAttempts: 1 }, [refusesToRun]);
    await harness.run();
    const window = harness.tally.windowAt(harness.clock.wallMilliseconds());
    expect(harness.tally.countsOf(window)).toEqual({});
  });
});
