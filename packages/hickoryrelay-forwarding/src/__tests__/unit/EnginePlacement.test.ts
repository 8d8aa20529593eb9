import { describe, expect, it } from 'vitest';
import { invariant } from 'hickoryrelay/Invariant';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import { EnginePlacement, summarizePrompt } from 'hickoryrelay-forwarding/EnginePlacement';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PrefillRate } from 'hickoryrelay-forwarding/PrefillRate';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';

import { makeEndpoint } from './ForwardingFixture.js';

import type { PromptSummary } from 'hickoryrelay-forwarding/EnginePlacement';

const PREFILL_ENGINES = 4;
const DECODE_ENGINES = 9;

function makeStates(): EndpointState[] {
  const peers = new PeerLoads();
  return Array.from({ length: PREFILL_ENGINES + DECODE_ENGINES }, (_unused, index) => {
    const stage = index < PREFILL_ENGINES ? EngineStage.Prefill : EngineStage.Decode;
    const record = makeEndpoint(`engine-${index}`, { stage, slots: 12, zone: `zone-${index % 3}` });
    return new EndpointState(record, peers);
  });
}

/** Speeds of the engines by index, in turn at prefill and at decode engines. */
const ENGINE_SPEEDS = [0.6, 1, 1.6, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6];

/** Engines whose speeds have been learned from remote prefills and streams. */
function makeLearnedEngines() {
  const peers = new PeerLoads();
  const registry = new EndpointRegistry(peers);
  registry.replace(makeStates().map(({ record }) => ({ ...record, zone: 'zone-0' })));
  const states = registry.readyEndpoints('desk');
  const { workload } = registry;
  for (let second = 0; second < 10; second += 1) {
    states.forEach(({ hash, record }, index) => {
      const speed = ENGINE_SPEEDS[index] ?? 1;
      if (record.stage === EngineStage.Prefill) {
        workload.recordPrefill(hash, 16_000, 16_000 / (40 * speed) + 8, second * 1000);
      }
      workload.recordStream(hash, 20, (20 * 20) / speed, second * 1000);
    });
  }
  return { placement: makePlacement(), states, workload };
}

function makePlacement(directory = new PromptCacheDirectory()): EnginePlacement {
  return new EnginePlacement(directory, new PrefillRate());
}

const makeContext = (seed: number, zone = 'zone-0') => ({
  zone,
  random: new SeededRandomSource(seed),
  now: 0,
  tried: new Set<EndpointState>(),
  cacheCapacityTokens: 350_000,
});

const longPrompt = (segment: number) =>
  summarizePrompt([
    { identifier: `part-${segment}`, tokens: 13_000 },
    { identifier: `own-${segment}`, tokens: 3000 },
  ]);

const segmentUse = (engine: EndpointState, { shared, tokens }: PromptSummary) => ({
  engine: engine.hash,
  segment: shared?.hash ?? 0,
  sharedTokens: shared?.tokens ?? 0,
  ownTokens: tokens - (shared?.tokens ?? 0),
});

const shortPrompt = summarizePrompt([
  { identifier: 'shared', tokens: 50 },
  { identifier: 'own', tokens: 300 },
]);

describe('EnginePlacement', () => {
  // Guards against instances that each prefill a shared segment on a different engine.
  it('chooses the same prefill engine for a segment on all instances in all zones', () => {
    const placement = makePlacement();
    for (let segment = 0; segment < 80; segment += 1) {
      const prefillEngines = ['zone-0', 'zone-1', 'zone-2'].map(
        (zone, seed) =>
          placement.plan(makeStates(), longPrompt(segment), false, makeContext(seed, zone))
            ?.prefillEngine?.record.identifier,
      );
      expect(new Set(prefillEngines).size).toBe(1);
    }
  });

  it('distributes 80 shared segments over the prefill engines', () => {
    const placement = makePlacement();
    const states = makeStates();
    const counts = new Map<string, number>();
    for (let segment = 0; segment < 80; segment += 1) {
      const plan = placement.plan(states, longPrompt(segment), false, makeContext(segment));
      const name = plan?.prefillEngine?.record.identifier ?? 'none';
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(counts.size).toBe(PREFILL_ENGINES);
    expect(Math.max(...counts.values())).toBeLessThan((80 / PREFILL_ENGINES) * 2);
  });

  it('prefills short prompts locally, in the zone of the instance', () => {
    const plan = makePlacement().plan(makeStates(), shortPrompt, false, makeContext(1));
    expect(plan?.prefillEngine).toBeUndefined();
    expect(plan?.engine.record.zone).toBe('zone-0');
  });

  // Guards against short prompts that queue behind long ones, and delay them, at prefill engines.
  it('prefills short prompts locally while the decode engines are half full', () => {
    const placement = makePlacement();
    const states = makeStates();
    for (const state of states.slice(PREFILL_ENGINES)) {
      state.running = 6;
    }
    for (let request = 0; request < 20; request += 1) {
      const plan = placement.plan(states, shortPrompt, false, makeContext(request));
      expect(plan?.prefillEngine).toBeUndefined();
    }
  });

  it('avoids the preferred prefill engine if queueing takes longer than recomputing', () => {
    const placement = makePlacement();
    const states = makeStates();
    const first = placement.plan(states, longPrompt(1), false, makeContext(1))?.prefillEngine;
    (first as EndpointState).prefillTokens = 20_000;
    expect(placement.plan(states, longPrompt(1), false, makeContext(1))?.prefillEngine).not.toBe(
      first,
    );
  });

  it('does not queue a request that can be on time behind late prefills', () => {
    const placement = makePlacement();
    const states = makeStates();
    for (const prefillEngine of states.slice(0, PREFILL_ENGINES)) {
      prefillEngine.latePrefillTokens = 100_000;
    }
    const onTime = placement.plan(states, longPrompt(1), false, makeContext(1));
    const late = placement.plan(states, longPrompt(1), true, makeContext(1));
    expect(onTime?.prefillEngine).toBeDefined();
    expect(onTime?.firstTokenMilliseconds).toBeLessThan(600);
    expect(late?.prefillEngine).toBeUndefined();
    expect(late?.firstTokenMilliseconds).toBeGreaterThan(onTime?.firstTokenMilliseconds ?? 0);
  });

  it('balances a burst of short requests over the engines of all zones', () => {
    const placement = makePlacement();
    const states = makeStates();
    for (let request = 0; request < 100; request += 1) {
      const plan = placement.plan(states, shortPrompt, false, makeContext(request));
      (plan?.engine as EndpointState).running += 1;
    }
    const running = states.slice(PREFILL_ENGINES).map((state) => state.running);
    expect(Math.max(...running)).toBeLessThanOrEqual(14);
  });

  // Guards against a shared segment that is recomputed although an engine has it cached.
  it('fetches a shared segment from an engine that has it cached', () => {
    const directory = new PromptCacheDirectory();
    const placement = makePlacement(directory);
    const states = makeStates();
    const prompt = longPrompt(1);
    const holder = states[PREFILL_ENGINES] as EndpointState;
    directory.record(segmentUse(holder, prompt), 0);
    const plan = placement.plan(states, prompt, false, makeContext(1));
    expect(plan?.prefillTokens).toBe(3000);
    expect(plan?.source ?? plan?.engine).toBe(holder);
  });

  it('does not fetch from an engine that used the segment too long ago', () => {
    const directory = new PromptCacheDirectory();
    const states = makeStates();
    const prompt = longPrompt(1);
    directory.record(segmentUse(states[0] as EndpointState, prompt), -60_000);
    const plan = makePlacement(directory).plan(states, prompt, false, makeContext(1));
    expect(plan).toMatchObject({ source: undefined, prefillTokens: 16_000 });
  });

  // Guards against a plan that relies on a segment which newer prompts have evicted.
  it('does not rely on a segment after the engine has prefilled as much as its cache holds', () => {
    const directory = new PromptCacheDirectory();
    const placement = makePlacement(directory);
    const states = makeStates();
    const holder = states[0] as EndpointState;
    directory.record(segmentUse(holder, longPrompt(1)), 0);
    expect(placement.plan(states, longPrompt(1), false, makeContext(1))?.prefillTokens).toBe(3000);
    for (let segment = 2; segment < 20; segment += 1) {
      directory.record(segmentUse(holder, longPrompt(segment)), 0);
    }
    expect(placement.plan(states, longPrompt(1), false, makeContext(1))?.prefillTokens).toBe(
      16_000,
    );
    expect(placement.plan(states, longPrompt(19), false, makeContext(1))?.prefillTokens).toBe(3000);
  });

  // Guards against copies of a segment on several engines, which evict other segments.
  it('queues behind one other request at the holder of the segment, but not behind three', () => {
    const directory = new PromptCacheDirectory();
    const placement = makePlacement(directory);
    const states = makeStates();
    const holder = states[0] as EndpointState;
    directory.record(segmentUse(holder, longPrompt(1)), 0);
    holder.prefillTokens = 3000;
    expect(placement.plan(states, longPrompt(1), false, makeContext(1))?.prefillEngine).toBe(
      holder,
    );
    holder.prefillTokens = 9000;
    expect(placement.plan(states, longPrompt(1), false, makeContext(1))?.prefillEngine).not.toBe(
      holder,
    );
  });

  // Guards against many instances that all send their prompts to the first idle engine of the list.
  it('spreads segments whose preferred engines are busy over the idle ones', () => {
    const placement = makePlacement();
    const used = new Set<string>();
    for (let segment = 0; segment < 80; segment += 1) {
      const states = makeStates();
      const preferred = placement.plan(states, longPrompt(segment), false, makeContext(1));
      invariant(preferred?.prefillEngine !== undefined, 'The plan has no prefill engine.');
      preferred.prefillEngine.prefillTokens = 60_000;
      const plan = placement.plan(states, longPrompt(segment), false, makeContext(1));
      used.add(plan?.prefillEngine?.record.identifier ?? '');
    }
    expect(used).toEqual(new Set(['engine-0', 'engine-1', 'engine-2', 'engine-3']));
  });

  it('returns no plan without a decode engine', () => {
    const prefillEngines = makeStates().slice(0, PREFILL_ENGINES);
    expect(
      makePlacement().plan(prefillEngines, shortPrompt, false, makeContext(1)),
    ).toBeUndefined();
  });

  // Guards against long prompts that wait at a slow engine although a fast one is free.
  it('prefers faster prefill engines once their speeds are learned', () => {
    const { placement, states, workload } = makeLearnedEngines();
    workload.update(20_000);
    const counts = new Map<number, number>();
    for (let segment = 0; segment < 80; segment += 1) {
      const plan = placement.plan(states, longPrompt(segment), false, makeContext(segment));
      const speed = ENGINE_SPEEDS[states.indexOf(plan?.prefillEngine as EndpointState)] ?? 0;
      counts.set(speed, (counts.get(speed) ?? 0) + 1);
    }
    expect(counts.get(1.6)).toBe(80);
  });

  it('queues more at a faster engine before it uses a slower one', () => {
    const { placement, states, workload } = makeLearnedEngines();
    workload.update(20_000);
    const fast = states.filter((_state, index) => ENGINE_SPEEDS[index] === 1.6);
    // With a queue of 4,000 tokens, a fast engine takes 312 ms and an idle one of speed 1 400 ms.
    fast.forEach((state) => Object.assign(state, { prefillTokens: 4000 }));
    for (let segment = 0; segment < 20; segment += 1) {
      const busy = placement.plan(states, longPrompt(segment), false, makeContext(segment));
      expect(fast).toContain(busy?.prefillEngine);
    }
    fast.forEach((state) => Object.assign(state, { prefillTokens: 30_000 }));
    const full = placement.plan(states, longPrompt(1), false, makeContext(1));
    expect(fast).not.toContain(full?.prefillEngine);
  });

  it('sends short prompts to faster decode engines until they have more requests', () => {
    const { placement, states, workload } = makeLearnedEngines();
    workload.update(20_000);
    for (let request = 0; request < 90; request += 1) {
      const plan = placement.plan(states, shortPrompt, false, makeContext(request));
      (plan?.engine as EndpointState).running += 1;
    }
    const runningAt = (speed: number) =>
      states
        .filter(({ running }, index) => running > 0 && ENGINE_SPEEDS[index] === speed)
        .reduce((sum, { running }) => sum + running, 0);
    expect(runningAt(1.6)).toBeGreaterThan(runningAt(1));
    expect(runningAt(1)).toBeGreaterThan(runningAt(0.6));
    expect(Math.max(...states.map(({ running }) => running))).toBeLessThanOrEqual(14);
  });

  // Guards against prompts that wait for an engine that is slow only for a moment.
  it('avoids an engine during a temporary slowdown only', () => {
    const { placement, states, workload } = makeLearnedEngines();
    workload.update(20_000);
    const choose = (now: number) =>
      placement.plan(states, longPrompt(3), false, { ...makeContext(1), now })?.prefillEngine;
    const chosen = choose(20_000) as EndpointState;
    workload.recordPrefill(chosen.hash, 16_000, (16_000 / (40 * 1.6)) * 2.5, 20_000);
    expect(choose(20_000)).not.toBe(chosen);
    expect(choose(22_000)).toBe(chosen);
  });

  // Guards against a prompt that preempts a running request although another engine has room for it.
  it('sends a prompt to an engine whose KV cache has room for it', () => {
    const placement = makePlacement();
    const states = makeStates();
    const decodeEngines = states.slice(PREFILL_ENGINES);
    const roomy = decodeEngines[5] as EndpointState;
    for (const engine of decodeEngines) {
      if (engine !== roomy) {
        engine.reserveCache(345_000);
      }
    }
    roomy.running = 8;
    for (let segment = 0; segment < 10; segment += 1) {
      const plan = placement.plan(states, longPrompt(segment), false, makeContext(segment));
      expect(plan?.engine).toBe(roomy);
      expect(placement.chooseDecodeEngine(states, longPrompt(segment), makeContext(segment))).toBe(
        roomy,
      );
    }
  });

  it('does not count the KV cache of requests that have ended', () => {
    const [state] = makeStates();
    const release = (state as EndpointState).reserveCache(17_000);
    expect(state?.totalOccupiedTokens).toBeGreaterThanOrEqual(17_000);
    release();
    expect(state?.totalOccupiedTokens).toBe(0);
  });

  // Guards against prompts of all instances that queue at the engine which was idle at the last report.
  it('expects the usual queue at a prefill engine that was reported as idle a while ago', () => {
    const peers = new PeerLoads();
    const state = new EndpointState(makeEndpoint('e', { stage: EngineStage.Prefill }), peers);
    const report = (prefillTokens: number, now: number) =>
      peers.receive(
        {
          sender: '',
          loads: [{ endpoint: state.hash, running: 1, prefillTokens, latePrefillTokens: 0 }],
        },
        now,
      );
    for (let now = 0; now < 20_000; now += 100) {
      report(20_000, now);
      state.expectedPrefillTokens(false, now);
    }
    report(0, 20_000);
    expect(state.expectedPrefillTokens(false, 20_000)).toBeLessThan(1000);
    expect(state.expectedPrefillTokens(false, 20_500)).toBeGreaterThan(10_000);
  });

  // Guards against segments that belong to a slow engine for good because of their hash.
  it('gives more segments to faster engines', () => {
    const { placement, states, workload } = makeLearnedEngines();
    workload.update(20_000);
    const counts = new Map<number, number>();
    for (let segment = 0; segment < 600; segment += 1) {
      const engine = placement.chooseDecodeEngine(
        states,
        longPrompt(segment),
        makeContext(segment),
      );
      const speed = ENGINE_SPEEDS[states.indexOf(engine as EndpointState)] ?? 0;
      counts.set(speed, (counts.get(speed) ?? 0) + 1);
    }
    expect(counts.get(1.6) ?? 0).toBeGreaterThan((counts.get(0.6) ?? 0) * 2);
  });

  // Guards against KV cache of one software version that an engine of another one decodes.
  it('moves no KV cache between engines of two software versions', () => {
    const directory = new PromptCacheDirectory();
    const states = makeStates();
    const prompt = longPrompt(1);
    states.forEach((state) => {
      const softwareVersion = state.record.stage === EngineStage.Prefill ? 'v1' : 'v2';
      Object.assign(state, { record: { ...state.record, softwareVersion } });
    });
    const holder = states[0] as EndpointState;
    directory.recordOwn(segmentUse(holder, prompt), 0);
    const plan = () => makePlacement(directory).plan(states, prompt, false, makeContext(1));
    expect(plan()).toMatchObject({ prefillEngine: undefined, source: undefined });
    states.forEach((state) => {
      Object.assign(state, { record: { ...state.record, softwareVersion: 'v2' } });
    });
    expect(plan()).toMatchObject({ prefillEngine: holder });
  });
});
