import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import {
  ConfirmedView,
  REGISTRATION_RETURN_MILLISECONDS,
} from 'hickoryrelay-forwarding/ConfirmedView';
import { EndpointPhase, EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';

import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

import { HEARTBEAT_MILLISECONDS, makeConfiguration, makeEndpoint } from './ForwardingFixture.js';

const readingOf = (names: readonly string[], version = 1) => ({
  configuration: makeConfiguration({ version }),
  endpoints: names.map((name) => makeEndpoint(name)),
  peers: [],
  isAuthorityHeld: false,
});

function namesOf(view: ConfirmedView): string[] {
  return view.endpoints.map(({ identifier }) => identifier).sort();
}

describe('the confirmed view', () => {
  it('never goes back to an earlier configuration', () => {
    const view = new ConfirmedView(new ManualClock(), HEARTBEAT_MILLISECONDS);
    view.apply(readingOf([], 7), 0);
    view.apply(readingOf([], 6), 1);
    expect(view.configuration?.version).toBe(7);
  });

  it('is as old as the moment at which the last reading was asked for', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    await clock.advance(1000);
    view.apply(readingOf([]), 400);
    expect(view.ageMilliseconds).toBe(600);
  });

  it('drops an endpoint that is missing from a reading', () => {
    const view = new ConfirmedView(new ManualClock(), HEARTBEAT_MILLISECONDS);
    view.apply(readingOf(['a', 'b']), 0);
    expect(view.apply(readingOf(['a']), 1).departed.map(({ identifier }) => identifier)).toEqual([
      'b',
    ]);
    expect(namesOf(view)).toEqual(['a']);
  });

  // Guards against a leaving engine, or one of another stage, that no log line tells of.
  it('says which endpoints have changed their phase or stage', () => {
    const view = new ConfirmedView(new ManualClock(), HEARTBEAT_MILLISECONDS);
    const [first, second] = [makeEndpoint('a'), makeEndpoint('b')];
    const reading = { ...readingOf([]), endpoints: [first, second] };
    view.apply(reading, 0);
    expect(view.apply(reading, 1).changed).toEqual([]);
    const leaving = { ...first, phase: EndpointPhase.Leaving };
    const reader = { ...second, stage: EngineStage.Prefill };
    const { changed } = view.apply({ ...reading, endpoints: [leaving, reader] }, 2);
    expect(changed).toEqual([leaving, reader]);
  });

  // Guards against the loss of all endpoints whose registrations lapsed while the store was away.
  it('keeps missing endpoints for a while after the store was away, and then drops them', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(readingOf(['a', 'b']), 0);
    view.missReading();
    await clock.advance(3 * HEARTBEAT_MILLISECONDS);
    view.apply(readingOf([]), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a', 'b']);
    await clock.advance(REGISTRATION_RETURN_MILLISECONDS + 1);
    view.apply(readingOf(['a']), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a']);
  });

  // Guards against requests to an endpoint that left, after a reading that failed once.
  it('drops a missing endpoint at once after a failure too short for a registration to lapse', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(readingOf(['a', 'b']), 0);
    view.missReading();
    await clock.advance(HEARTBEAT_MILLISECONDS);
    view.apply(readingOf(['a']), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a']);
  });

  // Guards against a gone endpoint that is kept for longer by each further reading that fails.
  it('keeps missing endpoints for no longer when a reading fails after the return', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(readingOf(['a', 'b']), 0);
    view.missReading();
    await clock.advance(3 * HEARTBEAT_MILLISECONDS);
    view.apply(readingOf(['a']), clock.monotonicMilliseconds());
    await clock.advance(REGISTRATION_RETURN_MILLISECONDS - 100);
    view.missReading();
    view.apply(readingOf(['a']), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a', 'b']);
    await clock.advance(200);
    view.apply(readingOf(['a']), clock.monotonicMilliseconds());
    expect(namesOf(view)).toEqual(['a']);
  });

  // Guards against requests to an endpoint that left while this instance was cut off from the store.
  it('says of endpoints that it keeps that they are not confirmed', async () => {
    const clock = new ManualClock();
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply(readingOf(['a', 'b', 'c']), 0);
    view.missReading();
    await clock.advance(3 * HEARTBEAT_MILLISECONDS);
    view.apply(readingOf(['a', 'b']), clock.monotonicMilliseconds());
    const registry = new EndpointRegistry(new PeerLoads());
    registry.replace(view.endpoints);
    expect(registry.readyEndpoints('desk').map(({ record }) => record.identifier)).toEqual([
      'a',
      'b',
    ]);
    view.missReading();
    await clock.advance(3 * HEARTBEAT_MILLISECONDS);
    view.apply(readingOf([]), clock.monotonicMilliseconds());
    registry.replace(view.endpoints);
    expect(registry.readyEndpoints('desk')).toHaveLength(2);
  });
});
