import { RetryBudget } from 'hickoryrelay/RetryBudget';

import type { ForwardingLimits } from './ForwardingLimits.js';

/** Assumed until the number of instances is known. Even the largest deployments have fewer. */
const ASSUMED_INSTANCES = 100;

/** Keeps a retry possible where the slack is smaller than the number of instances. */
const MINIMUM_CAPACITY = 1;

/**
 * The retry budgets of this instance, one per service. Each instance gets an equal fraction of the
 * deployment's slack, so that all of them stay within it without coordination. The fraction never
 * grows when the number of instances falls, since an instance that is missing from the list may
 * still run.
 */
export class RetryBudgets {
  private readonly limits: ForwardingLimits;

  private readonly budgets = new Map<string, RetryBudget>();

  private peakInstances = 0;

  constructor(limits: ForwardingLimits) {
    this.limits = limits;
  }

  /** Shrinks the budgets if there are more instances than ever before. */
  setInstanceCount(count: number): void {
    if (count > this.peakInstances) {
      this.peakInstances = count;
      this.budgets.clear();
    }
  }

  addRequest(service: string): void {
    this.budgetFor(service).recordCall();
  }

  /** Takes one retry from the budget. Returns false if the budget is exhausted. */
  tryTake(service: string): boolean {
    return this.budgetFor(service).tryTake();
  }

  /** True if a retry could be taken now. */
  hasRetry(service: string): boolean {
    return this.budgetFor(service).hasRetry;
  }

  private budgetFor(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const { retryRatio, retrySlack } = this.limits;
      const instances = this.peakInstances === 0 ? ASSUMED_INSTANCES : this.peakInstances;
      const capacity = Math.max(MINIMUM_CAPACITY, Math.floor(retrySlack / instances));
      budget = new RetryBudget({ share: retryRatio, capacity });
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
