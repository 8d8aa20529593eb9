/** Limits of a retry budget. */
export interface RetryBudgetLimits {
  /** Retries allowed for each call, as a share. */
  readonly share: number;
  /** Most retries that may be saved up. */
  readonly capacity: number;
}

/**
 * The capacity covers the streams of a lost zone: a third of 1,300 open streams resume at once. The
 * share keeps the added load at a tenth when all endpoints fail.
 */
export const DEFAULT_RETRY_BUDGET: RetryBudgetLimits = { share: 0.1, capacity: 450 };

/** The retries that an instance may still make: a token bucket that calls fill. */
export class RetryBudget {
  private readonly limits: RetryBudgetLimits;

  private saved: number;

  constructor(limits: RetryBudgetLimits = DEFAULT_RETRY_BUDGET) {
    this.limits = limits;
    this.saved = limits.capacity;
  }

  /** Adds the share of one call. */
  addCall(): void {
    this.saved = Math.min(this.limits.capacity, this.saved + this.limits.share);
  }

  /** Takes one retry. Returns false if there is none. */
  tryTake(): boolean {
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
