import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { InstanceRateLimitShares } from 'hickoryrelay-forwarding/InstanceRateLimitShares';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { RateLimitExchange } from 'hickoryrelay-forwarding/RateLimitExchange';

import { makeEndpoint, RecordingLogger } from './ForwardingFixture.js';

import type { EndpointState } from 'hickoryrelay-forwarding/EndpointState';

const MESSAGE_PERIOD_MILLISECONDS = 100;

/** Time in which an unchanged limit is repeated once. */
const REPEAT_MILLISECONDS = 2400;

function setUp(endpoints = 1) {
  const clock = new ManualClock();
  const log = new RecordingLogger();
  const shares = new InstanceRateLimitShares('a', clock);
  const registry = new EndpointRegistry(new PeerLoads(), shares);
  registry.replace(
    Array.from({ length: endpoints }, (_unused, index) => makeEndpoint(`e${index}`)),
  );
  const states = registry.readyEndpoints('desk');
  const exchange = new RateLimitExchange({ registry, shares, clock, log });
  const name = (requestsPerSecond: number | undefined, state = states[0] as EndpointState) => {
    const now = clock.monotonicMilliseconds();
    state.availability.rateLimit.receive({ requestsPerSecond }, now, now);
  };
  const receive = (requestsPerSecond: number | undefined, ageMilliseconds = 0) =>
    exchange.receive({
      sender: 'b',
      rateLimits: [
        { endpoint: (states[0] as EndpointState).hash, requestsPerSecond, ageMilliseconds },
      ],
    });
  /** Sends messages for a time. Returns the reports in them. */
  const sendFor = async (milliseconds: number) => {
    const reports = [];
    for (let elapsed = 0; elapsed < milliseconds; elapsed += MESSAGE_PERIOD_MILLISECONDS) {
      reports.push(...exchange.reports());
      await clock.advance(MESSAGE_PERIOD_MILLISECONDS);
    }
    return reports;
  };
  const limit = () => states[0]?.availability.rateLimit.requestsPerSecond;
  return { clock, log, states, exchange, name, receive, sendFor, limit };
}

describe('RateLimitExchange', () => {
  it('reports nothing of an endpoint that has never named a limit', async () => {
    const { name, sendFor } = setUp();
    name(undefined);
    expect(await sendFor(30_000)).toEqual([]);
  });

  it('repeats a limit while it is in force, and its end for a while', async () => {
    const { name, sendFor } = setUp();
    name(5);
    expect((await sendFor(1500)).length).toBe(15);
    for (let round = 0; round < 5; round += 1) {
      const repeated = await sendFor(REPEAT_MILLISECONDS);
      expect(repeated.length).toBeGreaterThan(0);
      expect(repeated.length).toBeLessThan(5);
    }
    name(undefined);
    expect((await sendFor(10_000)).length).toBeGreaterThan(15);
    expect(await sendFor(30_000)).toEqual([]);
  });

  // Guards against messages that grow with the number of limited endpoints.
  it('reports few limits in a message, and all of them in turn', async () => {
    const { states, name, exchange, sendFor } = setUp(100);
    states.forEach((state) => name(5, state));
    expect(exchange.reports()).toHaveLength(24);
    await sendFor(1500);
    const repeated = new Set((await sendFor(REPEAT_MILLISECONDS)).map(({ endpoint }) => endpoint));
    expect(repeated.size).toBe(100);
  });

  it('logs once what it learns from another instance', () => {
    const { receive, log } = setUp();
    receive(5);
    receive(5);
    expect(log.lines).toEqual([
      {
        sentence: 'An endpoint named a rate limit.',
        endpoint: 'e0',
        service: 'desk',
        requestsPerSecond: 5,
        reporter: 'b',
      },
    ]);
  });

  // Guards against the end of an earlier limit that waited while the instance was paused.
  it('does not end a limit by a message that may have waited during a pause', async () => {
    const { clock, name, receive, sendFor, limit } = setUp();
    await sendFor(100);
    name(5);
    await clock.advance(7000);
    receive(undefined);
    expect(limit()).toBe(5);
    await sendFor(900);
    receive(undefined);
    expect(limit()).toBe(5);
    await sendFor(100);
    receive(undefined);
    expect(limit()).toBeUndefined();
  });

  // Guards against an old report that is passed on to others with the age of a new one.
  it.each([5, 30, undefined])(
    'does not take %s from a message that waited in a pause',
    async (value) => {
      const { clock, states, name, receive, sendFor } = setUp();
      await sendFor(100);
      name(5);
      await clock.advance(1);
      name(value);
      await clock.advance(7000);
      receive(value);
      const report = states[0]?.availability.rateLimit.report(clock.monotonicMilliseconds());
      expect(report?.ageMilliseconds).toBe(7000);
    },
  );
});
