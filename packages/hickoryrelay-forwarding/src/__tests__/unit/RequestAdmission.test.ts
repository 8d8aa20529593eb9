import { describe, expect, it } from 'vitest';

import {
  HEARTBEAT_MILLISECONDS,
  makeConfiguration,
  makeHarness,
  makeRequest,
  makeResponse,
  makeRoute,
} from './ForwardingFixture.js';
import type { EndpointBehaviour } from './ForwardingFixture.js';

const succeeds: EndpointBehaviour = async () => makeResponse(['good']);

describe('RequestAdmission', () => {
  it.each([
    ['an unknown route', { target: '/none/x' }, 404],
    ['a route of another host', { host: 'other.example' }, 404],
    ['an unknown key', { accessKey: 'key-2' }, 401],
    ['no key', { accessKey: undefined }, 401],
  ])('denies %s', async (_name, changes, status) => {
    const harness = makeHarness({ behaviours: [succeeds] });
    await harness.run(makeRequest(changes));
    expect(harness.sink.own?.status).toBe(status);
    expect(harness.link.sent).toHaveLength(0);
  });

  // Guards against the denial of a route or key that a newer configuration declares.
  it.each([
    ['an unknown route', { target: '/none/x' }],
    ['an unknown key', { accessKey: 'key-2' }],
  ])('refuses %s with 503 while the configuration is not confirmed', async (_name, changes) => {
    const harness = makeHarness({ behaviours: [succeeds] });
    await harness.run(makeRequest({ ...changes, arrivedSuspensionMilliseconds: 3000 }));
    expect(harness.sink.own).toMatchObject({ status: 503 });
  });

  // Guards against the use of a key that was withdrawn while the store could not be reached.
  it('refuses requests with a key if the configuration is too old', async () => {
    const harness = makeHarness({ behaviours: [succeeds] });
    await harness.run(makeRequest({ arrivedSuspensionMilliseconds: 4501 }));
    expect(harness.sink.own?.status).toBe(503);
    expect(harness.link.sent).toHaveLength(0);
  });

  it('admits anonymous requests on routes that allow them, even on an old view', async () => {
    const configuration = makeConfiguration({ routes: [makeRoute({ allowsAnonymous: true })] });
    const harness = makeHarness({ configuration, behaviours: [succeeds] });
    await harness.run(makeRequest({ accessKey: undefined, arrivedSuspensionMilliseconds: 60_000 }));
    expect(harness.sink.text).toBe('good');
    expect(harness.link.sent[0]?.account).toBeUndefined();
  });

  it('matches the longest prefix of the path, ignoring the query', async () => {
    const configuration = makeConfiguration({
      routes: [
        makeRoute({ prefix: '/a/', services: [{ service: 'desk', weight: 1 }] }),
        makeRoute({ prefix: '/a/b/', services: [{ service: 'none', weight: 1 }] }),
      ],
    });
    const harness = makeHarness({ configuration, behaviours: [succeeds] });
    await harness.run(makeRequest({ target: '/a/c?x=/a/b/' }));
    expect(harness.sink.text).toBe('good');
  });

  it('refuses requests with 503 before a configuration is known', async () => {
    const { RequestAdmission } = await import('hickoryrelay-forwarding/RequestAdmission');
    const { ConfirmedView } = await import('hickoryrelay-forwarding/ConfirmedView');
    const { CallTrace } = await import('hickoryrelay-forwarding/CallTrace');
    const { ManualClock } = await import('hickoryrelay/ManualClock');
    const { SeededRandomSource } = await import('hickoryrelay/RandomSource');
    const { LIMITS } = await import('./ForwardingFixture.js');
    const admission = new RequestAdmission(
      new ConfirmedView(new ManualClock(), HEARTBEAT_MILLISECONDS),
      LIMITS,
      new SeededRandomSource(1),
    );
    expect(admission.admit(makeRequest(), new CallTrace())).toMatchObject({
      kind: 'answered',
      own: { status: 503 },
    });
  });
});
