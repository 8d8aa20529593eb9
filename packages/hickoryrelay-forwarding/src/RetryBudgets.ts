import { RetryBudget } from 'hickoryrelay/RetryBudget';

import type { ForwardingLimits } from './ForwardingLimits.js';

/**
 * The repeated sends that this instance may make, for each service. The share and the burst of all
 * instances together stay inside the budget of the deployment, so no instance asks another.
 */
export class RetryBudgets {
  private readonly limits: ForwardingLimits;

  private readonly budgets = new Map<string, RetryBudget>();

  constructor(limits: ForwardingLimits) {
    this.limits = limits;
  }

  addRequest(service: string): void {
    this.budgetOf(service).addCall();
  }

  /** Takes one repeated send. Returns false if there is none. */
  tryTake(service: string): boolean {
    return this.budgetOf(service).tryTake();
  }

  private budgetOf(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const { retryShare, retryBurst } = this.limits;
      budget = new RetryBudget({ share: retryShare, capacity: retryBurst });
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
