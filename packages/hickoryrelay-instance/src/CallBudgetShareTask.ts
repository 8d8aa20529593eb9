import { Task } from 'hickoryrelay/Task';

import type { Membership } from './Membership.js';
import type { TaskContext } from 'hickoryrelay/Task';
import type { CallBudget } from 'hickoryrelay-platform/CallBudget';

const INTERVAL_MILLISECONDS = 5000;

/**
 * Updates this instance's share of the call rate that the key-value service allows to all
 * instances. Until the list of instances is known, the share stays at that of one in 640 instances,
 * so that a simultaneous start of all instances does not overload the service.
 */
export class CallBudgetShareTask extends Task {
  override readonly name = 'share of calls';

  private readonly budget: CallBudget;

  private readonly membership: Membership;

  constructor(budget: CallBudget, membership: Membership) {
    super();
    this.budget = budget;
    this.membership = membership;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      const others = this.membership.listedCount;
      if (others > 0) {
        this.budget.setInstanceCount(others + 1);
      }
      yield;
      await clock.sleep(INTERVAL_MILLISECONDS, signal);
    }
  }
}
