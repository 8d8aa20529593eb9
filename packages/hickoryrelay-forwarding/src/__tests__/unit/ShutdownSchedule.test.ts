import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { shutdownTimesOf } from 'hickoryrelay-forwarding/DeploymentBounds';
import { RetrySemantics } from 'hickoryrelay-forwarding/ForwardingConfiguration';
import { ShutdownSchedule } from 'hickoryrelay-forwarding/ShutdownSchedule';

import {
  GRACE_MILLISECONDS,
  makeRequest,
  makeResponse,
  makeRouteHarness,
  RecordingSink,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';
import type { EndpointBehaviour } from './ForwardingFixture.js';

/** Waits until the attempt is aborted, as an endpoint that never responds. */
const neverRespond: EndpointBehaviour = (_attempt, signal) =>
  new Promise((_resolve, reject) => {
    signal.addEventListener('abort', () => reject(new Error('aborted')));
  });

describe('ShutdownSchedule', () => {
  it.each([
    { elapsed: 0, duration: 60_000, isAccepted: true },
    { elapsed: 2399, duration: 60_000, isAccepted: true },
    { elapsed: 2400, duration: 4800, isAccepted: true },
    { elapsed: 2400, duration: 4801, isAccepted: false },
    { elapsed: 7100, duration: 100, isAccepted: true },
    { elapsed: 7100, duration: 101, isAccepted: false },
    { elapsed: 7201, duration: 0, isAccepted: false },
  ])(
    'accepts a request of $duration ms that comes $elapsed ms after the stop signal: $isAccepted',
    async ({ elapsed, duration, isAccepted }) => {
      const clock = new ManualClock();
      const schedule = new ShutdownSchedule(
        clock,
        shutdownTimesOf({ graceMilliseconds: GRACE_MILLISECONDS }),
      );
      await clock.advance(1000);
      schedule.begin();
      await clock.advance(elapsed);
      schedule.begin();
      expect(schedule.canAnswerBy(clock.monotonicMilliseconds() + duration)).toBe(isAccepted);
    },
  );

  it('accepts all requests before the stop signal', () => {
    const schedule = new ShutdownSchedule(
      new ManualClock(),
      shutdownTimesOf({ graceMilliseconds: GRACE_MILLISECONDS }),
    );
    expect(schedule.canAnswerBy(Number.MAX_SAFE_INTEGER)).toBe(true);
  });
});

describe('A request to an instance that is stopping', () => {
  it('is refused at once, and sent to no endpoint, if it may take longer than the rest of the stop', async () => {
    const { clock, shutdown, link, sink, run } = makeRouteHarness({}, [neverRespond]);
    shutdown.begin();
    await clock.advance(5000);
    await run(makeRequest({ arrivedMilliseconds: 5000, callerTimeoutMilliseconds: 3000 }));
    expect(sink.own?.status).toBe(503);
    expect(sink.own?.retryAfterMilliseconds).toBeLessThanOrEqual(30);
    expect(link.sent).toEqual([]);
  });

  it('is served if it ends before the stop does', async () => {
    const { clock, shutdown, sink, run } = makeRouteHarness({}, [
      () => Promise.resolve(makeResponse(['answer'])),
    ]);
    shutdown.begin();
    await clock.advance(5000);
    await run(makeRequest({ arrivedMilliseconds: 5000, callerTimeoutMilliseconds: 1000 }));
    expect(sink.text).toBe('answer');
  });

  it.each([RetrySemantics.AtMostOnce, RetrySemantics.Idempotent])(
    'gets an answer before its connection is closed if its endpoint does not respond (%s)',
    async (retrySemantics) => {
      const { clock, shutdown, sink, run } = makeRouteHarness(
        { retrySemantics, timeoutMilliseconds: 60_000 },
        [neverRespond, neverRespond],
      );
      shutdown.begin();
      const ended = run(makeRequest({ callerTimeoutMilliseconds: 60_000 }));
      await clock.advance(shutdown.times.closeMilliseconds - 1);
      await ended;
      expect(sink.own?.status).toBe(502);
    },
  );

  it('does not make the runtime warn of leaked listeners when many requests are open', async () => {
    const warnings: string[] = [];
    const onWarning = ({ name }: Error) => warnings.push(name);
    process.on('warning', onWarning);
    const openRequests = 20;
    const { clock, shutdown, exchange } = makeRouteHarness(
      { timeoutMilliseconds: 60_000 },
      Array.from({ length: openRequests }, () => neverRespond),
    );
    const sinks = Array.from({ length: openRequests }, () => new RecordingSink());
    const ended = sinks.map((sink, index) =>
      exchange.handle(makeRequest({ identifier: `r${index}` }), sink),
    );
    await clock.advance(0);
    shutdown.begin();
    await clock.advance(shutdown.times.answerDeadlineMilliseconds);
    await Promise.all(ended);
    process.removeListener('warning', onWarning);
    expect(warnings).toEqual([]);
  });

  it('keeps a stream that has begun until its connection is closed', async () => {
    const { clock, shutdown, sink, run } = makeRouteHarness(
      { ...RESUMABLE_STREAM, timeoutMilliseconds: 60_000, maximumAttempts: 1 },
      [
        () =>
          Promise.resolve(
            makeResponse([], {
              body: (async function* body() {
                yield Buffer.from('id: 1\n\n');
                await clock.sleep(shutdown.times.closeMilliseconds - 1);
                yield Buffer.from('id: 2\n\n');
              })(),
            }),
          ),
      ],
    );
    shutdown.begin();
    const ended = run(makeRequest({ callerTimeoutMilliseconds: 60_000 }));
    await clock.advance(shutdown.times.closeMilliseconds);
    await ended;
    expect(sink.text).toBe('id: 1\n\nid: 2\n\n');
    expect(sink.isEnded).toBe(true);
  });
});
