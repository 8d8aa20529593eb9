/** A figure of the workload model, with what is known of its quality. */
export interface Estimate {
  readonly value: number;
  /** Time since the newest observation behind the value; infinite for a default. */
  readonly ageMilliseconds: number;
  /** Expected relative deviation of the value; 1 for a default. */
  readonly relativeError: number;
}
