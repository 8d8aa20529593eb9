import { EngineRole } from 'hickoryrelay-endpoint/Engine';

import { PrefixCacheModel } from './PrefixCacheModel.js';
import type { LoadReport } from 'hickoryrelay-endpoint/EngineLoad';

/** Capacity and speed of a modelled engine. */
export interface EngineServiceParameters {
  /** Number of calls that run concurrently. Further calls wait in order of arrival. */
  readonly slots: number;
  /** Prompt tokens per second when the engine only processes prompts. */
  readonly prefillRate: number;
  /** Fixed part of the duration of a decoding step. */
  readonly stepMilliseconds: number;
  /** Part of the duration of a decoding step that each running stream adds. */
  readonly streamMilliseconds: number;
  /** Capacity of the prefix cache in prompt tokens. */
  readonly cacheTokens: number;
  /** Duration for which the engine is unavailable while it changes its role. */
  readonly roleChangeMilliseconds: number;
}

export const DEFAULT_ENGINE_SERVICE: EngineServiceParameters = {
  slots: 24,
  prefillRate: 20_000,
  stepMilliseconds: 8,
  streamMilliseconds: 1,
  cacheTokens: 160_000,
  roleChangeMilliseconds: 5000,
};

/** Share of the engine time spent on prompts while streams are decoding. */
const PREFILL_SHARES: Readonly<Record<EngineRole, number>> = {
  [EngineRole.Prefill]: 0.75,
  [EngineRole.Mixed]: 0.5,
  [EngineRole.Decode]: 0.25,
};

const MILLISECONDS_PER_SECOND = 1000;
const CALL_TIME_WEIGHT = 0.1;

/** A call to a modelled engine. */
export interface ModelledCall {
  readonly promptTokens: number;
  readonly prefixKeys: readonly string[];
  readonly decodeTokens: number;
  /** Called with the total number of generated tokens after each step that generated one. */
  readonly onTokens: (tokens: number) => void;
  readonly onEnd: () => void;
}

interface RunningCall {
  readonly call: ModelledCall;
  readonly startedMilliseconds: number;
  prefillTokens: number;
  decoded: number;
}

/**
 * Models the service times of one engine with continuous batching. Prompts and streams share the
 * engine: while both are present, the role sets the share of the prompts, and streams slow down
 * accordingly. Deterministic: the caller advances the time, and there are no timers or random numbers.
 */
export class EngineServiceModel {
  private readonly parts: EngineServiceParameters;

  private currentRole: EngineRole = EngineRole.Mixed;

  private nowMilliseconds = 0;

  private unavailableUntilMilliseconds = 0;

  private readonly waiting: ModelledCall[] = [];

  private running: RunningCall[] = [];

  readonly cache: PrefixCacheModel;

  private totalPromptTokens = 0;

  private totalCachedTokens = 0;

  private callMilliseconds = 0;

  constructor(parts: EngineServiceParameters = DEFAULT_ENGINE_SERVICE) {
    this.parts = parts;
    this.cache = new PrefixCacheModel(parts.cacheTokens);
  }

  /** Total prompt tokens of all started calls. */
  get promptTokens(): number {
    return this.totalPromptTokens;
  }

  /** Total prompt tokens that were in the prefix cache when their call started. */
  get cachedPromptTokens(): number {
    return this.totalCachedTokens;
  }

  get role(): EngineRole {
    return this.currentRole;
  }

  submit(call: ModelledCall): void {
    this.waiting.push(call);
  }

  changeRole(role: EngineRole): void {
    this.currentRole = role;
    this.unavailableUntilMilliseconds = this.nowMilliseconds + this.parts.roleChangeMilliseconds;
  }

  /** Reclaims the engine. Returns the interrupted calls and the tokens generated for each. */
  reclaim(): { call: ModelledCall; tokens: number }[] {
    const cut = [
      ...this.running.map(({ call, decoded }) => ({ call, tokens: Math.floor(decoded) })),
      ...this.waiting.map((call) => ({ call, tokens: 0 })),
    ];
    this.running = [];
    this.waiting.length = 0;
    return cut;
  }

  report(): LoadReport {
    const { slots, prefillRate, stepMilliseconds, streamMilliseconds } = this.parts;
    const prefilling = this.running.reduce((sum, { prefillTokens }) => sum + prefillTokens, 0);
    const queued = this.waiting.reduce((sum, call) => sum + this.uncachedTokens(call), 0);
    const streams = Math.max(1, this.running.length);
    const decoding = this.running.filter(({ prefillTokens }) => prefillTokens <= 0).length;
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      slots,
      waitingPrefillTokens: prefilling + queued,
      // As an engine would measure it: reduced to the share of prompts while streams are decoding.
      prefillRate: prefillRate * this.prefillShare(1, decoding),
      decodeRate:
        (streams * MILLISECONDS_PER_SECOND) / (stepMilliseconds + streams * streamMilliseconds),
      callMilliseconds: this.callMilliseconds,
      sampledMilliseconds: this.nowMilliseconds,
    };
  }

  advance(milliseconds: number): void {
    this.nowMilliseconds += milliseconds;
    if (this.nowMilliseconds < this.unavailableUntilMilliseconds) {
      return;
    }
    this.fillSlots();
    const prefilling = this.running.filter(({ prefillTokens }) => prefillTokens > 0);
    const decoding = this.running.filter(({ prefillTokens }) => prefillTokens <= 0);
    const share = this.prefillShare(prefilling.length, decoding.length);
    this.prefill(prefilling, milliseconds * share);
    this.decode(decoding, milliseconds * (1 - share));
    this.running = this.running.filter((each) => each.decoded < each.call.decodeTokens);
  }

  private prefillShare(prompts: number, streams: number): number {
    if (streams === 0) {
      return 1;
    }
    return prompts > 0 ? PREFILL_SHARES[this.currentRole] : 0;
  }

  private fillSlots(): void {
    while (this.running.length < this.parts.slots) {
      const call = this.waiting.shift();
      if (call === undefined) {
        return;
      }
      const prefillTokens = Math.max(1, this.uncachedTokens(call));
      this.totalPromptTokens += call.promptTokens;
      this.totalCachedTokens += call.promptTokens - prefillTokens;
      const startedMilliseconds = this.nowMilliseconds;
      this.running.push({ call, startedMilliseconds, prefillTokens, decoded: 0 });
    }
  }

  private prefill(calls: readonly RunningCall[], milliseconds: number): void {
    let tokens = (milliseconds * this.parts.prefillRate) / MILLISECONDS_PER_SECOND;
    for (const each of calls) {
      const done = Math.min(tokens, each.prefillTokens);
      each.prefillTokens -= done;
      tokens -= done;
      if (each.prefillTokens <= 0) {
        this.cache.insert(each.call.prefixKeys);
        each.decoded = 1;
        each.call.onTokens(1);
      }
    }
  }

  private decode(streams: readonly RunningCall[], milliseconds: number): void {
    const { stepMilliseconds, streamMilliseconds } = this.parts;
    const gained = milliseconds / (stepMilliseconds + streams.length * streamMilliseconds);
    for (const each of streams) {
      const before = Math.floor(each.decoded);
      each.decoded += gained;
      if (Math.floor(each.decoded) > before) {
        each.call.onTokens(Math.min(each.call.decodeTokens, Math.floor(each.decoded)));
      }
      if (each.decoded >= each.call.decodeTokens) {
        const taken = this.nowMilliseconds - each.startedMilliseconds;
        this.callMilliseconds += CALL_TIME_WEIGHT * (taken - this.callMilliseconds);
        each.call.onEnd();
      }
    }
  }

  private uncachedTokens({ prefixKeys, promptTokens }: ModelledCall): number {
    return Math.max(0, promptTokens - this.cache.cachedTokens(prefixKeys));
  }
}
