import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import { EndpointReach, ReachState } from '../../EndpointReach.js';

import type { ReachChange } from '../../EndpointReach.js';

const REQUESTS = 2000;

let clock: ManualClock;
let changes: ReachChange[];
let reach: EndpointReach;

function setEndpoints(services: Readonly<Record<string, string>>): void {
  reach.setEndpoints(
    new Map(Object.entries(services).map(([service, names]) => [service, new Set(names)])),
  );
}

function relayedShare(service: string): number {
  const relayed = Array.from({ length: REQUESTS }, () => reach.shouldRelay(service));
  return relayed.filter(Boolean).length / REQUESTS;
}

beforeEach(() => {
  clock = new ManualClock();
  changes = [];
  const random = new SeededRandomSource(1);
  reach = new EndpointReach({ clock, random, onChange: (change) => changes.push(change) });
  setEndpoints({ chat: 'abcd', desk: 'x' });
});

describe('EndpointReach', () => {
  // Guards against a partition from one service that takes requests of another from their endpoints.
  it('judges each service by its own endpoints', () => {
    reach.recordFailed('desk', 'x');
    reach.recordFailed('chat', 'a');
    reach.recordFailed('unknown', 'x');
    expect(reach.stateOf('desk')).toBe(ReachState.Unreachable);
    expect(relayedShare('desk')).toBe(1);
    expect(['chat', 'unknown'].map((service) => reach.stateOf(service))).toEqual([
      ReachState.Reachable,
      ReachState.Reachable,
    ]);
    expect(relayedShare('chat')).toBe(0);
  });

  // Guards against a share of direct requests that differs from the step of the return.
  it('passes nine tenths of the requests on when connections have just opened again', () => {
    reach.recordFailed('desk', 'x');
    reach.recordOpened('desk', 'x');
    expect(relayedShare('desk')).toBeGreaterThan(0.87);
    expect(relayedShare('desk')).toBeLessThan(0.93);
  });

  // Guards against changes of state that are not logged, or are logged for each failure.
  it('reports each change of state once', async () => {
    ['a', 'b', 'c', 'd', 'a'].forEach((endpoint) => reach.recordFailed('chat', endpoint));
    expect([...reach.dueProbes()].map(({ service }) => service)).toEqual(['chat', 'chat']);
    reach.recordOpened('chat', 'a');
    await clock.advance(2000);
    expect([...reach.dueProbes()]).toEqual([]);
    reach.recordFailed('desk', 'x');
    setEndpoints({ chat: 'abcd' });
    const { Reachable, Unreachable, Returning } = ReachState;
    expect(changes.map(({ service, state }) => [service, state])).toEqual([
      ['chat', Unreachable],
      ['chat', Returning],
      ['chat', Reachable],
      ['desk', Unreachable],
      ['desk', Reachable],
    ]);
    expect([...reach.directShares()]).toEqual([['chat', 1]]);
  });
});
