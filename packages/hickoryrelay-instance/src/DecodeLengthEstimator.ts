const SMOOTHING_FACTOR = 0.1;
const DEFAULT_DECODE_TOKENS = 256;

/** Exponentially weighted moving averages by key. */
export class MovingAverages {
  private readonly averages = new Map<string, number>();

  get(key: string): number | undefined {
    return this.averages.get(key);
  }

  record(key: string, value: number): void {
    const average = this.averages.get(key);
    this.averages.set(
      key,
      average === undefined ? value : average + SMOOTHING_FACTOR * (value - average),
    );
  }
}

/**
 * Estimates the length of responses from past ones of the same account and class, or of the same
 * class if the account has none.
 */
export class DecodeLengthEstimator {
  private readonly averages = new MovingAverages();

  tokens(account: string, className: string, limit: number | undefined): number {
    const average =
      this.averages.get(`${className}/${account}`) ??
      this.averages.get(className) ??
      DEFAULT_DECODE_TOKENS;
    return Math.min(average, limit ?? Number.POSITIVE_INFINITY);
  }

  record(account: string, className: string, tokens: number): void {
    this.averages.record(`${className}/${account}`, tokens);
    this.averages.record(className, tokens);
  }
}
