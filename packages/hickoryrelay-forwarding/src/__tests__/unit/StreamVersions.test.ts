import { describe, expect, it, vi } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { ASK_TIMEOUT_MILLISECONDS } from 'hickoryrelay-stream/StreamOrigins';

import {
  endpointFailure,
  makeConfiguration,
  makeEndpoint,
  makeRequest,
  makeResponse,
  makeRoute,
  makeRouteHarness,
  RecordingSink,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';

import type { EndpointBehaviour, HarnessOptions } from './ForwardingFixture.js';
import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { ForwardedRequest } from 'hickoryrelay-forwarding/ForwardedRequest';
import type { ForwardingRoute } from 'hickoryrelay-forwarding/ForwardingConfiguration';

/** What `makeRequest` asks for on the route of `makeRoute`. */
const DESK = { host: 'h.example', path: '/a/b', services: ['desk'] };

const events = (...identifiers: number[]) =>
  identifiers.map((identifier) => `id: ${identifier}\ndata: ${identifier}\n\n`);

const breaksAfter =
  (...identifiers: number[]): EndpointBehaviour =>
  async () =>
    makeResponse([...events(...identifiers), endpointFailure(true)]);

const delivers =
  (...identifiers: number[]): EndpointBehaviour =>
  async () =>
    makeResponse(events(...identifiers));

/** An exchange with an endpoint of each version. The first one is tried first. */
function makeVersions(
  versions: readonly (string | undefined)[],
  behaviours: EndpointBehaviour[],
  options: HarnessOptions = {},
) {
  const endpoints = versions.map((softwareVersion, index) =>
    makeEndpoint(`engine-${index}`, {
      zone: index === 0 ? 'zone-a' : `zone-${index}`,
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
    }),
  );
  const route = { ...RESUMABLE_STREAM, maximumAttempts: 3 };
  return makeRouteHarness(route, behaviours, { endpoints, ...options });
}

describe('a stream while endpoints of two software versions serve', () => {
  it('is not continued at the version that did not begin it', async () => {
    const harness = makeVersions(['v1', 'v2'], [breaksAfter(1, 2), delivers(3)]);
    await harness.run();
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink).toMatchObject({ text: events(1, 2).join(''), isAborted: true });
  });

  it.each([
    ['the same version', ['v1', 'v2', 'v1']],
    ['no stated version', [undefined, 'v2', undefined]],
  ])('is continued at an endpoint of %s', async (_name, versions) => {
    const harness = makeVersions(versions, [breaksAfter(1, 2), delivers(3)]);
    await harness.run();
    const [first, second] = harness.link.sent;
    expect(second?.endpoint.softwareVersion).toBe(first?.endpoint.softwareVersion);
    expect(harness.sink).toMatchObject({ text: events(1, 2, 3).join(''), isEnded: true });
  });

  it('begins at the other version if the first one fails before its first event', async () => {
    const harness = makeVersions(['v1', 'v2'], [breaksAfter(), delivers(1)]);
    await harness.run();
    expect(harness.sink).toMatchObject({ text: events(1).join(''), isEnded: true });
  });

  it('is not hedged at the other version when it stalls', async () => {
    const clock = new ManualClock();
    const stalls: EndpointBehaviour = async (_attempt, signal) => {
      async function* body(): AsyncGenerator<Buffer, void, void> {
        yield Buffer.from(events(1).join(''));
        await clock.sleep(60_000, signal);
      }
      return { ...makeResponse([]), body: body() };
    };
    const harness = makeVersions(['v1', 'v2'], [stalls, delivers(2)], { clock });
    const run = harness.run();
    await clock.advance(4000);
    await run;
    expect(harness.link.sent).toHaveLength(1);
    expect(harness.sink.text).toBe(events(1).join(''));
  });

  // An endpoint that restarts under its identifier has another start, and its connections stay at the same address.
  it.each([
    ['under the same start', 1, 'before its first event'],
    ['after a restart', 2, 'before its first event'],
    ['after a restart', 2, 'after its first event'],
  ])(
    'is not continued once its endpoint is registered with another version %s (%i), seen %s',
    async (_name, startedMilliseconds, seen) => {
      const harness = makeVersions(['v1', 'v1'], []);
      const register = ({ identifier, ...endpoint }: EndpointRecord) =>
        harness.registry.replace([
          { ...endpoint, identifier, startedMilliseconds, softwareVersion: 'v2' },
          ...harness.view.endpoints.filter((other) => other.identifier !== identifier),
        ]);
      const changes: EndpointBehaviour = async ({ endpoint }) => {
        async function* body(): AsyncGenerator<Buffer, void, void> {
          if (seen === 'before its first event') {
            register(endpoint);
          }
          yield Buffer.from(events(1).join(''));
          register(endpoint);
          throw endpointFailure(true);
        }
        return { ...makeResponse([]), body: body() };
      };
      harness.link.script([changes, delivers(2)]);
      await harness.run();
      expect(harness.sink).toMatchObject({ text: events(1).join(''), isAborted: true });
      const { signal } = new AbortController();
      expect(await harness.origins.find(DESK, 'request-1', signal)).toBeUndefined();
    },
  );

  // Guards against events of an endpoint that has started again at another version and is not registered yet.
  it('checks the incarnation of each endpoint, also after an event', async () => {
    const harness = makeVersions(['v1', 'v1', 'v1'], []);
    const isOther: EndpointBehaviour = async ({ incarnationCheck }) => {
      incarnationCheck?.decide(2);
      throw endpointFailure(false);
    };
    harness.link.script([breaksAfter(1), isOther, delivers(2)]);
    await harness.run();
    const checks = harness.link.sent.map(({ incarnationCheck }) => incarnationCheck);
    expect(checks.map((check) => check?.accepts(1))).toEqual([true, true, true]);
    expect(checks.map((check) => check?.accepts(undefined))).toEqual([true, false, false]);
    expect(harness.sink).toMatchObject({ text: events(1, 2).join(''), isEnded: true });
    const isEjected = harness.registry.readyEndpoints('desk').map((state) => state.isEjected(0));
    expect(isEjected.filter(Boolean)).toHaveLength(1);
  });

  it.each([
    ['an endpoint that states no start', RESUMABLE_STREAM, 0],
    ['a stream that is not resumed', { isStreaming: true }, 1],
  ])('checks no incarnation for %s', async (_name, route, startedMilliseconds) => {
    const endpoints = [makeEndpoint('engine', { startedMilliseconds })];
    const harness = makeRouteHarness(route, [delivers(1)], { endpoints });
    await harness.run();
    expect(harness.link.sent[0]?.incarnationCheck).toBeUndefined();
  });

  it('is not continued if its endpoint may be another incarnation', async () => {
    const harness = makeVersions(['v1', 'v1'], []);
    const begins: EndpointBehaviour = async (attempt, signal) => {
      attempt.incarnationCheck?.decide(undefined);
      return breaksAfter(1)(attempt, signal);
    };
    harness.link.script([begins, delivers(2)]);
    await harness.run();
    expect(harness.sink).toMatchObject({ text: events(1).join(''), isAborted: true });
    const { signal } = new AbortController();
    expect(await harness.origins.find(DESK, 'request-1', signal)).toBeUndefined();
  });

  // Guards against a sound stream that is cut because of what its endpoint registers meanwhile.
  it('goes on in its response when its endpoint is registered with another version', async () => {
    const harness = makeVersions(['v1'], []);
    const registers: EndpointBehaviour = async ({ endpoint }) => {
      async function* body(): AsyncGenerator<Buffer, void, void> {
        yield Buffer.from(events(1).join(''));
        harness.registry.replace([{ ...endpoint, softwareVersion: 'v2' }]);
        yield Buffer.from(events(2).join(''));
      }
      return { ...makeResponse([]), body: body() };
    };
    harness.link.script([registers]);
    await harness.run();
    expect(harness.sink).toMatchObject({ text: events(1, 2).join(''), isEnded: true });
  });

  // Guards against streams at a version of which another instance would name the earlier one.
  it('does not begin at a version that other instances may not have seen', async () => {
    const harness = makeVersions(['v1'], [delivers(1), delivers(1)]);
    const added = makeEndpoint('added', { softwareVersion: 'v2' });
    harness.registry.replace([added]);
    harness.origins.observe(new Map([['desk', new Set(['v1', 'v2'])]]), 0);
    await harness.run();
    expect(harness.link.sent).toHaveLength(0);
    expect(harness.sink.own?.status).toBe(503);
  });

  const resumption = (resumedRequest?: string) =>
    makeRequest({ identifier: 'resumption', lastEvent: '2', resumedRequest });

  it.each(['v1', 'v2'])(
    'that a caller resumes goes on at the version that began it: %s',
    async (version) => {
      const harness = makeVersions(['v1', 'v2'], [delivers(3)]);
      harness.origins.begin(DESK, 'desk', 'first', version);
      await harness.run(resumption('first'));
      expect(harness.link.sent[0]?.endpoint.softwareVersion).toBe(version);
      expect(harness.sink.isEnded).toBe(true);
    },
  );

  it.each([
    ['an attempt that never began', 'other'],
    ['no attempt', undefined],
  ])(
    'is refused without a wait for its deadline if its caller names %s',
    async (_name, resumed) => {
      const harness = makeVersions(['v1', 'v2'], [delivers(3)]);
      const run = harness.run(resumption(resumed));
      await harness.clock.advance(ASK_TIMEOUT_MILLISECONDS);
      await run;
      expect(harness.link.sent).toHaveLength(0);
      expect(harness.sink.own).toMatchObject({
        status: 503,
        retryAfterMilliseconds: expect.any(Number),
      });
    },
  );

  it('is refused at once if no endpoint of its version is left', async () => {
    const harness = makeVersions(['v2'], [delivers(3)]);
    harness.origins.begin(DESK, 'desk', 'first', 'v1');
    await harness.run(resumption('first'));
    expect(harness.sink.own?.status).toBe(503);
  });

  it('that was resumed can be resumed again by either attempt', async () => {
    const harness = makeVersions(['v1', 'v2'], [delivers(3)]);
    harness.origins.begin(DESK, 'desk', 'first', 'v2');
    await harness.run(resumption('first'));
    const find = (attempt: string) =>
      harness.origins.find(DESK, attempt, new AbortController().signal);
    expect(await Promise.all(['first', 'resumption'].map(find))).toEqual([
      { service: 'desk', version: 'v2', source: 'own-record' },
      { service: 'desk', version: 'v2', source: 'own-record' },
    ]);
  });
});

/** An exchange with a route that is split over two services of one version each. */
function makeSplitRoute(services: ForwardingRoute['services']) {
  const endpoints = ['desk', 'other'].map((service) =>
    makeEndpoint(`engine-${service}`, { service, softwareVersion: `${service}-v1` }),
  );
  const route = { ...RESUMABLE_STREAM, services };
  const harness = makeRouteHarness(route, [], { endpoints });
  /** Runs a request. Returns the service at which it ran, or undefined if it was refused. */
  const run = async (request: Partial<ForwardedRequest>) => {
    harness.link.script([delivers(request.lastEvent === undefined ? 1 : 2)]);
    const sent = harness.link.sent.length;
    const arrivedMilliseconds = harness.clock.monotonicMilliseconds();
    const received = makeRequest({ ...request, arrivedMilliseconds });
    const done = harness.exchange.handle(received, new RecordingSink());
    await harness.clock.advance(ASK_TIMEOUT_MILLISECONDS);
    await done;
    return harness.link.sent[sent]?.endpoint.service;
  };
  return { ...harness, run };
}

const BOTH_SERVICES = [
  { service: 'desk', weight: 1 },
  { service: 'other', weight: 1 },
];

// Guards against a stream that goes on at another service, whose only version is named for it.
describe('a stream of a route that is split over services', () => {
  it('goes on at the service that began it', async () => {
    const { run, budgets } = makeSplitRoute(BOTH_SERVICES);
    const addRequest = vi.spyOn(budgets, 'addRequest');
    for (let number = 0; number < 16; number += 1) {
      const identifier = `stream-${number}`;
      const began = await run({ identifier });
      expect(began).toBeDefined();
      const resumption = { identifier: `resumed-${number}`, resumedRequest: identifier };
      expect(await run({ ...resumption, lastEvent: '1' })).toBe(began);
      expect(addRequest.mock.calls).toEqual([[began], [began]]);
      addRequest.mockClear();
    }
  });

  it('is refused if no record names its service, though each service has one version', async () => {
    const { run } = makeSplitRoute(BOTH_SERVICES);
    expect(await run({ resumedRequest: 'unknown', lastEvent: '1' })).toBeUndefined();
  });

  it.each([
    ['no longer has its service', [{ service: 'other', weight: 1 }]],
    [
      'gives its service no share',
      [
        { service: 'other', weight: 1 },
        { service: 'desk', weight: 0 },
      ],
    ],
  ])('is refused once its route %s', async (_name, services) => {
    const { run, view, origins, clock } = makeSplitRoute([{ service: 'desk', weight: 1 }]);
    expect(await run({ identifier: 'stream' })).toBe('desk');
    const route = makeRoute({ ...RESUMABLE_STREAM, services });
    const configuration = makeConfiguration({ version: 2, routes: [route] });
    const { endpoints, peers } = view;
    view.apply(
      { configuration, endpoints, peers, isAuthorityHeld: false },
      clock.monotonicMilliseconds(),
    );
    origins.observeRoutes(configuration, 0);
    expect(await run({ resumedRequest: 'stream', lastEvent: '1' })).toBeUndefined();
    expect(await run({ resumedRequest: 'unknown', lastEvent: '1' })).toBeUndefined();
  });

  it.each([
    ['is sent to other instances while its service is settled', BOTH_SERVICES, 1],
    ['is not sent if its route has one service', [{ service: 'desk', weight: 1 }], 0],
  ])('%s', async (_name, services, records) => {
    const { run, origins } = makeSplitRoute(services);
    await run({ identifier: 'stream' });
    expect(origins.takeRecords()).toHaveLength(records);
  });
});
