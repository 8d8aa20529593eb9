import { RetryBudget } from 'hickoryrelay/RetryBudget';

import type { ForwardingLimits } from './ForwardingLimits.js';

/** Number of instances that is assumed while none is known; the largest deployments have fewer. */
const ASSUMED_INSTANCES = 100;

/** Fewest repeated sends that an instance may save up. */
const SMALLEST_BURST = 1;

/**
 * The repeated sends that this instance may make, for each service. Each instance has its part of
 * the deployment's slack, so that all together stay inside it without asking each other. The part
 * never grows again: an instance that is missing from the list may still run.
 */
export class RetryBudgets {
  private readonly limits: ForwardingLimits;

  private readonly budgets = new Map<string, RetryBudget>();

  private mostInstances = 0;

  constructor(limits: ForwardingLimits) {
    this.limits = limits;
  }

  /** States how many instances there are. */
  setInstances(count: number): void {
    if (count > this.mostInstances) {
      this.mostInstances = count;
      this.budgets.clear();
    }
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
      const { retryShare, retrySlack } = this.limits;
      const instances = this.mostInstances === 0 ? ASSUMED_INSTANCES : this.mostInstances;
      const capacity = Math.max(SMALLEST_BURST, Math.floor(retrySlack / instances));
      budget = new RetryBudget({ share: retryShare, capacity });
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
