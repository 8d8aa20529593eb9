import type { RandomSource } from './RandomSource.js';

/** Limits of a backoff schedule, in milliseconds. */
export interface BackoffLimits {
  readonly firstMilliseconds: number;
  readonly longestMilliseconds: number;
}

/** Yields delays with full jitter that double up to the longest. Never ends. */
export function* backoffDelays(
  limits: BackoffLimits,
  random: RandomSource,
): Generator<number, never, void> {
  let ceilingMilliseconds = limits.firstMilliseconds;
  for (;;) {
    yield ceilingMilliseconds * (0.5 + random.fraction() / 2);
    ceilingMilliseconds = Math.min(ceilingMilliseconds * 2, limits.longestMilliseconds);
  }
}
