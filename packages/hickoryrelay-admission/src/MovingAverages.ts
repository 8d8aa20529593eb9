const SMOOTHING_FACTOR = 0.1;

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
