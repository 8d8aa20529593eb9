/** Covers the windows whose counts may still have to be written. */
const RETAINED_WINDOWS = 6;

/** Requests by client account. */
export type AccountCounts = Readonly<Record<string, number>>;

/** True for counts that can be added up. */
export function isAccountCounts(value: unknown): value is AccountCounts {
  return (
    typeof value === 'object' &&
    value !== null &&
    Object.values(value).every((count) => Number.isSafeInteger(count) && count >= 0)
  );
}

/** Counts the requests that endpoints started for each client account, by wall-clock window. */
export class UsageTally {
  private readonly windows = new Map<number, Map<string, number>>();

  private readonly windowMilliseconds: number;

  constructor(windowMilliseconds: number) {
    this.windowMilliseconds = windowMilliseconds;
  }

  windowAt(wallMilliseconds: number): number {
    return Math.floor(wallMilliseconds / this.windowMilliseconds);
  }

  /** Counts a request that an endpoint started at the given wall-clock time. */
  add(account: string, wallMilliseconds: number): void {
    const window = this.windowAt(wallMilliseconds);
    let counts = this.windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      this.windows.set(window, counts);
      this.evictOldest();
    }
    counts.set(account, (counts.get(account) ?? 0) + 1);
  }

  /** The counts of a window; empty if no request was started in it. */
  countsOf(window: number): AccountCounts {
    return Object.fromEntries(this.windows.get(window) ?? []);
  }

  private evictOldest(): void {
    while (this.windows.size > RETAINED_WINDOWS) {
      this.windows.delete(Math.min(...this.windows.keys()));
    }
  }
}
