/** Limits of a retry budget. */
export interface RetryBudgetLimits {
  /** Retries added to the budget for each call. */
  readonly share: number;
  /** Maximum number of accumulated retries. */
  readonly capacity: number;
}

/**
 * The capacity covers the loss of a zone, when a third of 1,300 open streams resume at once. The
 * share limits the additional load to a tenth when all endpoints fail.
 */
export const DEFAULT_RETRY_BUDGET: RetryBudgetLimits = { share: 0.1, capacity: 450 };

/** Limits the retries of an instance with a token bucket that each call refills. */
export class RetryBudget {
  private readonly limits: RetryBudgetLimits;

  private availableRetries: number;

  constructor(limits: RetryBudgetLimits = DEFAULT_RETRY_BUDGET) {
    this.limits = limits;
    this.availableRetries = limits.capacity;
  }

  /** Adds the share of one call to the budget. */
  recordCall(): void {
    this.availableRetries = Math.min(
      this.limits.capacity,
      this.availableRetries + this.limits.share,
    );
  }

  get hasRetry(): boolean {
    return this.availableRetries >= 1;
  }

  /** Consumes one retry. Returns false if the budget is exhausted. */
  tryTake(): boolean {
    if (!this.hasRetry) {
      return false;
    }
    this.availableRetries -= 1;
    return true;
  }
}
