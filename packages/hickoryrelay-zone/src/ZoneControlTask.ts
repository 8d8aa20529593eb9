import { FailureKind, describeFailure } from 'hickoryrelay/Failure';
import { failureOf, hasFailureKind } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { AuthorityTerm } from './AuthorityTerm.js';
import type { EndpointOrderDispatcher, OrderOutcome } from './EndpointOrderDispatcher.js';
import type { SupplyOrderDispatcher } from './SupplyOrderDispatcher.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { EndpointOrder } from 'hickoryrelay-endpoint/EndpointOrder';
import type { SuppliedEndpoint } from 'hickoryrelay-platform/EndpointSupply';

const DECISION_INTERVAL_MILLISECONDS = 1000;
const RECONCILE_INTERVAL_MILLISECONDS = 60_000;

/** An order to issue, with the reason to log. */
export type ZoneDecision =
  | {
      readonly type: 'endpoint-order';
      readonly endpoint: string;
      readonly order: EndpointOrder;
      readonly reason: string;
    }
  | {
      readonly type: 'supply-order';
      readonly kind: EndpointKind;
      /** Budget limit of all zones together, in thousandths per hour. */
      readonly limit: number;
      readonly reason: string;
    }
  | { readonly type: 'release'; readonly endpoint: SuppliedEndpoint; readonly reason: string };

/** Decides which orders the authority issues next. An override decides from memory, without I/O. */
export abstract class ZonePlanner {
  abstract decide(): readonly ZoneDecision[];

  /** Called with the outcome of each decision. */
  abstract recordOutcome(decision: ZoneDecision, outcome: OrderOutcome): void;
}

/** Collaborators of a zone control task. */
export interface ZoneControlTaskParts {
  readonly term: AuthorityTerm;
  readonly orders: EndpointOrderDispatcher;
  readonly supply: SupplyOrderDispatcher;
  readonly planner: ZonePlanner;
  readonly log: ComponentLogger;
}

/** Control loop of a zone: issues the orders that a planner decides on, for the time of one term. */
export class ZoneControlTask extends Task {
  override readonly name = 'orders of the zone';

  private readonly parts: ZoneControlTaskParts;

  constructor(parts: ZoneControlTaskParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    const { term, orders, supply, planner } = this.parts;
    const signal = AbortSignal.any([context.signal, term.signal]);
    const { clock } = context;
    while (
      !(await this.attempt(() => Promise.all([orders.recover(signal), supply.recover(signal)])))
    ) {
      yield;
      if (signal.aborted) {
        return;
      }
    }
    let lastReconcileMilliseconds = clock.monotonicMilliseconds();
    while (!signal.aborted) {
      if (
        clock.monotonicMilliseconds() >
        lastReconcileMilliseconds + RECONCILE_INTERVAL_MILLISECONDS
      ) {
        lastReconcileMilliseconds = clock.monotonicMilliseconds();
        await this.attempt(() => supply.reconcile());
      }
      await this.attempt(() =>
        Promise.all([orders.resolveOpenIntents(), supply.resolveOpenIntents()]),
      );
      for (const decision of planner.decide()) {
        yield;
        if (signal.aborted) {
          return;
        }
        await this.attempt(() => this.execute(decision));
      }
      yield;
      await clock.sleep(DECISION_INTERVAL_MILLISECONDS, signal).catch(() => {});
    }
  }

  private async execute(decision: ZoneDecision): Promise<void> {
    const outcome = await this.issue(decision);
    this.parts.planner.recordOutcome(decision, outcome);
    const { fencingNumber } = this.parts.term;
    const { type, reason } = decision;
    this.parts.log.info('An order was issued.', { type, reason, outcome, fencingNumber });
  }

  private issue(decision: ZoneDecision): Promise<OrderOutcome> {
    const { orders, supply } = this.parts;
    switch (decision.type) {
      case 'endpoint-order':
        return orders.issue(decision.endpoint, decision.order);
      case 'supply-order':
        return supply.order(decision.kind, decision.limit);
      default:
        return supply.release(decision.endpoint);
    }
  }

  /** Runs one step and logs a failure. Returns whether the step succeeded. */
  private async attempt(step: () => Promise<unknown>): Promise<boolean> {
    try {
      await step();
      return true;
    } catch (error) {
      if (!hasFailureKind(error, FailureKind.Cancelled)) {
        this.parts.log.warn('A step of the zone control loop failed.', {
          reason: describeFailure(failureOf(error)),
        });
      }
      return false;
    }
  }
}
