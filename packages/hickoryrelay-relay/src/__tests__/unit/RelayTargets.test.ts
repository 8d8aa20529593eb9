import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import {
  MAXIMUM_OPEN_HOPS,
  UNABLE_MILLISECONDS,
  FIRST_UNREACHED_MILLISECONDS,
  MAXIMUM_UNREACHED_MILLISECONDS,
} from '../../RelayTarget.js';
import { RelayTargets } from '../../RelayTargets.js';

import type { RelayReceiver } from '../../RelayLink.js';

const SERVICE = 'chat';

function receiver(instance: string, zone: string, port = 7000): RelayReceiver {
  return { instance, zone, host: '127.0.0.1', port };
}

const NEAR = [receiver('near-1', 'here'), receiver('near-2', 'here')] as const;
const FAR = [receiver('far-1', 'there'), receiver('far-2', 'there')] as const;

let clock: ManualClock;
let targets: RelayTargets;

function namesFor(service = SERVICE): string[] {
  return [...targets.candidates(service)].map(({ instance }) => instance);
}

beforeEach(() => {
  clock = new ManualClock();
  const self = { instance: 'self', zone: 'here' };
  targets = new RelayTargets({ self, clock, random: new SeededRandomSource(1) });
  targets.setReceivers([...FAR, receiver('self', 'here'), ...NEAR]);
});

describe('RelayTargets', () => {
  // Guards against traffic between zones, and against one instance that gets all hops.
  it('names the own zone first and spreads over equals', () => {
    const orders = Array.from({ length: 50 }, () => namesFor());
    orders.forEach((order) => {
      expect(order.slice(0, 2).toSorted()).toEqual(['near-1', 'near-2']);
      expect(order).toHaveLength(3);
    });
    expect(new Set(orders.map(([first]) => first)).size).toBe(2);
    expect(new Set(orders.map(([, , third]) => third)).size).toBe(2);
  });

  // Guards against a receiver that is flooded by one sender.
  it('prefers the fewest open hops and passes over an instance that has as many as it takes', () => {
    const end = targets.begin(NEAR[0]);
    expect(namesFor()[0]).toBe('near-2');
    end();
    end();
    const ends = Array.from({ length: MAXIMUM_OPEN_HOPS }, () => targets.begin(NEAR[1]));
    expect(namesFor()).not.toContain('near-2');
    ends[0]?.();
    expect(namesFor()[1]).toBe('near-2');
  });

  // Guards against candidates that were decided before the first one has answered.
  it('selects each candidate from what is known by then', () => {
    const candidates = targets.candidates(SERVICE);
    const first = candidates.next().value;
    NEAR.filter((each) => each !== first).forEach((other) => targets.recordUnreached(other));
    expect(candidates.next().value?.zone).toBe('there');
  });

  // Guards against requests that wait for an instance that has just failed to help.
  it('does not ask an instance again for a while', async () => {
    targets.recordUnable(NEAR[0], SERVICE);
    targets.recordUnreached(NEAR[1]);
    expect(namesFor().toSorted()).toEqual(['far-1', 'far-2']);
    expect(namesFor('desk')[0]).toBe('near-1');
    await clock.advance(FIRST_UNREACHED_MILLISECONDS - 1);
    expect(namesFor()).not.toContain('near-2');
    await clock.advance(1);
    expect(namesFor()[0]).toBe('near-2');
    expect(namesFor()).not.toContain('near-1');
    await clock.advance(UNABLE_MILLISECONDS - FIRST_UNREACHED_MILLISECONDS);
    expect(namesFor().slice(0, 2).toSorted()).toEqual(['near-1', 'near-2']);
  });

  // Guards against an instance that is not asked for seconds after a restart, and against connections to one that is gone.
  it('asks an instance whose connections fail ever less often, until it responds', async () => {
    const waits = [250, 500, 1000, 2000, MAXIMUM_UNREACHED_MILLISECONDS];
    for (const milliseconds of [...waits, MAXIMUM_UNREACHED_MILLISECONDS]) {
      targets.recordUnreached(NEAR[1]);
      targets.recordUnreached(NEAR[1]);
      await clock.advance(milliseconds - 1);
      expect(namesFor()).not.toContain('near-2');
      await clock.advance(1);
      expect(namesFor()).toContain('near-2');
    }
    targets.recordReached(NEAR[1]);
    targets.recordUnreached(NEAR[1]);
    await clock.advance(FIRST_UNREACHED_MILLISECONDS);
    expect(namesFor()).toContain('near-2');
  });

  // Guards against an instance that is not asked after its restart, or whose open hops are forgotten.
  it('keeps open hops of an instance that leaves and forgets failures of its previous process', () => {
    const ends = Array.from({ length: MAXIMUM_OPEN_HOPS }, () => targets.begin(NEAR[0]));
    targets.recordUnreached(NEAR[0]);
    targets.setReceivers(FAR);
    expect(namesFor().toSorted()).toEqual(['far-1', 'far-2']);
    targets.setReceivers([receiver('near-1', 'here', 7001)]);
    expect(namesFor()).toEqual([]);
    ends.forEach((end) => end());
    expect(namesFor()).toEqual(['near-1']);
  });
});

describe('RelayTargets of a zone whose instances are all cut off', () => {
  // Guards against requests that ask instances of the own zone only, all of which refuse.
  it.each([4, 60])('names another zone in time, with %d instances in its own', async (size) => {
    const near = Array.from({ length: size }, (_, index) => receiver(`near-${index}`, 'here'));
    targets.setReceivers([...near, ...FAR]);
    let served = 0;
    for (let request = 0; request < 40; request += 1) {
      for (const each of targets.candidates(SERVICE)) {
        if (each.zone === 'there') {
          served += 1;
          break;
        }
        targets.recordUnable(each, SERVICE);
      }
      await clock.advance(250);
    }
    expect(served).toBe(40);
  });
});
