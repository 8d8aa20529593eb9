import { describe, expect, it } from 'vitest';
import {
  AvailabilityChange,
  EndpointAvailability,
} from 'hickoryrelay-endpoint/EndpointAvailability';
import { backoffOf } from 'hickoryrelay-endpoint/RetryAfterUtils';

import type { EndpointNotice } from 'hickoryrelay-endpoint/EndpointAvailability';

const NO_NOTICE = { isLeaving: false, backoffMilliseconds: undefined, isAccepted: false };
const LEAVING = { ...NO_NOTICE, isLeaving: true, isAccepted: true };
const ACCEPTED = { ...NO_NOTICE, isAccepted: true };
const backoff = (milliseconds: number) => ({ ...NO_NOTICE, backoffMilliseconds: milliseconds });

const HOUR_MILLISECONDS = 3_600_000;

/** Sends a request that the endpoint refuses for a time. */
function refuse(availability: EndpointAvailability, milliseconds: number, now: number): void {
  const permit = availability.startRequest(now);
  availability.receive(backoff(milliseconds), permit, now);
  permit.end();
}

describe('EndpointAvailability', () => {
  it('takes no requests once the endpoint is leaving, whatever it answers later', () => {
    const availability = new EndpointAvailability();
    const permit = availability.startRequest(0);
    expect(availability.receive(LEAVING, permit, 0)).toBe(AvailabilityChange.Leaving);
    expect(availability.receive(LEAVING, permit, 0)).toBe(AvailabilityChange.None);
    expect(availability.receive(ACCEPTED, permit, 1)).toBe(AvailabilityChange.None);
    expect(permit.isValid).toBe(false);
    expect(availability.allowsRequest(HOUR_MILLISECONDS)).toBe(false);
    expect(availability.waitMilliseconds(0)).toBe(Number.POSITIVE_INFINITY);
  });

  it('invalidates the permits of requests that are still connecting when a backoff begins', () => {
    const availability = new EndpointAvailability();
    const connecting = availability.startRequest(0);
    refuse(availability, 5000, 0);
    expect(connecting.isValid).toBe(false);
  });

  it('takes the latest end of overlapping backoffs', () => {
    const availability = new EndpointAvailability();
    refuse(availability, 5000, 0);
    const permit = availability.startRequest(0);
    expect(availability.receive(backoff(3000), permit, 1000)).toBe(AvailabilityChange.None);
    expect(availability.waitMilliseconds(1000)).toBe(4000);
    availability.receive(backoff(9000), permit, 1000);
    expect(availability.waitMilliseconds(1000)).toBe(9000);
  });

  it('allows one probe at a time after a backoff, until one is accepted', () => {
    const availability = new EndpointAvailability();
    refuse(availability, 5000, 0);
    const first = availability.startRequest(5000);
    expect(first.isValid).toBe(true);
    expect(availability.allowsRequest(5000)).toBe(false);
    // Chosen in the same step as the first, before either was started.
    expect(availability.startRequest(5000).isValid).toBe(false);
    availability.receive(NO_NOTICE, first, 5010);
    first.end();
    expect(availability.allowsRequest(5010)).toBe(true);
    const second = availability.startRequest(5010);
    expect(availability.receive(ACCEPTED, second, 5020)).toBe(AvailabilityChange.Available);
    expect(availability.allowsRequest(5020)).toBe(true);
    expect(availability.startRequest(5020).isValid).toBe(true);
  });

  // Guards against a request from before the backoff that is taken for an accepted probe.
  it('does not end a backoff by the response to another request than the probe', () => {
    const availability = new EndpointAvailability();
    const earlier = availability.startRequest(0);
    refuse(availability, 5000, 0);
    expect(availability.receive(ACCEPTED, earlier, 100)).toBe(AvailabilityChange.None);
    expect(availability.allowsRequest(100)).toBe(false);
    const probe = availability.startRequest(5000);
    expect(availability.receive(ACCEPTED, earlier, 5001)).toBe(AvailabilityChange.None);
    probe.end();
    expect(availability.allowsRequest(5002)).toBe(true);
  });

  it('begins a new backoff if a probe after the end is refused', () => {
    const availability = new EndpointAvailability();
    refuse(availability, 5000, 0);
    refuse(availability, 2000, 5000);
    expect(availability.allowsRequest(6999)).toBe(false);
    expect(availability.allowsRequest(7000)).toBe(true);
  });

  it.each([
    ['five minutes', 300_000, [300_000]],
    ['an hour', HOUR_MILLISECONDS, [60_000, 600_000, HOUR_MILLISECONDS]],
  ])('allows at most two probes before the end of %s', (_name, milliseconds, expected) => {
    const availability = new EndpointAvailability();
    refuse(availability, milliseconds, 0);
    const sent: number[] = [];
    for (let now = 1000; sent.length < expected.length; now += 1000) {
      if (availability.allowsRequest(now)) {
        sent.push(now);
        availability.startRequest(now).end();
      }
    }
    expect(sent).toEqual(expected);
  });
});

describe('the successor of an EndpointAvailability', () => {
  const WALL_MILLISECONDS = 1_700_000_000_000;

  function receive(notice: Partial<EndpointNotice>) {
    const availability = new EndpointAvailability();
    const permit = availability.startRequest(0);
    availability.receive({ ...NO_NOTICE, ...notice }, permit, 0, WALL_MILLISECONDS);
    return availability;
  }

  // Guards against a backoff that is lost because the view did not yet show the restart.
  it.each([
    [WALL_MILLISECONDS - 1, false],
    [WALL_MILLISECONDS + 1, true],
  ])('keeps a backoff only if it was received after its start at %i', (started, isAllowed) => {
    const successor = receive({ backoffMilliseconds: 5000 }).succeed(started);
    expect(successor.allowsRequest(0)).toBe(isAllowed);
    expect(successor.allowsRequest(5000)).toBe(true);
  });

  // Guards against an endpoint that is never used because clocks differ.
  it.each([
    [WALL_MILLISECONDS - 5001, false],
    [WALL_MILLISECONDS - 4999, true],
    [WALL_MILLISECONDS + 1, true],
  ])('is leaving only if that was received well after its start at %i', (started, isAllowed) => {
    expect(receive({ isLeaving: true }).succeed(started).allowsRequest(0)).toBe(isAllowed);
  });
});

describe('backoffOf', () => {
  it.each([
    [['1'], 1000],
    [['0.25'], 250],
    [['.5'], 500],
    [['1e9'], 1e12],
    [['1e999'], Number.MAX_SAFE_INTEGER],
    [['2', '7', '3'], 7000],
    [['2, 7'], 7000],
    [['-1', '2'], 2000],
    [[], undefined],
    [[''], undefined],
    [['0'], undefined],
    [['0.0'], undefined],
    [['-3'], undefined],
    [['1.5s'], undefined],
    [['0x10'], undefined],
    [['Infinity'], undefined],
    [['Wed, 21 Oct 2037 07:28:00 GMT'], undefined],
  ] as [string[], number | undefined][])('reads %j as %s ms', (values, milliseconds) => {
    expect(backoffOf(503, values)).toBe(milliseconds);
    expect(backoffOf(429, values)).toBeUndefined();
  });
});
