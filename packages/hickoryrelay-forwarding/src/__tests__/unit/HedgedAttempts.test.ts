import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { CallTrace } from 'hickoryrelay-forwarding/CallTrace';
import { RetrySemantics } from 'hickoryrelay-forwarding/ForwardingConfiguration';
import { HedgedAttempts } from 'hickoryrelay-forwarding/HedgedAttempts';

import {
  endpointFailure,
  makeEndpoint,
  makeRequest,
  makeResponse,
  makeRouteHarness,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';

import type { EndpointBehaviour } from './ForwardingFixture.js';
import type { EndpointAttempts } from 'hickoryrelay-forwarding/EndpointAttempts';

/** The limit of these routes until a response begins, and between two events. */
const RESPONSE_LIMIT_MILLISECONDS = 700;
const EVENT_LIMIT_MILLISECONDS = 1200;

/** Longer than both limits. */
const SILENCE_MILLISECONDS = 1500;

const DEADLINE_MILLISECONDS = 10_000;

const event = (identifier: number) => `id: ${identifier}\ndata: ${identifier}\n\n`;

/** Where in a response an endpoint falls silent. */
const Silence = {
  BeforeHead: 'before the head',
  AfterHead: 'after the head',
  AmidBody: 'amid the body',
} as const;

type Silence = (typeof Silence)[keyof typeof Silence];

/** Sends two events, and falls silent for a time at one place. Rejects when it is given up. */
function pauses(clock: ManualClock, silence: Silence, milliseconds: number): EndpointBehaviour {
  return async (_attempt, signal) => {
    const pauseAt = async (place: Silence) => {
      if (place === silence) {
        await clock.sleep(milliseconds, signal);
        signal.throwIfAborted();
      }
    };
    await pauseAt(Silence.BeforeHead);
    async function* body(): AsyncGenerator<Buffer, void, void> {
      await pauseAt(Silence.AfterHead);
      yield Buffer.from(event(1));
      await pauseAt(Silence.AmidBody);
      yield Buffer.from(event(2));
    }
    return makeResponse([], { body: body() });
  };
}

/** A response that is not whole as a stream only. */
const ENDS_WITHIN_EVENT = 'ends inside its first event';

/** Ways in which another endpoint does not take a request. */
const REJECTIONS: readonly (readonly [string, EndpointBehaviour])[] = [
  ['refuses it as full', async () => makeResponse([], { status: 503, isNotRun: true })],
  ['answers 421', async () => makeResponse([], { status: 421, isMisdirected: true })],
  ['resets its connection', () => Promise.reject(endpointFailure(true))],
  ['cannot be reached', () => Promise.reject(endpointFailure(false))],
  ['fails', async () => makeResponse(['no'], { status: 500 })],
  ['breaks off before its first event', async () => makeResponse(['id', endpointFailure(true)])],
  [ENDS_WITHIN_EVENT, async () => makeResponse(['id: 3'])],
];

interface Options {
  readonly endpoints?: number;
  readonly maximumAttempts?: number;
}

function makeHedgeHarness(
  clock: ManualClock,
  behaviours: EndpointBehaviour[],
  { endpoints = behaviours.length, maximumAttempts = 3 }: Options = {},
  route: object = RESUMABLE_STREAM,
) {
  const harness = makeRouteHarness(
    { ...route, maximumAttempts, timeoutMilliseconds: DEADLINE_MILLISECONDS },
    behaviours,
    {
      clock,
      endpoints: Array.from({ length: endpoints }, (_value, index) =>
        makeEndpoint(`e${'0'.repeat(index)}1`),
      ),
    },
  );
  const run = () => harness.run(makeRequest({ callerTimeoutMilliseconds: DEADLINE_MILLISECONDS }));
  return { ...harness, run };
}

const CASES = Object.values(Silence).flatMap((silence) =>
  REJECTIONS.flatMap(([name, rejects]) =>
    [false, true].map((isStopping) => ({ silence, name, rejects, isStopping })),
  ),
);

// Guards against a request that is taken from a silent endpoint before another one has it: the other
// one then rejects it, and a response that was on its way is lost.
describe('A request whose endpoint is silent for a while', () => {
  it.each(CASES)(
    'is kept $silence if the other endpoint $name (in a stop: $isStopping)',
    async ({ silence, rejects, isStopping }) => {
      const clock = new ManualClock();
      const { run, shutdown, sink } = makeHedgeHarness(clock, [
        pauses(clock, silence, SILENCE_MILLISECONDS),
        rejects,
      ]);
      if (isStopping) {
        shutdown.begin();
      }
      const running = run();
      await clock.advance(4000);
      await running;
      expect(sink).toMatchObject({ text: event(1) + event(2), isEnded: true, own: undefined });
    },
  );

  it.each(REJECTIONS.filter(([name]) => name !== ENDS_WITHIN_EVENT))(
    'gets its response without a stream if the other endpoint %s',
    async (_name, rejects) => {
      const clock = new ManualClock();
      const responds: EndpointBehaviour = async (_attempt, signal) => {
        await clock.sleep(SILENCE_MILLISECONDS, signal);
        return makeResponse(['whole']);
      };
      const { run, sink } = makeHedgeHarness(
        clock,
        [responds, rejects],
        {},
        {
          retrySemantics: RetrySemantics.Idempotent,
        },
      );
      const running = run();
      await clock.advance(4000);
      await running;
      expect(sink).toMatchObject({ text: 'whole', isEnded: true });
    },
  );

  // Guards against events that reach the caller twice, and against a second run that goes on.
  it.each(Object.values(Silence))(
    'stays with it if it continues %s before the other one responds',
    async (silence) => {
      const clock = new ManualClock();
      let hedgeSignal: AbortSignal | undefined;
      const slow: EndpointBehaviour = async (_attempt, signal) => {
        hedgeSignal = signal;
        await clock.sleep(60_000, signal);
        signal.throwIfAborted();
        return makeResponse([event(1)]);
      };
      const { run, sink, link, registry } = makeHedgeHarness(clock, [
        pauses(clock, silence, SILENCE_MILLISECONDS),
        slow,
      ]);
      const running = run();
      await clock.advance(SILENCE_MILLISECONDS);
      await running;
      expect(sink).toMatchObject({ text: event(1) + event(2), isEnded: true });
      expect(hedgeSignal?.aborted).toBe(true);
      const [, hedge] = link.sent;
      const state = registry
        .readyEndpoints('desk')
        .find(({ record }) => record.identifier === hedge?.endpoint.identifier);
      expect(state).toMatchObject({ running: 0 });
      // The other endpoint has done nothing wrong.
      expect(state?.failureRate(clock.monotonicMilliseconds())).toBe(0);
    },
  );
});

describe('HedgedAttempts', () => {
  function setUp(choose: () => Promise<string>) {
    let choices = 0;
    const trace = new CallTrace();
    const hedges = new HedgedAttempts({
      attempts: {
        canOpenAnother: true,
        choose: () => {
          choices += 1;
          return choose();
        },
      } as unknown as EndpointAttempts,
      trace,
      watch: () => () => {},
    });
    return { hedges, trace, choices: () => choices };
  }

  // Guards against prefills that are repeated as long as an attempt is overdue.
  it('gives up after some choices without an endpoint', async () => {
    const { hedges, choices } = setUp(async () => 'no engine is left');
    for (let count = 0; count < 10; count += 1) {
      hedges.start();
      expect(await hedges.takeSuccessor()).toBeUndefined();
    }
    expect(choices()).toBe(3);
  });

  // Guards against a process that ends because of an error in a hedge, which nobody waits for.
  it('logs an error of a hedge', async () => {
    const { hedges, trace } = setUp(() => Promise.reject(endpointFailure(true)));
    hedges.start();
    await hedges.close();
    expect(trace.steps).toEqual(['hedge: Endpoint e failed: reset.']);
  });
});

// Guards against a dead endpoint that is left later than before.
describe('A request whose endpoint is dead', () => {
  const dead = (clock: ManualClock, silence: Silence) => pauses(clock, silence, 60_000);

  const limitOf = (silence: Silence) =>
    silence === Silence.AmidBody ? EVENT_LIMIT_MILLISECONDS : RESPONSE_LIMIT_MILLISECONDS;

  it.each(Object.values(Silence))('is moved at the limit %s', async (silence) => {
    const clock = new ManualClock();
    let deadSignal: AbortSignal | undefined;
    const { run, sink, link } = makeHedgeHarness(clock, [
      (attempt, signal) => {
        deadSignal = signal;
        return dead(clock, silence)(attempt, signal);
      },
      async ({ lastEvent }) => makeResponse(lastEvent === '1' ? [event(2)] : [event(1), event(2)]),
    ]);
    const running = run();
    await clock.advance(limitOf(silence) - 1);
    expect(link.sent).toHaveLength(1);
    expect(deadSignal?.aborted).toBe(false);
    await clock.advance(1);
    await running;
    expect(deadSignal?.aborted).toBe(true);
    expect(sink).toMatchObject({ text: event(1) + event(2), isEnded: true });
  });

  it('is sent on at once if the second endpoint refuses it', async () => {
    const clock = new ManualClock();
    const { run, sink, link } = makeHedgeHarness(clock, [
      dead(clock, Silence.BeforeHead),
      async () => makeResponse([], { status: 503, isNotRun: true }),
      async () => makeResponse([event(1)]),
    ]);
    const running = run();
    await clock.advance(RESPONSE_LIMIT_MILLISECONDS);
    await running;
    expect(link.sent).toHaveLength(3);
    expect(sink).toMatchObject({ text: event(1), isEnded: true });
  });

  it('is sent on if the second endpoint is dead as well', async () => {
    const clock = new ManualClock();
    const { run, sink } = makeHedgeHarness(clock, [
      dead(clock, Silence.BeforeHead),
      dead(clock, Silence.AfterHead),
      async () => makeResponse([event(1)]),
    ]);
    const running = run();
    await clock.advance(2 * RESPONSE_LIMIT_MILLISECONDS);
    await running;
    expect(sink).toMatchObject({ text: event(1), isEnded: true });
  });

  it('waits for the second endpoint if the first one fails meanwhile', async () => {
    const clock = new ManualClock();
    const failsLate: EndpointBehaviour = async (_attempt, signal) => {
      await clock.sleep(900, signal);
      throw endpointFailure(true);
    };
    const { run, sink, link } = makeHedgeHarness(clock, [
      failsLate,
      pauses(clock, Silence.BeforeHead, 500),
    ]);
    const running = run();
    await clock.advance(2000);
    await running;
    expect(link.sent).toHaveLength(2);
    expect(sink).toMatchObject({ text: event(1) + event(2), isEnded: true });
  });

  // Guards against a request that reaches more endpoints than its route allows.
  it('reaches no more endpoints than its route allows', async () => {
    const clock = new ManualClock();
    const { run, sink, link } = makeHedgeHarness(
      clock,
      Array.from({ length: 4 }, () => dead(clock, Silence.BeforeHead)),
      { maximumAttempts: 2 },
    );
    const running = run();
    await clock.advance(DEADLINE_MILLISECONDS);
    await running;
    expect(link.sent).toHaveLength(2);
    expect(sink.own?.status).toBe(504);
  });

  // Guards against attempts that go on at endpoints after the caller has left.
  it('is given up everywhere when its caller leaves', async () => {
    const clock = new ManualClock();
    const signals: AbortSignal[] = [];
    const behaviours = [Silence.BeforeHead, Silence.AfterHead].map(
      (silence): EndpointBehaviour =>
        (attempt, signal) => {
          signals.push(signal);
          return dead(clock, silence)(attempt, signal);
        },
    );
    const { run, sink, registry } = makeHedgeHarness(clock, behaviours);
    const running = run();
    await clock.advance(RESPONSE_LIMIT_MILLISECONDS + 100);
    expect(signals).toHaveLength(2);
    sink.leaving.abort();
    await clock.advance(1);
    await running;
    expect(signals.every(({ aborted }) => aborted)).toBe(true);
    expect(registry.readyEndpoints('desk').every(({ running: open }) => open === 0)).toBe(true);
  });
});
