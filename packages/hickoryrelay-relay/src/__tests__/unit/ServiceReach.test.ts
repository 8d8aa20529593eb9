import { beforeEach, describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import {
  PROBE_PERIOD_MILLISECONDS,
  ReachState,
  RESPONSE_EVIDENCE_MILLISECONDS,
  ServiceReach,
} from '../../ServiceReach.js';

const ENDPOINTS = ['a', 'b', 'c', 'd', 'e'];
const STEP = PROBE_PERIOD_MILLISECONDS;

let reach: ServiceReach;

function makeReach(endpoints: readonly string[]): ServiceReach {
  const made = new ServiceReach(new SeededRandomSource(1));
  made.setEndpoints(new Set(endpoints), 0);
  return made;
}

function failAt(endpoints: string, now = 0): void {
  [...endpoints].forEach((endpoint) => reach.recordFailed(endpoint, now));
}

beforeEach(() => {
  reach = makeReach(ENDPOINTS);
});

describe('ServiceReach', () => {
  // Guards against a service that counts as unreachable because of one or two faulty endpoints.
  it('stays reachable while connections fail at fewer than three endpoints', () => {
    failAt('ababababbbbb');
    expect(reach.stateAt(0)).toBe(ReachState.Reachable);
    expect(reach.directShare(0)).toBe(1);
  });

  // Guards against requests that wait for a connection during a partition.
  it('becomes unreachable when connections fail at three endpoints in succession', () => {
    failAt('ab');
    reach.recordOpened('c', 0);
    failAt('ab');
    expect(reach.stateAt(0)).toBe(ReachState.Reachable);
    failAt('d');
    expect(reach.stateAt(0)).toBe(ReachState.Unreachable);
    expect(reach.directShare(60_000)).toBe(0);
  });

  // Guards against a full load on a path that has just come back.
  it('returns in steps after a connection opens', () => {
    failAt('abc');
    reach.recordOpened('a', STEP);
    const shares = [1, 2, 3, 4, 5].map((step) => reach.directShare(step * STEP));
    expect(shares).toEqual([0.1, 0.2, 0.4, 0.8, 1]);
    expect(reach.stateAt(5 * STEP)).toBe(ReachState.Reachable);
  });

  // Guards against a return that one full engine ends, and against one that outlasts a new partition.
  it('ends its return when connections fail at two endpoints', () => {
    failAt('abc');
    reach.recordOpened('a', 0);
    failAt('eeee');
    expect(reach.stateAt(0)).toBe(ReachState.Returning);
    failAt('a');
    expect(reach.stateAt(0)).toBe(ReachState.Unreachable);
    reach.setEndpoints(new Set(ENDPOINTS), 0);
    expect(reach.stateAt(0)).toBe(ReachState.Unreachable);
  });

  // Guards against a single endpoint that never counts as unreachable, or stays so after a restart.
  it('follows the only endpoint of a service and its successor', () => {
    reach = makeReach(['a']);
    failAt('a');
    expect(reach.stateAt(0)).toBe(ReachState.Unreachable);
    reach.setEndpoints(new Set(['b']), 1);
    expect(reach.stateAt(1)).toBe(ReachState.Returning);
    failAt('b', 2);
    expect(reach.stateAt(2)).toBe(ReachState.Unreachable);
  });

  // Guards against evidence about endpoints that a release has replaced.
  it('drops what endpoints that have left showed', () => {
    failAt('ab');
    reach.setEndpoints(new Set(['c', 'd', 'e']), 0);
    failAt('abc');
    expect(reach.stateAt(0)).toBe(ReachState.Reachable);
    failAt('de');
    expect(reach.stateAt(0)).toBe(ReachState.Unreachable);
    reach.setEndpoints(new Set(['f', 'g', 'h']), 0);
    expect(reach.stateAt(0)).toBe(ReachState.Returning);
    reach.setEndpoints(new Set(), 0);
    expect(reach.stateAt(0)).toBe(ReachState.Reachable);
  });

  // Guards against engines that are all full, whose open connections would no longer be used.
  it('stays reachable while connections that are open deliver responses', () => {
    reach.recordResponse('a', 1);
    failAt('abcde', RESPONSE_EVIDENCE_MILLISECONDS);
    expect(reach.stateAt(RESPONSE_EVIDENCE_MILLISECONDS)).toBe(ReachState.Reachable);
    const end = RESPONSE_EVIDENCE_MILLISECONDS + 1;
    failAt('a', end);
    expect(reach.stateAt(end)).toBe(ReachState.Unreachable);
    reach.recordResponse('b', end);
    expect(reach.stateAt(end)).toBe(ReachState.Returning);
  });

  // Guards against a partition that one late connection hides.
  it('becomes unreachable again after a straggler', () => {
    failAt('abcdeabcde');
    reach.recordOpened('c', 0);
    failAt('de');
    expect(reach.stateAt(0)).toBe(ReachState.Unreachable);
  });

  // Guards against probes of the same endpoints, and against a first failure that is not looked into.
  it('probes two endpoints in each period, first those that have not failed, then the oldest failures', () => {
    const due = (step: number) => [...reach.dueProbes(step * STEP)];
    expect(due(0)).toEqual([]);
    failAt('abc');
    expect(due(0).toSorted()).toEqual(['d', 'e']);
    expect([...reach.dueProbes(STEP - 1)]).toEqual([]);
    failAt('de');
    expect(due(1)).toEqual(['a', 'b']);
    failAt('ab');
    expect(due(2)).toEqual(['c', 'd']);
    reach.recordOpened('c', 2 * STEP);
    expect(due(3)).toEqual([]);
    failAt('a', 3 * STEP);
    const [first, second] = due(3);
    expect(new Set(['a', first, second]).size).toBe(3);
  });
});
