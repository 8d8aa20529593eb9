import type { RandomSource } from './RandomSource.js';

/** Initial and maximum delay of an exponential backoff, before jitter. */
export interface BackoffLimits {
  readonly initialMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/**
 * Yields delays without end. Each is between half of the current ceiling and all of it, and the
 * ceiling doubles up to the maximum.
 */
export function* backoffDelays(
  limits: BackoffLimits,
  random: RandomSource,
): Generator<number, never, void> {
  let ceilingMilliseconds = limits.initialMilliseconds;
  for (;;) {
    yield ceilingMilliseconds * (0.5 + random.fraction() / 2);
    ceilingMilliseconds = Math.min(ceilingMilliseconds * 2, limits.maximumMilliseconds);
  }
}
