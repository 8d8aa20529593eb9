import { describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import { EnginePlacement, shapeOf } from 'hickoryrelay-forwarding/EnginePlacement';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';

import { makeEndpoint } from './ForwardingFixture.js';

const READERS = 4;
const ENGINES = 9;

function makeStates(): EndpointState[] {
  const peers = new PeerLoads();
  return Array.from({ length: READERS + ENGINES }, (_unused, index) => {
    const stage = index < READERS ? EngineStage.Prefill : EngineStage.Decode;
    const record = makeEndpoint(`engine-${index}`, { stage, slots: 12, zone: `zone-${index % 3}` });
    return new EndpointState(record, peers);
  });
}

const contextOf = (seed: number, zone = 'zone-0') => ({
  zone,
  random: new SeededRandomSource(seed),
  now: 0,
  tried: new Set<EndpointState>(),
});

const longPrompt = (part: number) =>
  shapeOf([
    { identifier: `part-${part}`, tokens: 13_000 },
    { identifier: `own-${part}`, tokens: 3000 },
  ]);

const shortPrompt = shapeOf([
  { identifier: 'shared', tokens: 50 },
  { identifier: 'own', tokens: 300 },
]);

describe('the placement of generations', () => {
  // Guards against a shared part that every instance has read at another engine.
  it('finds the same reading engine for a shared part from every instance and zone', () => {
    const placement = new EnginePlacement();
    for (let part = 0; part < 80; part += 1) {
      const readers = ['zone-0', 'zone-1', 'zone-2'].map(
        (zone, seed) =>
          placement.plan(makeStates(), longPrompt(part), false, contextOf(seed, zone))?.reader
            ?.record.identifier,
      );
      expect(new Set(readers).size).toBe(1);
    }
  });

  it('spreads 80 shared parts over the reading engines', () => {
    const placement = new EnginePlacement();
    const states = makeStates();
    const counts = new Map<string, number>();
    for (let part = 0; part < 80; part += 1) {
      const plan = placement.plan(states, longPrompt(part), false, contextOf(part));
      const name = plan?.reader?.record.identifier ?? 'none';
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(counts.size).toBe(READERS);
    expect(Math.max(...counts.values())).toBeLessThan((80 / READERS) * 2);
  });

  it('keeps short prompts off the reading engines, in the own zone', () => {
    const plan = new EnginePlacement().plan(makeStates(), shortPrompt, false, contextOf(1));
    expect(plan?.reader).toBeUndefined();
    expect(plan?.engine.record.zone).toBe('zone-0');
  });

  it('leaves a reading engine whose queue is longer than reading the part again', () => {
    const placement = new EnginePlacement();
    const states = makeStates();
    const first = placement.plan(states, longPrompt(1), false, contextOf(1))?.reader;
    (first as EndpointState).readingTokens = 100_000;
    expect(placement.plan(states, longPrompt(1), false, contextOf(1))?.reader).not.toBe(first);
  });

  it('does not wait for late reads with a request that can be on time', () => {
    const placement = new EnginePlacement();
    const states = makeStates();
    for (const reader of states.slice(0, READERS)) {
      reader.lateTokens = 100_000;
    }
    const onTime = placement.plan(states, longPrompt(1), false, contextOf(1));
    const late = placement.plan(states, longPrompt(1), true, contextOf(1));
    expect(onTime?.reader).toBeDefined();
    expect(onTime?.firstTokenMilliseconds).toBeLessThan(600);
    expect(late?.reader).toBeUndefined();
    expect(late?.firstTokenMilliseconds).toBeGreaterThan(onTime?.firstTokenMilliseconds ?? 0);
  });

  it('evens out a burst of short requests over the engines of all zones', () => {
    const placement = new EnginePlacement();
    const states = makeStates();
    for (let request = 0; request < 100; request += 1) {
      const plan = placement.plan(states, shortPrompt, false, contextOf(request));
      (plan?.engine as EndpointState).running += 1;
    }
    const running = states.slice(READERS).map((state) => state.running);
    expect(Math.max(...running)).toBeLessThanOrEqual(14);
  });

  it('has nothing to offer without an engine that generates', () => {
    const readers = makeStates().slice(0, READERS);
    expect(new EnginePlacement().plan(readers, shortPrompt, false, contextOf(1))).toBeUndefined();
  });
});
