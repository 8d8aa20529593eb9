import { MovingAverages } from 'hickoryrelay-admission/MovingAverages';

const DEFAULT_DECODE_TOKENS = 256;

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
