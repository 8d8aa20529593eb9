import { OrderOutcome } from './OrderBook.js';
import { ZonePlanner } from './OrdersDuty.js';

import type { ZoneDecision } from './OrdersDuty.js';
import type { RoleObservation, RolePolicy } from './RolePlan.js';
import type { SupplyObservation, SupplyPolicy } from './SupplyPlan.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { SuppliedEndpoint } from 'hickoryrelay-platform/EndpointSupply';

/** What the authority knows of its zone. An override answers from memory, without I/O. */
export abstract class ZoneObserver {
  /** Undefined while the demand is not known. */
  abstract roles(): RoleObservation | undefined;

  /** Undefined while demand or spend are not known. */
  abstract supply(): SupplyObservation | undefined;

  abstract findSupplied(identifier: string): SuppliedEndpoint | undefined;

  /** Tells that an order may have taken effect, which figures from before do not show. */
  noteOrder(_decision: ZoneDecision): void {}
}

/** Observes nothing, so that nothing is ordered. For instances without a source of demand. */
export class NoObservation extends ZoneObserver {
  override roles(): undefined {
    return undefined;
  }

  override supply(): undefined {
    return undefined;
  }

  override findSupplied(): undefined {
    return undefined;
  }
}

/** What the planner is made of. */
export interface PolicyPlannerParts {
  readonly observer: ZoneObserver;
  readonly roles: RolePolicy;
  readonly supply: SupplyPolicy;
  readonly log: PartLogger;
}

/** Turns the decisions of the role and supply policies into orders. */
export class PolicyPlanner extends ZonePlanner {
  private readonly parts: PolicyPlannerParts;

  private lastHarm = '';

  constructor(parts: PolicyPlannerParts) {
    super();
    this.parts = parts;
  }

  override decide(): readonly ZoneDecision[] {
    return [...this.decideRole(), ...this.decideSupply()];
  }

  override note(decision: ZoneDecision, outcome: OrderOutcome): void {
    if (outcome !== OrderOutcome.NoEffect) {
      this.parts.observer.noteOrder(decision);
    }
    if (outcome !== OrderOutcome.Taken) {
      this.parts.log.warn('An order has not been taken.', { type: decision.type, outcome });
    }
  }

  private *decideRole(): Generator<ZoneDecision, void, void> {
    const observation = this.parts.observer.roles();
    const decision = observation && this.parts.roles.decide(observation);
    if (decision?.change !== undefined) {
      const { endpoint, role } = decision.change;
      const order = { type: 'change-role' as const, role };
      yield { type: 'endpoint-order', endpoint, order, reason: decision.reason };
    }
  }

  private *decideSupply(): Generator<ZoneDecision, void, void> {
    const { observer, supply } = this.parts;
    const observation = observer.supply();
    if (observation === undefined) {
      return;
    }
    const { order, release, shortfalls, reason } = supply.decide(observation);
    this.logHarm(shortfalls.length > 0 ? reason : '');
    if (order !== undefined) {
      yield { type: 'supply-order', kind: order, limit: observation.spendLimit, reason };
    }
    const endpoint = release === undefined ? undefined : observer.findSupplied(release);
    if (endpoint !== undefined) {
      yield { type: 'release', endpoint, reason };
    }
  }

  /** Logs a choice at the budget's limit once, not at every decision. */
  private logHarm(reason: string): void {
    if (reason !== '' && reason !== this.lastHarm) {
      this.parts.log.warn('The budget leaves work without capacity.', { reason });
    }
    this.lastHarm = reason;
  }
}
