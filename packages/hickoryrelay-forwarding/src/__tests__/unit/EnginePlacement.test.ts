import { describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import { EnginePlacement, shapeOf } from 'hickoryrelay-forwarding/EnginePlacement';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PrefillRate } from 'hickoryrelay-forwarding/PrefillRate';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';

import { makeEndpoint } from './ForwardingFixture.js';

import type { PromptShape } from 'hickoryrelay-forwarding/EnginePlacement';

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

function makePlacement(directory = new PromptCacheDirectory()): EnginePlacement {
  return new EnginePlacement(directory, new PrefillRate());
}

const contextOf = (seed: number, zone = 'zone-0') => ({
  zone,
  random: new SeededRandomSource(seed),
  now: 0,
  tried: new Set<EndpointState>(),
  cacheCapacityTokens: 350_000,
});

const longPrompt = (part: number) =>
  shapeOf([
    { identifier: `part-${part}`, tokens: 13_000 },
    { identifier: `own-${part}`, tokens: 3000 },
  ]);

const useOf = (engine: EndpointState, { shared, tokens }: PromptShape) => ({
  engine: engine.hash,
  segment: shared?.hash ?? 0,
  sharedTokens: shared?.tokens ?? 0,
  ownTokens: tokens - (shared?.tokens ?? 0),
});

const shortPrompt = shapeOf([
  { identifier: 'shared', tokens: 50 },
  { identifier: 'own', tokens: 300 },
]);

describe('the placement of generations', () => {
  // Guards against a shared part that every instance has read at another engine.
  it('finds the same reading engine for a shared part from every instance and zone', () => {
    const placement = makePlacement();
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
    const placement = makePlacement();
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
    const plan = makePlacement().plan(makeStates(), shortPrompt, false, contextOf(1));
    expect(plan?.reader).toBeUndefined();
    expect(plan?.engine.record.zone).toBe('zone-0');
  });

  // Guards against short prompts that wait behind long ones, and delay them, at reading engines.
  it('keeps short prompts off idle reading engines while the generating ones are half full', () => {
    const placement = makePlacement();
    const states = makeStates();
    for (const state of states.slice(READERS)) {
      state.running = 6;
    }
    for (let request = 0; request < 20; request += 1) {
      const plan = placement.plan(states, shortPrompt, false, contextOf(request));
      expect(plan?.reader).toBeUndefined();
    }
  });

  it('leaves a reading engine whose queue is longer than reading the part again', () => {
    const placement = makePlacement();
    const states = makeStates();
    const first = placement.plan(states, longPrompt(1), false, contextOf(1))?.reader;
    (first as EndpointState).prefillTokens = 20_000;
    expect(placement.plan(states, longPrompt(1), false, contextOf(1))?.reader).not.toBe(first);
  });

  it('does not wait for late reads with a request that can be on time', () => {
    const placement = makePlacement();
    const states = makeStates();
    for (const reader of states.slice(0, READERS)) {
      reader.latePrefillTokens = 100_000;
    }
    const onTime = placement.plan(states, longPrompt(1), false, contextOf(1));
    const late = placement.plan(states, longPrompt(1), true, contextOf(1));
    expect(onTime?.reader).toBeDefined();
    expect(onTime?.firstTokenMilliseconds).toBeLessThan(600);
    expect(late?.reader).toBeUndefined();
    expect(late?.firstTokenMilliseconds).toBeGreaterThan(onTime?.firstTokenMilliseconds ?? 0);
  });

  it('evens out a burst of short requests over the engines of all zones', () => {
    const placement = makePlacement();
    const states = makeStates();
    for (let request = 0; request < 100; request += 1) {
      const plan = placement.plan(states, shortPrompt, false, contextOf(request));
      (plan?.engine as EndpointState).running += 1;
    }
    const running = states.slice(READERS).map((state) => state.running);
    expect(Math.max(...running)).toBeLessThanOrEqual(14);
  });

  // Guards against a shared part that is read again although an engine holds it.
  it('fetches a shared part from an engine that holds it', () => {
    const directory = new PromptCacheDirectory();
    const placement = makePlacement(directory);
    const states = makeStates();
    const prompt = longPrompt(1);
    const holder = states[READERS] as EndpointState;
    directory.record(useOf(holder, prompt), 0);
    const plan = placement.plan(states, prompt, false, contextOf(1));
    expect(plan?.unreadTokens).toBe(3000);
    expect(plan?.source ?? plan?.engine).toBe(holder);
  });

  it('does not fetch from an engine that used the part long ago', () => {
    const directory = new PromptCacheDirectory();
    const states = makeStates();
    const prompt = longPrompt(1);
    directory.record(useOf(states[0] as EndpointState, prompt), -60_000);
    const plan = makePlacement(directory).plan(states, prompt, false, contextOf(1));
    expect(plan).toMatchObject({ source: undefined, unreadTokens: 16_000 });
  });

  // Guards against a plan that counts on a part which newer prompts have displaced.
  it('does not count on a part after the engine has read as much as its memory holds', () => {
    const directory = new PromptCacheDirectory();
    const placement = makePlacement(directory);
    const states = makeStates();
    const holder = states[0] as EndpointState;
    directory.record(useOf(holder, longPrompt(1)), 0);
    expect(placement.plan(states, longPrompt(1), false, contextOf(1))?.unreadTokens).toBe(3000);
    for (let part = 2; part < 20; part += 1) {
      directory.record(useOf(holder, longPrompt(part)), 0);
    }
    expect(placement.plan(states, longPrompt(1), false, contextOf(1))?.unreadTokens).toBe(16_000);
    expect(placement.plan(states, longPrompt(19), false, contextOf(1))?.unreadTokens).toBe(3000);
  });

  // Guards against copies of a part at several engines, which displace other parts.
  it('waits for one other request where the part is held, and does not wait for three', () => {
    const directory = new PromptCacheDirectory();
    const placement = makePlacement(directory);
    const states = makeStates();
    const holder = states[0] as EndpointState;
    directory.record(useOf(holder, longPrompt(1)), 0);
    holder.prefillTokens = 3000;
    expect(placement.plan(states, longPrompt(1), false, contextOf(1))?.reader).toBe(holder);
    holder.prefillTokens = 9000;
    expect(placement.plan(states, longPrompt(1), false, contextOf(1))?.reader).not.toBe(holder);
  });

  it('has nothing to offer without an engine that generates', () => {
    const readers = makeStates().slice(0, READERS);
    expect(makePlacement().plan(readers, shortPrompt, false, contextOf(1))).toBeUndefined();
  });
});
