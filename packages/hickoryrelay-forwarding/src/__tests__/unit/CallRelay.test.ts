import { describe, expect, it, vi } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { ConfigurationFloor } from 'hickoryrelay-relay/ConfigurationFloor';
import { EndpointReach } from 'hickoryrelay-relay/EndpointReach';
import { RelayLink } from 'hickoryrelay-relay/RelayLink';
import { RelayTargets } from 'hickoryrelay-relay/RelayTargets';
import { StreamOrigins } from 'hickoryrelay-stream/StreamOrigins';
import { VersionHistory } from 'hickoryrelay-stream/VersionHistory';

import {
  endpointFailure,
  makeEndpoint,
  GRACE_MILLISECONDS,
  makeRequest,
  makeResponse,
  makeRouteHarness,
  RecordingLogger,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';

import type { EndpointBehaviour, HarnessOptions } from './ForwardingFixture.js';
import type { ForwardingRoute } from 'hickoryrelay-forwarding/ForwardingConfiguration';
import type { RelayedRequest, RelayReceiver, RelayResponse } from 'hickoryrelay-relay/RelayLink';

const refusesConnection: EndpointBehaviour = async () => {
  throw endpointFailure(false);
};
const losesResponse: EndpointBehaviour = async () => {
  throw endpointFailure(true);
};
const refusesToRun: EndpointBehaviour = async () =>
  makeResponse([], { status: 503, isNotRun: true });
const succeeds: EndpointBehaviour = async () => makeResponse(['here']);

/** Other instances that answer each request in the same way. */
class OtherInstances extends RelayLink {
  readonly received: RelayedRequest[] = [];

  answer = async (): Promise<Partial<RelayResponse>> => ({});

  override async send(_receiver: RelayReceiver, request: RelayedRequest): Promise<RelayResponse> {
    this.received.push(request);
    return { ...makeResponse(['elsewhere']), isUnreachable: false, ...(await this.answer()) };
  }
}

function makeRelay(
  route: Partial<ForwardingRoute>,
  behaviours: EndpointBehaviour[],
  options: HarnessOptions = {},
) {
  const clock = new ManualClock();
  const random = new SeededRandomSource(1);
  const reach = new EndpointReach({ clock, random });
  const endpoints = ['e1', 'e22'];
  reach.setEndpoints(new Map([['desk', new Set(endpoints)]]));
  const self = { instance: 'instance-1', zone: 'zone-a' };
  const targets = new RelayTargets({ self, clock, random });
  targets.setReceivers([{ instance: 'instance-2', zone: 'zone-b', host: '10.0.0.2', port: 7000 }]);
  const others = new OtherInstances();
  const log = new RecordingLogger();
  const parts = {
    relay: { reach, targets, link: others, floor: new ConfigurationFloor(() => {}) },
    ...options.parts,
  };
  const harness = makeRouteHarness(route, behaviours, { clock, log, ...options, parts });
  const cutOff = () => endpoints.forEach((endpoint) => reach.recordFailed('desk', endpoint));
  return { ...harness, others, log, cutOff, reach, targets };
}

const expectServedElsewhere = ({ sink, log }: ReturnType<typeof makeRelay>) => {
  expect(sink).toMatchObject({ status: 200, text: 'elsewhere', isEnded: true });
  expect(log.lines.at(-1)).toMatchObject({ outcome: 'relayed', relayedTo: 'instance-2' });
};

describe('The request of a call', () => {
  it('is passed on without an attempt when its endpoints cannot be reached', async () => {
    const relay = makeRelay({}, [succeeds]);
    relay.cutOff();
    await relay.run();
    expectServedElsewhere(relay);
    expect(relay.link.sent).toHaveLength(0);
    expect(relay.others.received[0]).toMatchObject({ accessKey: 'key-1', attemptsMade: 0 });
  });

  // Guards against refusals by all instances after a failure of the endpoints that they had in common.
  it('is sent to endpoints that can be connected to again if no other instance can help', async () => {
    const relay = makeRelay({}, [succeeds]);
    relay.cutOff();
    relay.reach.recordOpened('desk', 'e1');
    relay.targets.setReceivers([]);
    await relay.run();
    expect(relay.sink).toMatchObject({ status: 200, text: 'here', isEnded: true });
    expect(relay.others.received).toHaveLength(0);
  });

  it('is passed on when no connection to an endpoint could be opened', async () => {
    const relay = makeRelay({}, [refusesConnection, refusesConnection]);
    await relay.run();
    expectServedElsewhere(relay);
  });

  it('is passed on with its attempts when the other endpoints cannot be reached', async () => {
    const relay = makeRelay({}, [refusesToRun, refusesConnection]);
    await relay.run();
    expectServedElsewhere(relay);
    expect(relay.others.received[0]?.attemptsMade).toBe(1);
  });

  // Guards against a version of a resumed stream that a cut-off instance does not know.
  it('is passed on before the origin of its stream is looked up', async () => {
    const clock = new ManualClock();
    const origins = new StreamOrigins(new VersionHistory(1000), clock);
    const relay = makeRelay(RESUMABLE_STREAM, [], { parts: { origins } });
    relay.cutOff();
    await relay.run(makeRequest({ lastEvent: '7', resumedRequest: 'earlier' }));
    expectServedElsewhere(relay);
    expect(relay.others.received[0]?.lastEvent).toBe('7');
  });

  it.each([
    ['may have run', [losesResponse], 502],
    ['may have run before a connection fails', [losesResponse, refusesConnection], 502],
    ['was refused by full endpoints', [refusesToRun, refusesToRun], 503],
  ])('is not passed on when it %s', async (_name, behaviours, status) => {
    const relay = makeRelay({}, behaviours);
    await relay.run();
    expect(relay.sink.own).toMatchObject({ status });
    expect(relay.others.received).toHaveLength(0);
  });

  // Guards against callers of the relay port that use up the retry budget by the attempts that they state.
  it('takes no retry for the attempts that another instance states', async () => {
    const relay = makeRelay({ maximumAttempts: 3 }, [succeeds]);
    while (relay.budgets.tryTake('desk')) {
      // Exhausts the budget.
    }
    await relay.run(makeRequest({ relayed: { attemptsMade: 1 } }));
    expect(relay.sink).toMatchObject({ status: 200, text: 'here', isEnded: true });
  });

  it('is passed on after an attempt only with a retry budget', async () => {
    const relay = makeRelay({ maximumAttempts: 3 }, [refusesToRun, refusesConnection]);
    const takes = vi.spyOn(relay.budgets, 'tryTake');
    takes.mockReturnValueOnce(true).mockReturnValue(false);
    await relay.run();
    expect(takes).toHaveBeenCalledTimes(2);
    expect(relay.sink.own).toMatchObject({ status: 503 });
    expect(relay.others.received).toHaveLength(0);
  });

  it('is not passed on without a retry budget', async () => {
    const endpoints = ['e1', 'e22', 'e333'].map((identifier) => makeEndpoint(identifier));
    const behaviours = [refusesConnection, refusesToRun];
    const relay = makeRelay({ maximumAttempts: 4 }, behaviours, { endpoints });
    while (relay.budgets.tryTake('desk')) {
      // Exhausts the budget.
    }
    await relay.run(makeRequest({ relayed: { attemptsMade: 1 } }));
    expect(relay.sink.own).toMatchObject({ status: 503 });
    expect(relay.sink.own?.isUnreachable).toBeUndefined();
    expect(relay.others.received).toHaveLength(0);
  });

  it.each([
    ['cannot be reached', true, []],
    ['refuse connections', false, [refusesConnection, refusesConnection]],
  ])('is refused at the second instance if its endpoints %s', async (_name, isCut, behaviours) => {
    const relay = makeRelay({}, behaviours);
    if (isCut) {
      relay.cutOff();
    }
    await relay.run(makeRequest({ relayed: { attemptsMade: 0 } }));
    expect(relay.sink.own).toMatchObject({ status: 503, isUnreachable: true });
    expect(relay.others.received).toHaveLength(0);
  });

  it('is not sent beyond the limit of its route by two instances together', async () => {
    const relay = makeRelay({ maximumAttempts: 2 }, [refusesToRun, succeeds]);
    await relay.run(makeRequest({ relayed: { attemptsMade: 1 } }));
    expect(relay.link.sent).toHaveLength(1);
    expect(relay.sink.own).toMatchObject({ status: 503 });
  });

  // Guards against a machine that goes back to an older configuration after another one has decided by a newer one.
  it('is refused at the second instance if its configuration is older', async () => {
    const relay = makeRelay({}, [succeeds]);
    const { version } = relay.view.configuration ?? { version: 0 };
    await relay.run(
      makeRequest({ relayed: { attemptsMade: 0, minimumConfiguration: version + 1 } }),
    );
    expect(relay.sink.own).toMatchObject({ status: 503, isUnreachable: true });
    expect(relay.link.sent).toHaveLength(0);
  });

  // Guards against callers that are refused although another instance than the one that stops could serve them.
  it('is refused at the second instance as unable to help while that stops', async () => {
    const relay = makeRelay({ timeoutMilliseconds: GRACE_MILLISECONDS }, [succeeds]);
    relay.shutdown.begin();
    await relay.clock.advance(GRACE_MILLISECONDS / 2);
    const arrivedMilliseconds = relay.clock.monotonicMilliseconds();
    const times = { arrivedMilliseconds, callerTimeoutMilliseconds: GRACE_MILLISECONDS };
    await relay.run(makeRequest({ ...times, relayed: { attemptsMade: 0 } }));
    expect(relay.sink.own).toMatchObject({ status: 503, isUnreachable: true });
    expect(relay.link.sent).toHaveLength(0);
  });

  it('is refused with a retry delay if no instance can send it', async () => {
    const relay = makeRelay({}, []);
    relay.others.answer = async () => ({ isUnreachable: true });
    relay.cutOff();
    await relay.run();
    expect(relay.sink.own).toMatchObject({ status: 503 });
    expect(relay.sink.own?.retryAfterMilliseconds).toBeGreaterThan(0);
    expect(relay.sink.own?.isUnreachable).toBeUndefined();
  });

  // Guards against two origins of one stream, of which either may be named when its caller resumes it.
  it('is not repeated if another instance may have begun a stream that can be resumed', async () => {
    const relay = makeRelay({ ...RESUMABLE_STREAM, maximumAttempts: 3 }, []);
    const receiver = { zone: 'zone-b', host: '10.0.0.2', port: 7000 };
    relay.targets.setReceivers(
      ['instance-2', 'instance-3'].map((instance) => ({ ...receiver, instance })),
    );
    relay.others.answer = () => Promise.reject(endpointFailure(true));
    relay.cutOff();
    await relay.run();
    expect(relay.others.received).toHaveLength(1);
    expect(relay.sink.own).toMatchObject({ status: 502 });
  });

  it('ends with 502 if another instance may have run it', async () => {
    const relay = makeRelay({}, []);
    relay.others.answer = () => Promise.reject(endpointFailure(true));
    relay.cutOff();
    await relay.run();
    expect(relay.sink.own).toMatchObject({ status: 502 });
    expect(relay.sink.own?.retryAfterMilliseconds).toBeUndefined();
  });
});
