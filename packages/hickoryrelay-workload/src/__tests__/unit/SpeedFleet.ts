import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { WorkloadModel } from 'hickoryrelay-workload/WorkloadModel';

import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Tokens per millisecond of an engine of speed 1. */
const TOKENS_PER_MILLISECOND = 40;

const NETWORK_MILLISECONDS = 8;

const SLOWDOWN_FACTOR = 2.5;
const SLOWDOWN_FRACTION = 0.15;
const SLOWDOWN_MILLISECONDS = 600;

/** A part of the prefills is queued behind one that is not reported yet. */
const QUEUED_FRACTION = 0.1;

const PROMPT_TOKENS = { minimum: 2500, range: 4000 } as const;

export const SERVICE = 'model';

/** Prefill engines of known speeds, each of which is slower for a part of the time. */
export class SpeedFleet {
  /** True relative speeds, by endpoint hash. */
  readonly speeds: readonly number[];

  /** Length of the prompts, relative to the usual one. */
  promptFactor = 1;

  private readonly random: RandomSource = new SeededRandomSource(7);

  constructor(engines: number, distinctSpeeds: readonly number[]) {
    this.speeds = Array.from(
      { length: engines },
      (_unused, index) => distinctSpeeds[index % distinctSpeeds.length] ?? 1,
    );
  }

  makeModel(): WorkloadModel {
    const model = new WorkloadModel();
    this.speeds.forEach((_speed, endpoint) => model.track(endpoint, SERVICE));
    return model;
  }

  /** Records one prefill at a random engine. */
  observe(model: WorkloadModel, now: number): void {
    const endpoint = this.random.integerBelow(this.speeds.length);
    const tokens =
      (PROMPT_TOKENS.minimum + this.random.integerBelow(PROMPT_TOKENS.range)) * this.promptFactor;
    const rate = TOKENS_PER_MILLISECOND * (this.speeds[endpoint] ?? 1);
    const slowdown = this.isSlow(endpoint, now) ? SLOWDOWN_FACTOR : 1;
    const queued = this.random.fraction() < QUEUED_FRACTION ? PROMPT_TOKENS.minimum : 0;
    const milliseconds = ((tokens + queued) / rate) * slowdown + NETWORK_MILLISECONDS;
    model.recordPrefill(endpoint, tokens, milliseconds, now);
  }

  /** Mean relative error of the speeds that a model assumes. */
  errorOf(model: WorkloadModel, now: number): number {
    const errors = this.speeds.map(
      (speed, endpoint) => Math.abs(model.speedOf(endpoint, now).value - speed) / speed,
    );
    return errors.reduce((sum, error) => sum + error, 0) / errors.length;
  }

  private isSlow(endpoint: number, now: number): boolean {
    const phase = Math.floor(now / SLOWDOWN_MILLISECONDS);
    return new SeededRandomSource(endpoint * 100_003 + phase).fraction() < SLOWDOWN_FRACTION;
  }
}
