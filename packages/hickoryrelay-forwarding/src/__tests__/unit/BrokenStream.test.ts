import { describe, expect, it } from 'vitest';
import { RetrySemantics } from 'hickoryrelay-forwarding/ForwardingConfiguration';

import {
  endpointFailure,
  makeEndpoint,
  makeRequest,
  makeResponse,
  makeRouteHarness,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';

import type { EndpointBehaviour } from './ForwardingFixture.js';
import type { EndpointResponse } from 'hickoryrelay-forwarding/EndpointLink';

const AT_MOST_ONCE_STREAM = { ...RESUMABLE_STREAM, retrySemantics: RetrySemantics.AtMostOnce };

const events = (...identifiers: number[]) =>
  identifiers.map((identifier) => `id: ${identifier}\ndata: ${identifier}\n\n`);

const responds =
  (chunks: readonly (string | Error)[], changes: Partial<EndpointResponse> = {}) =>
  async (): Promise<EndpointResponse> =>
    makeResponse(chunks, changes);

const FRAMINGS: readonly (readonly [string, Partial<EndpointResponse>])[] = [
  ['chunks', {}],
  ['a length', { length: 24 }],
  ['the end of the connection', { isCloseDelimited: true }],
];

// Guards against a half event, or a complete end, where an endpoint stopped inside an event.
describe('ForwardedCall of a stream that ends inside an event', () => {
  it.each(FRAMINGS)('is resumed if it is delimited by %s', async (_name, framing) => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [
      responds([...events(1), 'id: 2\nda'], framing),
      responds(events(2, 3), framing),
    ]);
    await harness.run();
    expect(harness.link.sent[1]?.lastEvent).toBe('1');
    expect(harness.sink).toMatchObject({ text: events(1, 2, 3).join(''), isEnded: true });
  });

  it.each(FRAMINGS)(
    'is aborted if it is delimited by %s and cannot be resumed',
    async (_name, framing) => {
      const harness = makeRouteHarness(AT_MOST_ONCE_STREAM, [
        responds([...events(1), 'id: 2\nda'], framing),
      ]);
      await harness.run();
      expect(harness.sink).toMatchObject({ text: events(1)[0], isEnded: false, isAborted: true });
    },
  );

  it.each(FRAMINGS)('fails if it is delimited by %s and has no event', async (_name, framing) => {
    const harness = makeRouteHarness(AT_MOST_ONCE_STREAM, [responds(['id: 1\nda'], framing)]);
    await harness.run();
    expect(harness.sink).toMatchObject({ head: undefined, text: '', own: { status: 502 } });
  });

  it('is complete if only blank lines follow the last event', async () => {
    const harness = makeRouteHarness(AT_MOST_ONCE_STREAM, [responds([...events(1), '\r\n'])]);
    await harness.run();
    expect(harness.sink).toMatchObject({ text: `${events(1)[0] ?? ''}\r\n`, isEnded: true });
  });
});

// Guards against an empty stream where an endpoint stopped after the head of its response.
describe('ForwardedCall of a stream without events', () => {
  const empty = responds([], { isCloseDelimited: true });

  it('is sent to another endpoint if it ended with its connection', async () => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [empty, responds(events(1))]);
    await harness.run();
    expect(harness.sink).toMatchObject({ text: events(1)[0], isEnded: true });
  });

  it('fails if it ended with its connection and cannot be sent again', async () => {
    const harness = makeRouteHarness(AT_MOST_ONCE_STREAM, [empty, responds(events(1))]);
    await harness.run();
    expect(harness.sink).toMatchObject({ head: undefined, own: { status: 502 } });
  });

  it('is relayed if the caller may have received the last event', async () => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [empty]);
    await harness.run(makeRequest({ lastEvent: '7' }));
    expect(harness.sink).toMatchObject({ text: '', head: { status: 200 }, isEnded: true });
  });
});

// Guards against an error's text, or a complete end, in a stream that broke off.
describe('ForwardedCall of a stream that broke off', () => {
  const breaksOff = responds([...events(1), endpointFailure(true)]);
  const refusal = { status: 503, isNotRun: true };

  it.each([
    ['a client error', responds(['{"error":"no"}'], { status: 404 })],
    ['a server error', responds(['{"error":"no"}'], { status: 500 })],
    ['a server error with events', responds(events(2), { status: 500 })],
    [
      'a server error without the end of its body',
      responds(['half', endpointFailure(true)], { status: 500 }),
    ],
    ['a 503 that does not state that it did not run', responds(['no'], { status: 503 })],
    ['a refusal', responds(['no'], refusal)],
    [
      'a misdirected request',
      responds(['no'], { status: 421, isMisdirected: true, isNotRun: true }),
    ],
    ['a redirect', responds(['no'], { status: 302 })],
    ['a success without a signature', responds(events(2), { isSigned: false })],
    ['another content type', responds(['<p>no</p>\n\n'], { isEventStream: false })],
    ['an event that the caller has', responds(events(1, 2))],
    ['an earlier event', responds(events(0, 1, 2))],
    ['bytes that are no event', responds(['HTTP/1.1 500 Error\r\nX-A: 1\r\n'])],
    ['no response', async () => Promise.reject(endpointFailure(true))],
  ] as [string, EndpointBehaviour][])(
    'is aborted if the next endpoint responds with %s, and resumed if another one is left',
    async (_name, next) => {
      const aborted = makeRouteHarness(RESUMABLE_STREAM, [breaksOff, next, next, next]);
      await aborted.run();
      expect(aborted.sink).toMatchObject({
        text: events(1).join(''),
        isEnded: false,
        isAborted: true,
        own: undefined,
      });
      const resumed = makeRouteHarness(
        { ...RESUMABLE_STREAM, maximumAttempts: 3 },
        [breaksOff, next, responds(events(2, 3))],
        { endpoints: ['e1', 'e22', 'e333'].map((name) => makeEndpoint(name)) },
      );
      await resumed.run();
      expect(resumed.sink).toMatchObject({ text: events(1, 2, 3).join(''), isEnded: true });
    },
  );
});

// Guards against a resumed stream that is framed as whole although it broke off, and against a sound
// one that is broken off because of its framing.
describe('ForwardedCall of a stream that is resumed with another framing', () => {
  const closeDelimited = { isCloseDelimited: true };

  it('states no length, since the second endpoint may send other bytes', async () => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [
      responds([...events(1), endpointFailure(true)], { length: 24 }),
      responds(['id: 2\ndata: longer than before\n\n']),
    ]);
    await harness.run();
    expect(harness.sink).toMatchObject({ head: { length: undefined }, isEnded: true });
  });

  // An endpoint may end its response with its connection. The link fails the body if the connection was
  // reset or the endpoint has crashed.
  it.each([
    ['chunks', {}],
    ['its end', closeDelimited],
  ])(
    'is complete if it began delimited by %s and its second endpoint closes its connection',
    async (_name, framing) => {
      const harness = makeRouteHarness(RESUMABLE_STREAM, [
        responds([...events(1), endpointFailure(true)], framing),
        responds(events(2), closeDelimited),
      ]);
      await harness.run();
      expect(harness.sink).toMatchObject({ text: events(1, 2).join(''), isEnded: true });
    },
  );

  it.each([
    ['chunks', {}],
    ['its end', closeDelimited],
  ])(
    'is aborted if it began delimited by %s and the body of its second endpoint fails',
    async (_name, framing) => {
      const harness = makeRouteHarness(RESUMABLE_STREAM, [
        responds([...events(1), endpointFailure(true)], framing),
        responds([...events(2), endpointFailure(true)], closeDelimited),
      ]);
      await harness.run();
      expect(harness.sink).toMatchObject({
        text: events(1, 2).join(''),
        isEnded: false,
        isAborted: true,
      });
    },
  );

  it('keeps the length of a stream that cannot be resumed', async () => {
    const harness = makeRouteHarness(AT_MOST_ONCE_STREAM, [responds(events(1), { length: 12 })]);
    await harness.run();
    expect(harness.sink.head?.length).toBe(12);
  });
});

// Guards against an event that the caller receives twice or in the wrong order.
describe('ForwardedCall of a stream whose events do not increase', () => {
  it.each([
    ['repeats', [9, 10, 10, 11], [9, 10]],
    ['goes back', [9, 10, 9], [9, 10]],
  ])('resumes after the event before it %s', async (_name, sent, relayed) => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [
      responds(events(...sent)),
      responds(events(11, 12)),
    ]);
    await harness.run();
    expect(harness.link.sent[1]?.lastEvent).toBe('10');
    expect(harness.sink).toMatchObject({
      text: events(...relayed, 11, 12).join(''),
      isEnded: true,
    });
  });

  it('does not compare identifiers that are no numbers', async () => {
    const text = 'id: b\n\nid: a\n\n';
    const harness = makeRouteHarness(RESUMABLE_STREAM, [responds([text])]);
    await harness.run();
    expect(harness.sink).toMatchObject({ text, isEnded: true });
  });
});

// Guards against cutting a response to which the rules of events do not apply.
describe('ForwardedCall of a stream that is answered with another content type', () => {
  it('relays the response unchanged', async () => {
    const harness = makeRouteHarness(RESUMABLE_STREAM, [
      responds(['{"text":"whole"}'], { isEventStream: false, length: 16 }),
    ]);
    await harness.run();
    expect(harness.sink).toMatchObject({
      head: { length: 16 },
      text: '{"text":"whole"}',
      isEnded: true,
    });
  });
});
