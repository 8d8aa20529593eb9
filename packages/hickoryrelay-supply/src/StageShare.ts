import type { RequiredEngines } from './EngineDemand.js';

/** Share of prefill engines that suits an average mix of long and short prompts. */
export const DEFAULT_PREFILL_SHARE = 0.45;

/** Both stages keep enough engines for a shift of the mix that is faster than a change of stage. */
const MINIMUM_PREFILL_SHARE = 0.35;
const MAXIMUM_PREFILL_SHARE = 0.65;

/** A smaller difference is not worth the seconds for which an engine is out of service. */
const TOLERANCE = 0.08;

/** The share of a service's engines that prefill prompts, which follows the work with hysteresis. */
export class StageShare {
  private share: number;

  constructor(share = DEFAULT_PREFILL_SHARE) {
    this.share = share;
  }

  get current(): number {
    return this.share;
  }

  /** Returns the share for the required engines; unchanged while they are not known. */
  update(required: RequiredEngines | undefined): number {
    if (required !== undefined) {
      const { prefill, decode } = required;
      const target = Math.min(
        MAXIMUM_PREFILL_SHARE,
        Math.max(MINIMUM_PREFILL_SHARE, prefill / (prefill + decode)),
      );
      this.share = Math.abs(target - this.share) > TOLERANCE ? target : this.share;
    }
    return this.share;
  }
}
