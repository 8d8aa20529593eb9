const WEIGHT_OF_NEWEST = 0.1;
const DEFAULT_DECODE_TOKENS = 256;

/** Averages that give newer values more weight, one for each key. */
export class MovingAverages {
  private readonly averages = new Map<string, number>();

  get(key: string): number | undefined {
    return this.averages.get(key);
  }

  record(key: string, value: number): void {
    const known = this.averages.get(key);
    this.averages.set(
      key,
      known === undefined ? value : known + WEIGHT_OF_NEWEST * (value - known),
    );
  }
}

/** Expected length of answers, learned for each account and class, and for each class. */
export class DecodeEstimate {
  private readonly averages = new MovingAverages();

  tokens(account: string, className: string, limit: number | undefined): number {
    const learned =
      this.averages.get(`${className}/${account}`) ??
      this.averages.get(className) ??
      DEFAULT_DECODE_TOKENS;
    return Math.min(learned, limit ?? Number.POSITIVE_INFINITY);
  }

  record(account: string, className: string, tokens: number): void {
    this.averages.record(`${className}/${account}`, tokens);
    this.averages.record(className, tokens);
  }
}
