/** Tokens a millisecond that are assumed until a reading was timed. */
const FIRST_PACE = 40;

/** Weight of one timed reading. */
const SAMPLE_WEIGHT = 0.1;

/** Readings of fewer tokens say more about the way to the engine than about its pace. */
const SMALLEST_SAMPLE_TOKENS = 2000;

/** Time of a reading that is spent on the way, in milliseconds. */
const WAY_MILLISECONDS = 8;

/** Bounds of a pace that is believed, in tokens a millisecond. */
const SLOWEST_PACE = 5;
const FASTEST_PACE = 400;

/** A generating engine reads at half the speed, in pieces between the tokens of other requests. */
const IN_PLACE_PART = 0.4;

/** How fast the reading engines of a service read, learned from readings without a queue. */
export class ReadingPace {
  private pace = FIRST_PACE;

  /** Tokens a millisecond of a reading engine. */
  get apart(): number {
    return this.pace;
  }

  /** Tokens a millisecond of a generating engine that reads a prompt itself. */
  get inPlace(): number {
    return this.pace * IN_PLACE_PART;
  }

  /** Learns from a reading that had no other before it. */
  learn(tokens: number, milliseconds: number): void {
    if (tokens < SMALLEST_SAMPLE_TOKENS) {
      return;
    }
    const sample = tokens / Math.max(1, milliseconds - WAY_MILLISECONDS);
    const bounded = Math.min(FASTEST_PACE, Math.max(SLOWEST_PACE, sample));
    this.pace += (bounded - this.pace) * SAMPLE_WEIGHT;
  }
}
