import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import {
  ConfirmedView,
  REGISTRATION_RECOVERY_MILLISECONDS,
} from 'hickoryrelay-forwarding/ConfirmedView';
import { EndpointPhase, EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';

import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

import { HEARTBEAT_MILLISECONDS, makeConfiguration, makeEndpoint } from './ForwardingFixture.js';

const snapshotOf = (names: readonly string[], version = 1) => ({
  configuration: makeConfiguration({ version }),
  endpoints: names.map((name) => makeEndpoint(name)),
  peers: [],
  isAuthorityHeld: false,
});

function namesOf(view: ConfirmedView): string[] {
  return view.endpoints.map(({ identifier }) => identifier).sort();
}

describe('ConfirmedView', () => {
  it('never replaces the configuration by an earlier version', () => {
    const view = new ConfirmedView(new ManualClock(), HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf([], 7), 0);
    view.apply(snapshotOf([], 6), 1);
    expect(view.configuration?.version).toBe(7);
  });

  it('measures its age from the request of the last read', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    await clock.advance(1000);
    view.apply(snapshotOf([]), 400);
    expect(view.ageMilliseconds).toBe(600);
  });

  it('removes an endpoint that is missing from a snapshot', () => {
    const view = new ConfirmedView(new ManualClock(), HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf(['a', 'b']), 0);
    expect(view.apply(snapshotOf(['a']), 1).removed.map(({ identifier }) => identifier)).toEqual([
      'b',
    ]);
    expect(namesOf(view)).toEqual(['a']);
  });

  // Guards against a leaving engine, or a stage change, that is missing from the log.
  it('reports endpoints whose phase or stage has changed', () => {
    const view = new ConfirmedView(new ManualClock(), HEARTBEAT_MILLISECONDS);
    const [first, second] = [makeEndpoint('a'), makeEndpoint('b')];
    const snapshot = { ...snapshotOf([]), endpoints: [first, second] };
    view.apply(snapshot, 0);
    expect(view.apply(snapshot, 1).changed).toEqual([]);
    const leaving = { ...first, phase: EndpointPhase.Leaving };
    const prefillEngine = { ...second, stage: EngineStage.Prefill };
    const { changed } = view.apply({ ...snapshot, endpoints: [leaving, prefillEngine] }, 2);
    expect(changed).toEqual([leaving, prefillEngine]);
  });

  // Guards against losing all endpoints whose registrations expired during a store outage.
  it('retains missing endpoints for the recovery time after a store outage, then removes them', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf(['a', 'b']), 0);
    view.recordFailedRead();
    await clock.advance(3 * HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf([]), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a', 'b']);
    await clock.advance(REGISTRATION_RECOVERY_MILLISECONDS + 1);
    view.apply(snapshotOf(['a']), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a']);
  });

  // Guards against requests to a removed endpoint after a single failed read.
  it('removes a missing endpoint at once if the gap was too short for a registration to expire', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf(['a', 'b']), 0);
    view.recordFailedRead();
    await clock.advance(HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf(['a']), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a']);
  });

  // Guards against each further failed read extending the retention of a removed endpoint.
  it('does not extend the retention when a read fails after the store is back', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf(['a', 'b']), 0);
    view.recordFailedRead();
    await clock.advance(3 * HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf(['a']), clock.monotonicMilliseconds());
    await clock.advance(REGISTRATION_RECOVERY_MILLISECONDS - 100);
    view.recordFailedRead();
    view.apply(snapshotOf(['a']), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a', 'b']);
    await clock.advance(200);
    view.apply(snapshotOf(['a']), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a']);
  });

  // Guards against requests to an endpoint that was removed while the store was unreachable.
  it('marks retained endpoints as unconfirmed', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf(['a', 'b', 'c']), 0);
    view.recordFailedRead();
    await clock.advance(3 * HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf(['a', 'b']), clock.monotonicMilliseconds());
    const registry = new EndpointRegistry(new PeerLoads());
    registry.replace(view.endpoints);
    expect(registry.readyEndpoints('desk').map(({ record }) => record.identifier)).toEqual([
      'a',
      'b',
    ]);
    view.recordFailedRead();
    await clock.advance(3 * HEARTBEAT_MILLISECONDS);
    view.apply(snapshotOf([]), clock.monotonicMilliseconds());
    registry.replace(view.endpoints);
    expect(registry.readyEndpoints('desk')).toHaveLength(2);
  });
});
