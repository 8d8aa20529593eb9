/** Windows whose counts are kept until they are handed over or too old to be of use. */
const KEPT_WINDOWS = 6;

/** Requests by client account. */
export type AccountCounts = Readonly<Record<string, number>>;

/** Counts the requests that endpoints began for each client account, by window of the wall clock. */
export class UsageTally {
  private readonly windows = new Map<number, Map<string, number>>();

  private readonly windowMilliseconds: number;

  constructor(windowMilliseconds: number) {
    this.windowMilliseconds = windowMilliseconds;
  }

  windowAt(wallMilliseconds: number): number {
    return Math.floor(wallMilliseconds / this.windowMilliseconds);
  }

  /** Counts one request that an endpoint began at the given time of day. */
  add(account: string, wallMilliseconds: number): void {
    const window = this.windowAt(wallMilliseconds);
    let counts = this.windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      this.windows.set(window, counts);
      this.dropOldest();
    }
    counts.set(account, (counts.get(account) ?? 0) + 1);
  }

  /** The counts of a window; empty if nothing began in it. */
  countsOf(window: number): AccountCounts {
    return Object.fromEntries(this.windows.get(window) ?? []);
  }

  private dropOldest(): void {
    while (this.windows.size > KEPT_WINDOWS) {
      this.windows.delete(Math.min(...this.windows.keys()));
    }
  }
}
