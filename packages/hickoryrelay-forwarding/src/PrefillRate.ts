/** Rate that is assumed until a prefill has been timed. */
const INITIAL_TOKENS_PER_MILLISECOND = 40;

/** Weight of a new sample in the moving average of remote prefills. */
const REMOTE_SAMPLE_WEIGHT = 0.1;

/** Higher than the remote weight, since an instance sees few local prefills. */
const LOCAL_SAMPLE_WEIGHT = 0.25;

/** The time of a smaller prefill depends more on the network than on the engine. */
const MINIMUM_SAMPLE_TOKENS = 2000;

/** Network time within the duration of a remote prefill. */
const NETWORK_MILLISECONDS = 8;

/** Samples are clamped to this range. */
const MINIMUM_TOKENS_PER_MILLISECOND = 5;
const MAXIMUM_TOKENS_PER_MILLISECOND = 400;

/**
 * A decode engine prefills in chunks between the decode steps of other requests, at about half the
 * rate of a prefill engine. Assumed until a local prefill has been timed.
 */
const LOCAL_RATE_FRACTION = 0.5;

/** Time to the first token of a locally prefilled prompt that is not spent on the prefill. */
const FIRST_TOKEN_OVERHEAD_MILLISECONDS = 20;

function clampedRate(tokens: number, milliseconds: number): number {
  const rate = tokens / Math.max(1, milliseconds);
  return Math.min(MAXIMUM_TOKENS_PER_MILLISECOND, Math.max(MINIMUM_TOKENS_PER_MILLISECOND, rate));
}

/**
 * Estimates the prefill throughput of an engine of relative speed 1, in tokens per millisecond, as
 * moving averages over prefills that did not queue. A remote prefill runs on a prefill engine, a local one on the decode
 * engine that also generates the response.
 */
export class PrefillRate {
  private remoteRate = INITIAL_TOKENS_PER_MILLISECOND;

  private localRate = INITIAL_TOKENS_PER_MILLISECOND * LOCAL_RATE_FRACTION;

  /** Tokens per millisecond of a prefill engine. */
  get remote(): number {
    return this.remoteRate;
  }

  /** Tokens per millisecond of a decode engine that prefills a prompt itself. */
  get local(): number {
    return this.localRate;
  }

  /** Records a remote prefill that had no other prefill queued before it, at an engine of a speed. */
  recordRemote(tokens: number, milliseconds: number, relativeSpeed = 1): void {
    if (tokens < MINIMUM_SAMPLE_TOKENS) {
      return;
    }
    this.remoteRate +=
      (clampedRate(tokens, milliseconds - NETWORK_MILLISECONDS) / relativeSpeed - this.remoteRate) *
      REMOTE_SAMPLE_WEIGHT;
  }

  /** Records the time to the first token of a prompt that its decode engine of a speed prefilled. */
  recordLocal(tokens: number, milliseconds: number, relativeSpeed = 1): void {
    if (tokens < MINIMUM_SAMPLE_TOKENS) {
      return;
    }
    const rate = clampedRate(tokens, milliseconds - FIRST_TOKEN_OVERHEAD_MILLISECONDS);
    this.localRate += (rate / relativeSpeed - this.localRate) * LOCAL_SAMPLE_WEIGHT;
  }
}
