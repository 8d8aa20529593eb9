/**
 * The latest time of each key, for at least the given number of keys that were set last, and at
 * most twice as many. Old keys are dropped a generation at a time, because the deletion of single
 * entries in order of age leaves a map whose first entry is slow to find.
 */
export class RecentTimes {
  private readonly minimumKeys: number;

  private current = new Map<number, number>();

  private previous = new Map<number, number>();

  constructor(minimumKeys: number) {
    this.minimumKeys = minimumKeys;
  }

  get(key: number): number | undefined {
    return this.current.get(key) ?? this.previous.get(key);
  }

  set(key: number, milliseconds: number): void {
    this.current.set(key, milliseconds);
    if (this.current.size >= this.minimumKeys) {
      this.previous = this.current;
      this.current = new Map();
    }
  }
}
