/** Tokens a millisecond that are assumed until a reading was timed. */
const FIRST_PACE = 40;

/** Weight of one timed reading. */
const SAMPLE_WEIGHT = 0.1;

/** Weight of one timed reading in place, of which an instance sees few. */
const IN_PLACE_SAMPLE_WEIGHT = 0.25;

/** Readings of fewer tokens say more about the way to the engine than about its pace. */
const SMALLEST_SAMPLE_TOKENS = 2000;

/** Time of a reading that is spent on the way, in milliseconds. */
const WAY_MILLISECONDS = 8;

/** Bounds of a pace that is believed, in tokens a millisecond. */
const SLOWEST_PACE = 5;
const FASTEST_PACE = 400;

/**
 * A generating engine reads at half the speed, in pieces between the tokens of other requests. Assumed
 * until a reading in place was timed.
 */
const IN_PLACE_PART = 0.5;

/** Time to the first token of a reading in place that is not spent on reading, in milliseconds. */
const FIRST_TOKEN_MILLISECONDS = 20;

function sampleOf(tokens: number, milliseconds: number): number {
  const sample = tokens / Math.max(1, milliseconds);
  return Math.min(FASTEST_PACE, Math.max(SLOWEST_PACE, sample));
}

/** How fast the engines of a service read, learned from readings without a queue. */
export class ReadingPace {
  private pace = FIRST_PACE;

  private inPlacePace = FIRST_PACE * IN_PLACE_PART;

  /** Tokens a millisecond of a reading engine. */
  get apart(): number {
    return this.pace;
  }

  /** Tokens a millisecond of a generating engine that reads a prompt itself. */
  get inPlace(): number {
    return this.inPlacePace;
  }

  /** Learns from a reading that had no other before it. */
  learn(tokens: number, milliseconds: number): void {
    if (tokens < SMALLEST_SAMPLE_TOKENS) {
      return;
    }
    this.pace += (sampleOf(tokens, milliseconds - WAY_MILLISECONDS) - this.pace) * SAMPLE_WEIGHT;
  }

  /** Learns from the time to the first token of a prompt that its generating engine has read. */
  learnInPlace(tokens: number, milliseconds: number): void {
    if (tokens < SMALLEST_SAMPLE_TOKENS) {
      return;
    }
    const sample = sampleOf(tokens, milliseconds - FIRST_TOKEN_MILLISECONDS);
    this.inPlacePace += (sample - this.inPlacePace) * IN_PLACE_SAMPLE_WEIGHT;
  }
}
