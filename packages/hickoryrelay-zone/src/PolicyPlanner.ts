import { OrderOutcome } from './EndpointOrderDispatcher.js';
import { ZonePlanner } from './ZoneControlTask.js';

import type { RoleObservation, RolePolicy } from './RolePolicy.js';
import type { SupplyObservation, SupplyPolicy } from './SupplyPolicy.js';
import type { ZoneDecision } from './ZoneControlTask.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { SuppliedEndpoint } from 'hickoryrelay-platform/EndpointSupply';

/** State of the zone as known to its authority. An override reads from memory, without I/O. */
export abstract class ZoneObserver {
  /** Undefined while the demand is unknown. */
  abstract roles(): RoleObservation | undefined;

  /** Undefined while the demand or the spend is unknown. */
  abstract supply(): SupplyObservation | undefined;

  abstract findSupplied(identifier: string): SuppliedEndpoint | undefined;

  /** Records that an order may have taken effect, which earlier load reports do not reflect. */
  recordOrder(_decision: ZoneDecision): void {}
}

/** Observes nothing, so that nothing is ordered. For instances without a source of demand data. */
export class NullZoneObserver extends ZoneObserver {
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

/** Collaborators of a policy planner. */
export interface PolicyPlannerParts {
  readonly observer: ZoneObserver;
  readonly roles: RolePolicy;
  readonly supply: SupplyPolicy;
  readonly log: ComponentLogger;
}

/** Turns the decisions of the role and supply policies into orders. */
export class PolicyPlanner extends ZonePlanner {
  private readonly parts: PolicyPlannerParts;

  private lastShortfallReason = '';

  constructor(parts: PolicyPlannerParts) {
    super();
    this.parts = parts;
  }

  override decide(): readonly ZoneDecision[] {
    return [...this.decideRole(), ...this.decideSupply()];
  }

  override recordOutcome(decision: ZoneDecision, outcome: OrderOutcome): void {
    if (outcome !== OrderOutcome.NoEffect) {
      this.parts.observer.recordOrder(decision);
    }
    if (outcome !== OrderOutcome.Taken) {
      this.parts.log.warn('An order was not accepted.', { type: decision.type, outcome });
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
    this.logShortfall(shortfalls.length > 0 ? reason : '');
    if (order !== undefined) {
      yield { type: 'supply-order', kind: order, limit: observation.spendLimit, reason };
    }
    const endpoint = release === undefined ? undefined : observer.findSupplied(release);
    if (endpoint !== undefined) {
      yield { type: 'release', endpoint, reason };
    }
  }

  /** Logs a shortfall at the budget limit when its reason changes, not at every decision. */
  private logShortfall(reason: string): void {
    if (reason !== '' && reason !== this.lastShortfallReason) {
      this.parts.log.warn('The budget limit leaves demand without capacity.', { reason });
    }
    this.lastShortfallReason = reason;
  }
}
