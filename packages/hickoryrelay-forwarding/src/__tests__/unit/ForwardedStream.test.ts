import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { hashString } from 'hickoryrelay/RendezvousUtils';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { RetrySemantics } from 'hickoryrelay-forwarding/ForwardingConfiguration';

import {
  endpointFailure,
  makeEndpoint,
  makeRequest,
  makeResponse,
  makeRouteHarness,
  RecordingLogger,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';

import type { EndpointBehaviour } from './ForwardingFixture.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ForwardingRoute } from 'hickoryrelay-forwarding/ForwardingConfiguration';

const MODEL_STREAM = { ...RESUMABLE_STREAM, services: [{ service: 'model', weight: 1 }] };

const succeeds: EndpointBehaviour = async () => makeResponse(['good']);

describe('ForwardedCall of a stream', () => {
  const events = (...identifiers: number[]) =>
    identifiers.map((identifier) => `id: ${identifier}\ndata: ${identifier}\n\n`);

  it('resumes at another engine after the last complete event', async () => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [
      async () => makeResponse([...events(1, 2), 'id: 3\nda', endpointFailure(true)]),
      async () => makeResponse(events(3, 4)),
    ]);
    await harness.run();
    expect(harness.link.sent[1]?.lastEvent).toBe('2');
    expect(harness.sink.text).toBe(events(1, 2, 3, 4).join(''));
    expect(harness.sink.isEnded).toBe(true);
  });

  it('is aborted, not ended, if it cannot be resumed', async () => {
    const harness = makeRouteHarness(
      { ...RESUMABLE_STREAM, retrySemantics: RetrySemantics.AtMostOnce },
      [async () => makeResponse([...events(1), 'id: 2\nda', endpointFailure(true)]), succeeds],
    );
    await harness.run();
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink).toMatchObject({
      text: events(1).join(''),
      isEnded: false,
      isAborted: true,
    });
  });

  // Guards against an error body, or a repeated event, within a stream.
  it.each([
    ['an error response', events(1, 2), async () => makeResponse(['no'], { status: 404 })],
    ['events without identifiers', ['data: 1\n\n'], async () => makeResponse(['data: 1\n\n'])],
  ] as [string, string[], EndpointBehaviour][])(
    'is not resumed with %s',
    async (_name, firstChunks, next) => {
      const harness = makeRouteHarness(RESUMABLE_STREAM, [
        async () => makeResponse([...firstChunks, endpointFailure(true)]),
        next,
      ]);
      await harness.run();
      expect(harness.sink).toMatchObject({
        text: firstChunks.join(''),
        isEnded: false,
        isAborted: true,
      });
    },
  );

  it('relays events that are split at any byte', async () => {
    const whole = events(1, 2, 3).join('');
    const chunks = whole.match(/.{1,5}/gsu) ?? [];
    const harness = makeRouteHarness(RESUMABLE_STREAM, [async () => makeResponse(chunks)]);
    await harness.run();
    expect(harness.sink.text).toBe(whole);
  });

  it('starts after the last event that the caller has received', async () => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [async () => makeResponse(events(8))]);
    await harness.run(makeRequest({ lastEvent: '7' }));
    expect(harness.link.sent[0]?.lastEvent).toBe('7');
  });
});

describe('ForwardedCall of a generation that is lost at its engine', () => {
  const promptSegments = ['shared-1', 'shared-2', 'own'].map((identifier) => ({
    identifier,
    tokens: 10,
  }));

  // Guards against request lines that do not show which prompt segments an engine crashed with.
  it.each([
    ['before', [], 'shared-1,shared-2', 'run e1 before its first event: '],
    ['after', ['id: 1\ndata: 1\n\n'], undefined, 'run e1: '],
  ] as [string, string[], string | undefined, string][])(
    'logs its shared segments if it ends %s its first event',
    async (_name, chunks, lostSegments, step) => {
      const log = new RecordingLogger();
      const harness = makeRouteHarness(
        { ...MODEL_STREAM, maximumAttempts: 1 },
        [async () => makeResponse([...chunks, endpointFailure(true)])],
        { log, endpoints: [makeEndpoint('e1', { service: 'model' })] },
      );
      await harness.run(makeRequest({ promptSegments }));
      expect(log.lines).toHaveLength(1);
      expect(log.lines[0]?.lostSegments).toBe(lostSegments);
      expect(log.lines[0]?.steps).toContain(step);
    },
  );

  const hashes = ['shared-1', 'shared-2'].map((identifier) => hashString(`model|${identifier}`));

  function makeModelHarness(areEndpointsDown: boolean, behaviours: EndpointBehaviour[]) {
    const endpoints = ['e1', 'e22', 'e333'].map((name) => makeEndpoint(name, { service: 'model' }));
    const harness = makeRouteHarness(MODEL_STREAM, behaviours, { endpoints });
    harness.link.areEndpointsDown = areEndpointsDown;
    return harness;
  }

  const loses: EndpointBehaviour = () => Promise.reject(endpointFailure(true));
  const begins: EndpointBehaviour = async () => makeResponse(['id: 1\ndata: 1\n\n']);

  // Guards against a retry that crashes a second engine with the same prompt.
  it.each([
    { engine: 'crashed', areEndpointsDown: true, isKnownSound: false, sends: 1 },
    { engine: 'crashed', areEndpointsDown: true, isKnownSound: true, sends: 2 },
    { engine: 'lost only the response', areEndpointsDown: false, isKnownSound: false, sends: 2 },
  ])(
    'is sent $sends times if its engine $engine and its segments are known as sound: $isKnownSound',
    async ({ areEndpointsDown, isKnownSound, sends }) => {
      const harness = makeModelHarness(areEndpointsDown, [loses, begins]);
      if (isKnownSound) {
        harness.quarantine.recordBegin(hashes);
      }
      await harness.run(makeRequest({ promptSegments }));
      expect(harness.link.sent).toHaveLength(sends);
      expect(harness.sink.own?.status).toBe(sends === 1 ? 502 : undefined);
    },
  );

  // Guards against the loss of retries in conversations, whose last segment recurs in the next turn.
  it('is retried if a segment has been begun as the last one of another prompt', async () => {
    const harness = makeModelHarness(true, [begins, loses, begins]);
    await harness.run(makeRequest({ promptSegments: promptSegments.slice(0, 2) }));
    await harness.run(makeRequest({ promptSegments }));
    expect(harness.link.sent).toHaveLength(3);
  });

  it('is refused as not run, for long, once a segment is quarantined', async () => {
    const harness = makeModelHarness(true, [begins]);
    [1, 2, 3].forEach((engine) => harness.quarantine.recordCrash(engine, hashes));
    await harness.run(makeRequest({ promptSegments }));
    expect(harness.link.sent).toHaveLength(0);
    expect(harness.link.prefills).toHaveLength(0);
    expect(harness.sink.own).toMatchObject({ status: 503 });
    expect(harness.sink.own?.retryAfterMilliseconds).toBeGreaterThanOrEqual(60_000);
  });

  // Guards against a false "not run" for a request that an engine may have run.
  it('is failed, not refused, if its segment is quarantined after a lost run', async () => {
    const harness = makeModelHarness(true, [
      async () => {
        [1, 2].forEach((engine) => harness.quarantine.recordCrash(engine, hashes));
        throw endpointFailure(true);
      },
    ]);
    await harness.run(makeRequest({ promptSegments }));
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink.own?.status).toBe(502);
    expect(harness.sink.own?.retryAfterMilliseconds).toBeUndefined();
  });

  // Guards against a run that starts although its segment was quarantined during the prefill.
  it('is not run if a segment is quarantined during its prefill', async () => {
    const prefillEngine = makeEndpoint('p1', { service: 'model', stage: EngineStage.Prefill });
    const decodeEngine = makeEndpoint('e1', { service: 'model', stage: EngineStage.Decode });
    const harness = makeRouteHarness(MODEL_STREAM, [begins], {
      endpoints: [prefillEngine, decodeEngine],
    });
    harness.link.onPrefill = () =>
      [1, 2, 3].forEach((engine) => harness.quarantine.recordCrash(engine, hashes));
    const longPrompt = promptSegments.map((segment) => ({ ...segment, tokens: 20_000 }));
    await harness.run(makeRequest({ promptSegments: longPrompt }));
    expect(harness.link.prefills).toHaveLength(1);
    expect(harness.link.sent).toHaveLength(0);
    expect(harness.link.released).toHaveLength(1);
    expect(harness.sink.own?.status).toBe(503);
  });
});

// The event timeout of these routes is 2000 ms, so a stream counts as stalled after 1200 ms.
describe('ForwardedCall of a stream that stalls', () => {
  const event = (identifier: number) => `id: ${identifier}\ndata: x\n\n`;

  /** Sends each chunk after a delay, and then nothing more until the attempt is aborted. */
  function stallsAfter(
    chunks: readonly string[],
    delayMilliseconds: number,
    clock: Clock,
  ): EndpointBehaviour {
    return async (_attempt, signal) => {
      async function* body(): AsyncGenerator<Buffer, void, void> {
        for (const chunk of chunks) {
          await clock.sleep(delayMilliseconds, signal);
          yield Buffer.from(chunk);
        }
        await clock.sleep(60_000, signal);
      }
      return makeResponse([], { body: body() });
    };
  }

  function makeStallHarness(
    chunks: readonly string[],
    delayMilliseconds: number,
    route: Partial<ForwardingRoute> = RESUMABLE_STREAM,
  ) {
    const clock = new ManualClock();
    const stalls = stallsAfter(chunks, delayMilliseconds, clock);
    const resumes: EndpointBehaviour = async () => makeResponse([event(8), event(9)]);
    return makeRouteHarness(route, [stalls, resumes], { clock });
  }

  // Guards against a stream that its caller abandons after 2 s although it could have been resumed.
  it('is resumed at an endpoint that registers shortly after the stall was noticed', async () => {
    const harness = makeStallHarness([event(1)], 10);
    const [first, second] = harness.view.endpoints;
    harness.registry.replace(first === undefined ? [] : [first]);
    const running = harness.run();
    await harness.clock.advance(1300);
    expect(harness.link.sent).toHaveLength(1);
    harness.registry.replace([first, second].flatMap((endpoint) => endpoint ?? []));
    await harness.clock.advance(600);
    expect(harness.link.sent).toHaveLength(2);
    await harness.clock.advance(5000);
    await running;
    expect(harness.sink).toMatchObject({ text: event(1) + event(8) + event(9), isEnded: true });
  });

  it('is resumed at another endpoint', async () => {
    const harness = makeStallHarness([event(1)], 10);
    const running = harness.run();
    await harness.clock.advance(1300);
    await running;
    expect(harness.link.sent[1]?.lastEvent).toBe('1');
    expect(harness.sink).toMatchObject({ text: event(1) + event(8) + event(9), isEnded: true });
  });

  // Guards against a stalled stream that never ends because it sends a byte now and then.
  it('is resumed although it sends single bytes', async () => {
    const drips = Array.from({ length: 100 }, () => ':');
    const harness = makeStallHarness([event(1), ...drips], 100);
    const running = harness.run();
    await harness.clock.advance(1500);
    await running;
    expect(harness.link.sent).toHaveLength(2);
    expect(harness.sink.isEnded).toBe(true);
  });

  // Guards against cutting a slow but sound stream.
  it('is not resumed while events arrive', async () => {
    const route = { ...RESUMABLE_STREAM, latencyTargetMilliseconds: 400 };
    const harness = makeStallHarness([1, 2, 3].map(event), 900, route);
    const running = harness.run(makeRequest({ callerTimeoutMilliseconds: 20_000 }));
    await harness.clock.advance(2800);
    expect(harness.link.sent).toHaveLength(1);
    await harness.clock.advance(1200);
    await running;
    expect(harness.sink.text).toBe([1, 2, 3, 8, 9].map(event).join(''));
  });

  // Guards against ending a stream early that no other endpoint has the time to resume.
  it('is left until its deadline if too little time is left for another attempt', async () => {
    const harness = makeStallHarness([event(1)], 10);
    const running = harness.run(makeRequest({ callerTimeoutMilliseconds: 1240 }));
    await harness.clock.advance(1239);
    expect(harness.sink.isAborted).toBe(false);
    await harness.clock.advance(1);
    await running;
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink.isAborted).toBe(true);
  });

  // Guards against a stream that is broken off shortly before its deadline, in the time that a response
  // of the instance itself would need.
  it('is relayed whole if its last event comes right before the deadline', async () => {
    const clock = new ManualClock();
    const pausesLong: EndpointBehaviour = async (_attempt, signal) => {
      async function* body(): AsyncGenerator<Buffer, void, void> {
        yield Buffer.from(event(1));
        await clock.sleep(2995, signal);
        yield Buffer.from(event(2));
      }
      return makeResponse([], { body: body() });
    };
    const harness = makeRouteHarness({ ...RESUMABLE_STREAM, maximumAttempts: 1 }, [pausesLong], {
      clock,
    });
    const running = harness.run(makeRequest({ callerTimeoutMilliseconds: 3000 }));
    await clock.advance(3000);
    await running;
    expect(harness.sink).toMatchObject({ text: event(1) + event(2), isEnded: true });
  });

  it('is not resumed because its caller is slow to read', async () => {
    const harness = makeStallHarness([event(1), event(2)], 10);
    harness.sink.write = async (chunk: Buffer) => {
      await harness.clock.sleep(1900);
      harness.sink.text += chunk.toString();
    };
    const running = harness.run(makeRequest({ callerTimeoutMilliseconds: 20_000 }));
    await harness.clock.advance(3800);
    expect(harness.link.sent).toHaveLength(1);
    harness.sink.leaving.abort();
    await harness.clock.advance(4000);
    await running;
  });

  it.each([
    [
      'it is not resumable',
      { ...RESUMABLE_STREAM, retrySemantics: RetrySemantics.AtMostOnce },
      event(1),
    ],
    ['no attempt is left', { ...RESUMABLE_STREAM, maximumAttempts: 1 }, event(1)],
    ['its events have no identifiers', RESUMABLE_STREAM, 'data: 1\n\n'],
  ])('is left until its deadline if %s', async (_name, route, first) => {
    const harness = makeStallHarness([first], 10, route);
    const running = harness.run();
    await harness.clock.advance(2900);
    expect(harness.sink.isAborted).toBe(false);
    await harness.clock.advance(200);
    await running;
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink.isAborted).toBe(true);
  });
});

// Guards against a response that ends sooner than it has to because its endpoint is silent.
describe('ForwardedCall whose endpoint is silent and is the only one left', () => {
  it.each([
    ['the rest of a stream', RESUMABLE_STREAM, 'desk'],
    ['the rest of a stream of an engine', MODEL_STREAM, 'model'],
    ['the response', { retrySemantics: RetrySemantics.Idempotent }, 'desk'],
  ])('waits for %s', async (name, route, service) => {
    const clock = new ManualClock();
    const first = name === 'the response' ? '' : 'id: 1\n\n';
    const pauses: EndpointBehaviour = async (_attempt, signal) => {
      if (first === '') {
        await clock.sleep(3000, signal);
      }
      async function* body(): AsyncGenerator<Buffer, void, void> {
        if (first !== '') {
          yield Buffer.from(first);
          await clock.sleep(3000, signal);
        }
        yield Buffer.from('id: 2\n\n');
      }
      return makeResponse([], { body: body() });
    };
    const harness = makeRouteHarness(
      { ...route, maximumAttempts: 3, timeoutMilliseconds: 10_000 },
      [pauses],
      {
        clock,
        endpoints: [makeEndpoint('e1', { service })],
      },
    );
    const running = harness.run(makeRequest({ callerTimeoutMilliseconds: 10_000 }));
    await clock.advance(9000);
    await running;
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink).toMatchObject({ text: `${first}id: 2\n\n`, isEnded: true });
  });
});

// Guards against a response that is given up for an endpoint which then refuses the request.
describe('ForwardedCall whose endpoint is silent while the only other one is full', () => {
  it.each([
    ['the rest of a stream', RESUMABLE_STREAM, 'id: 1\n\n'],
    ['the response', { retrySemantics: RetrySemantics.Idempotent }, ''],
  ])('waits for %s', async (_name, route, first) => {
    const clock = new ManualClock();
    const pauses: EndpointBehaviour = async (_attempt, signal) => {
      if (first === '') {
        await clock.sleep(1500, signal);
      }
      async function* body(): AsyncGenerator<Buffer, void, void> {
        yield Buffer.from(first);
        if (first !== '') {
          await clock.sleep(1500, signal);
        }
        yield Buffer.from('id: 2\n\n');
      }
      return makeResponse([], { body: body() });
    };
    const refuses: EndpointBehaviour = async () =>
      makeResponse([], { status: 503, isNotRun: true });
    const harness = makeRouteHarness(
      { ...route, maximumAttempts: 3, timeoutMilliseconds: 10_000 },
      [pauses, refuses],
      { clock, endpoints: [makeEndpoint('e1'), makeEndpoint('e02')] },
    );
    const running = harness.run(makeRequest({ callerTimeoutMilliseconds: 10_000 }));
    await clock.advance(9000);
    await running;
    expect(harness.sink).toMatchObject({ text: `${first}id: 2\n\n`, isEnded: true });
  });
});

// Guards against memory that grows with bytes that are no event, and an end that looks complete.
describe('ForwardedCall of a stream without an event boundary', () => {
  const endless: EndpointBehaviour = async () => {
    async function* body(): AsyncGenerator<Buffer, void, void> {
      yield Buffer.from('id: 1\ndata: x\n\n');
      for (;;) {
        yield Buffer.alloc(16_384, 'x');
      }
    }
    return makeResponse([], { body: body() });
  };

  it('is aborted, not ended, if it cannot be resumed', async () => {
    const harness = makeRouteHarness(
      { ...RESUMABLE_STREAM, retrySemantics: RetrySemantics.AtMostOnce },
      [endless],
    );
    await harness.run();
    expect(harness.sink).toMatchObject({ isEnded: false, isAborted: true });
  });

  it('is resumed at another endpoint and counts as a failure of the first', async () => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [
      endless,
      async () => makeResponse(['id: 2\ndata: y\n\n']),
    ]);
    await harness.run();
    expect(harness.sink).toMatchObject({
      text: 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n',
      isEnded: true,
    });
    const [failed] = harness.registry
      .readyEndpoints('desk')
      .filter(({ record }) => record.identifier === harness.link.sent[0]?.endpoint.identifier);
    expect(failed?.failureRate(harness.clock.monotonicMilliseconds())).toBeGreaterThan(0);
  });

  // Guards against streams of complete events that take the processor until their deadline.
  it.each([
    ['is broken off', [], false],
    ['is resumed at another endpoint', [async () => makeResponse(['id: 99999\n\n'])], true],
  ] as [string, EndpointBehaviour[], boolean][])(
    '%s if it has too many events, and its engine fails',
    async (_name, others, isEnded) => {
      const batch = (first: number) =>
        Array.from({ length: 1000 }, (_value, index) => `id: ${first + index}\n\n`).join('');
      const overlong: EndpointBehaviour = async () =>
        makeResponse(Array.from({ length: 90 }, (_value, index) => batch(index * 1000 + 1)));
      const harness = makeRouteHarness(RESUMABLE_STREAM, [overlong, ...others]);
      await harness.run();
      expect(harness.sink).toMatchObject({ isEnded, isAborted: !isEnded });
      expect(harness.sink.text.length).toBeLessThan(batch(10_000).length * 12);
      const [failed] = harness.registry
        .readyEndpoints('desk')
        .filter(({ record }) => record.identifier === harness.link.sent[0]?.endpoint.identifier);
      expect(failed?.failureRate(harness.clock.monotonicMilliseconds())).toBeGreaterThan(0);
    },
  );

  // Guards against a delivered event that is not counted when a later one of its chunk is refused.
  it('delivers the events of a chunk before one that is out of order', async () => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [
      async () => makeResponse(['id: 1\n\nid: 2\n\nid: 2\n\n']),
      async () => makeResponse(['id: 3\n\n']),
    ]);
    await harness.run();
    expect(harness.link.sent[1]?.lastEvent).toBe('2');
    expect(harness.sink).toMatchObject({ text: 'id: 1\n\nid: 2\n\nid: 3\n\n', isEnded: true });
  });

  // Guards against events of a second run after the body of a failure response.
  it('does not resume a failure response that breaks off', async () => {
    const long = 'x'.repeat(70_000);
    const harness = makeRouteHarness(RESUMABLE_STREAM, [
      async () => makeResponse([long, endpointFailure(true)], { status: 404 }),
      async () => makeResponse(['id: 1\n\n']),
    ]);
    await harness.run();
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink).toMatchObject({ text: long, isEnded: false, isAborted: true });
  });
});
