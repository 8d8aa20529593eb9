import { FailureKind, describeFailure } from 'hickoryrelay/Failure';
import { failureOf, hasFailureKind } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { AuthorityTerm } from './AuthorityTerm.js';
import type { OrderBook, OrderOutcome } from './OrderBook.js';
import type { SupplyBook } from './SupplyBook.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { EndpointOrder } from 'hickoryrelay-endpoint/EndpointOrder';
import type { SuppliedEndpoint } from 'hickoryrelay-platform/EndpointSupply';

const DECISION_INTERVAL_MILLISECONDS = 1000;
const RECONCILE_INTERVAL_MILLISECONDS = 60_000;

/** One order that a planner wants, with the reason for the log. */
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
      /** Spend that all zones together may reach, in thousandths for an hour. */
      readonly limit: number;
      readonly reason: string;
    }
  | { readonly type: 'release'; readonly endpoint: SuppliedEndpoint; readonly reason: string };

/** Decides what the authority orders next. An override decides from what it observes, without I/O. */
export abstract class ZonePlanner {
  abstract decide(): readonly ZoneDecision[];

  /** Tells the planner what became of a decision. */
  abstract note(decision: ZoneDecision, outcome: OrderOutcome): void;
}

/** What the duty is made of. */
export interface OrdersDutyParts {
  readonly term: AuthorityTerm;
  readonly orders: OrderBook;
  readonly supply: SupplyBook;
  readonly planner: ZonePlanner;
  readonly log: PartLogger;
}

/** Carries out a planner's decisions under one term. */
export class OrdersDuty extends Task {
  override readonly name = 'orders of the zone';

  private readonly parts: OrdersDutyParts;

  constructor(parts: OrdersDutyParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    const { term, orders, supply, planner } = this.parts;
    const signal = AbortSignal.any([context.signal, term.signal]);
    const { clock } = context;
    while (!(await this.attempt(() => Promise.all([orders.begin(signal), supply.begin(signal)])))) {
      yield;
      if (signal.aborted) {
        return;
      }
    }
    let reconciledMilliseconds = clock.monotonicMilliseconds();
    while (!signal.aborted) {
      if (
        clock.monotonicMilliseconds() >
        reconciledMilliseconds + RECONCILE_INTERVAL_MILLISECONDS
      ) {
        reconciledMilliseconds = clock.monotonicMilliseconds();
        await this.attempt(() => supply.reconcile());
      }
      await this.attempt(() => Promise.all([orders.settleOpen(), supply.settleOpen()]));
      for (const decision of planner.decide()) {
        yield;
        if (signal.aborted) {
          return;
        }
        await this.attempt(() => this.carryOut(decision));
      }
      yield;
      await clock.sleep(DECISION_INTERVAL_MILLISECONDS, signal).catch(() => {});
    }
  }

  private async carryOut(decision: ZoneDecision): Promise<void> {
    const outcome = await this.issue(decision);
    this.parts.planner.note(decision, outcome);
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

  /** Runs one piece of work and logs its failure. Returns whether it succeeded. */
  private async attempt(work: () => Promise<unknown>): Promise<boolean> {
    try {
      await work();
      return true;
    } catch (error) {
      if (!hasFailureKind(error, FailureKind.Cancelled)) {
        this.parts.log.warn('The authority could not carry out a step.', {
          reason: describeFailure(failureOf(error)),
        });
      }
      return false;
    }
  }
}
