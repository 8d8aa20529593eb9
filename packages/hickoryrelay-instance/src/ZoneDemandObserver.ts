import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { EndpointState } from 'hickoryrelay-endpoint/Endpoint';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { ZoneObserver } from 'hickoryrelay-zone/PolicyPlanner';

import { classTag } from './ZoneWork.js';
import type { SmoothedDemand } from './SmoothedDemand.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ClassOfWork } from 'hickoryrelay-contract/ClassOfWork';
import type { Declarations } from 'hickoryrelay-contract/Declarations';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { LoadReport } from 'hickoryrelay-endpoint/EngineLoad';
import type { SuppliedEndpoint } from 'hickoryrelay-platform/EndpointSupply';
import type { Fleet } from 'hickoryrelay-zone/Fleet';
import type { PlannedEngine, RoleObservation } from 'hickoryrelay-zone/RolePolicy';
import type { Spend } from 'hickoryrelay-zone/Spend';
import type { KindSupply, SupplyObservation } from 'hickoryrelay-zone/SupplyPolicy';
import type { ZoneDecision } from 'hickoryrelay-zone/ZoneControlTask';

/** Load reports read per second by the holder of the authority; each takes about 400 bytes. */
export const ENGINE_READS_PER_SECOND = 5;

/** A report expires after this time plus two rounds of reads over the engines of the zone. */
const REPORT_AGE_LIMIT_MILLISECONDS = 10_000;
const REPORT_AGE_LIMIT_ROUNDS = 2;

/** Supply is read every two seconds, so several reads may fail before the snapshot expires. */
const SUPPLY_AGE_LIMIT_MILLISECONDS = 15_000;

const MILLISECONDS_PER_SECOND = 1000;
const THOUSANDTHS_PER_UNIT = 1000;

/** Spend and supply, as read from the platform. */
export interface SupplySnapshot {
  /** Time of the first of the reads. */
  readonly requestedMilliseconds: number;
  readonly spend: Spend;
  readonly supplied: readonly SuppliedEndpoint[];
  /** Kinds of the endpoints that are ordered but not listed yet. */
  readonly pendingKinds: readonly string[];
}

export interface ZoneDemandObserverParts {
  readonly zone: string;
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly declarations: () => Declarations;
  readonly demand: SmoothedDemand;
  /** False while an instance of the zone is suspected, so that its work is not known. */
  readonly isZoneResponsive: () => boolean;
}

/**
 * Spend limit per hour in whole thousandths. Rounds down so that the budget is not exceeded, after
 * rounding away the floating-point error.
 */
function spendLimitThousandths(costPerHour: number): number {
  return Math.floor(
    Math.round(costPerHour * THOUSANDTHS_PER_UNIT * THOUSANDTHS_PER_UNIT) / THOUSANDTHS_PER_UNIT,
  );
}

/**
 * Observes the demand for model work in a zone and the capacity to serve it. It uses state that
 * `ZoneObservationTask` keeps up to date, and observes nothing if this state is missing or expired.
 * Plain services are left out: the cost of their calls is a duration, not the use of an engine.
 */
export class ZoneDemandObserver extends ZoneObserver {
  private readonly parts: ZoneDemandObserverParts;

  private supplySnapshot: SupplySnapshot | undefined;

  private lastSupplyOrderMilliseconds = Number.NEGATIVE_INFINITY;

  /** Time of the last order to each engine, by endpoint identifier. */
  private readonly orderedMilliseconds = new Map<string, number>();

  constructor(parts: ZoneDemandObserverParts) {
    super();
    this.parts = parts;
  }

  override roles(): RoleObservation | undefined {
    const { clock, demand } = this.parts;
    const engines = this.plannedEngines();
    if (!this.isDemandKnown || engines === undefined || demand.prefill + demand.decode === 0) {
      return undefined;
    }
    return {
      nowMilliseconds: clock.monotonicMilliseconds(),
      engines,
      demand: { prefill: demand.prefill, decode: demand.decode },
      requirements: this.modelClasses().map(({ name, models }) => ({
        className: name,
        models,
        prefillEngines: 1,
        decodeEngines: 1,
      })),
    };
  }

  override supply(): SupplyObservation | undefined {
    const { clock, declarations, demand, fleet } = this.parts;
    const now = clock.monotonicMilliseconds();
    const snapshot = this.freshSnapshot(now);
    const kinds = this.interchangeableKinds();
    const classes = this.modelClasses();
    // The demand of two classes with the same tag cannot be distinguished.
    const isAmbiguous = new Set(classes.map(({ name }) => classTag(name))).size < classes.length;
    if (!this.isDemandKnown || snapshot === undefined || kinds.length === 0 || isAmbiguous) {
      return undefined;
    }
    return {
      nowMilliseconds: now,
      kinds: kinds.map((kind) => this.kindSupply(kind, snapshot, now)),
      demands: classes.map(({ name, isIdempotent, targets }) => {
        const units = demand.forClass(classTag(name));
        const lossTarget = targets.loss;
        return {
          className: name,
          units,
          unitsAfterLeadTime: units,
          toleratesLoss: isIdempotent,
          lossTarget,
        };
      }),
      largestReclaim: this.largestReclaim(),
      zoneCount: [...fleet.zones].length,
      spendLimit: spendLimitThousandths(declarations().document.budget.costPerHour),
      spent: snapshot.spend.total,
    };
  }

  override findSupplied(identifier: string): SuppliedEndpoint | undefined {
    return this.supplySnapshot?.supplied.find((endpoint) => endpoint.identifier === identifier);
  }

  override recordOrder(decision: ZoneDecision): void {
    const now = this.parts.clock.monotonicMilliseconds();
    if (decision.type === 'endpoint-order') {
      this.orderedMilliseconds.set(decision.endpoint, now);
    } else {
      this.lastSupplyOrderMilliseconds = now;
    }
  }

  /** Discards earlier observations, at the start of a term. */
  reset(): void {
    this.parts.demand.reset();
    this.supplySnapshot = undefined;
  }

  /** Samples the demand, or discards the samples while the work of an instance is not known. */
  sample(): void {
    if (this.parts.isZoneResponsive()) {
      this.parts.demand.sample();
    } else {
      this.parts.demand.reset();
    }
  }

  update(snapshot: SupplySnapshot): void {
    this.supplySnapshot = snapshot;
  }

  /** Engines that have not reported since their last order, and the other engines. */
  enginesToRead(): [awaited: Engine[], others: Engine[]] {
    const engines = this.liveEngines();
    const isAwaited = (engine: Engine) => this.awaitsReport(engine, engine.load.lastReport);
    return [engines.filter(isAwaited), engines.filter((engine) => !isAwaited(engine))];
  }

  private get isDemandKnown(): boolean {
    return this.parts.isZoneResponsive() && this.parts.demand.isKnown;
  }

  private liveEngines(): Engine[] {
    return [...this.parts.fleet.zone(this.parts.zone).endpoints].filter(
      (endpoint): endpoint is Engine =>
        endpoint instanceof Engine && endpoint.state === EndpointState.Live,
    );
  }

  /**
   * Engines with a current report. Others cannot be relied on and are left out. If more than half
   * do not report, the fault is more likely at this instance, and nothing is observed.
   */
  private plannedEngines(): PlannedEngine[] | undefined {
    const live = this.liveEngines();
    const planned: PlannedEngine[] = [];
    for (const engine of live) {
      const report = this.freshReport(engine, live.length);
      if (report?.role !== undefined) {
        const isChanging = report.isChanging === true || this.awaitsReport(engine, report);
        const { identifier, kind } = engine;
        planned.push({ identifier, role: report.role, models: kind.models, isChanging });
      }
    }
    return planned.length * 2 < live.length || planned.length === 0 ? undefined : planned;
  }

  private freshReport(engine: Engine, engineCount: number): LoadReport | undefined {
    const report = engine.load.lastReport;
    const round = (engineCount / ENGINE_READS_PER_SECOND) * MILLISECONDS_PER_SECOND;
    const ageLimit = REPORT_AGE_LIMIT_MILLISECONDS + REPORT_AGE_LIMIT_ROUNDS * round;
    const now = this.parts.clock.monotonicMilliseconds();
    return report !== undefined && now - report.sampledMilliseconds <= ageLimit
      ? report
      : undefined;
  }

  private awaitsReport({ identifier }: Engine, report: LoadReport | undefined): boolean {
    const ordered = this.orderedMilliseconds.get(identifier);
    return ordered !== undefined && (report === undefined || report.sampledMilliseconds <= ordered);
  }

  private freshSnapshot(now: number): SupplySnapshot | undefined {
    const { supplySnapshot: snapshot } = this;
    const isFresh =
      snapshot !== undefined &&
      now - snapshot.requestedMilliseconds <= SUPPLY_AGE_LIMIT_MILLISECONDS &&
      snapshot.requestedMilliseconds > this.lastSupplyOrderMilliseconds;
    return isFresh ? snapshot : undefined;
  }

  private modelClasses(): ClassOfWork[] {
    const { classes } = this.parts.declarations();
    return [...classes.values()].filter(({ kind }) => kind === WorkKind.Model);
  }

  /** All kinds of engines, if each of them can run every declared model, and none otherwise. */
  private interchangeableKinds(): EndpointKind[] {
    const models = this.modelClasses().flatMap((classOfWork) => classOfWork.models);
    const kinds = [...this.parts.declarations().endpointKinds.values()].filter(
      ({ serves }) => serves === WorkKind.Model,
    );
    const areInterchangeable = kinds.every((kind) =>
      models.every((model) => kind.models.includes(model)),
    );
    return areInterchangeable ? kinds : [];
  }

  private kindSupply(kind: EndpointKind, snapshot: SupplySnapshot, now: number): KindSupply {
    const present = snapshot.supplied.filter(
      (endpoint) => endpoint.kind === kind.name && endpoint.state !== SupplyState.Leaving,
    );
    const pending = snapshot.pendingKinds.filter((name) => name === kind.name);
    return {
      kind,
      count: present.length + pending.length,
      // Endpoints without an order key belong to the operators and are never released.
      idle: present
        .filter(({ orderKey, state }) => orderKey !== undefined && state === SupplyState.Live)
        .map(({ identifier }) => identifier)
        .filter((identifier) => this.isIdle(identifier, now)),
    };
  }

  private isIdle(identifier: string, now: number): boolean {
    const engine = this.parts.fleet.zone(this.parts.zone).find(identifier);
    const report = engine instanceof Engine ? engine.load.lastReport : undefined;
    return (
      engine?.callsInFlight === 0 &&
      report?.running === 0 &&
      report.waiting === 0 &&
      now - report.sampledMilliseconds <= REPORT_AGE_LIMIT_MILLISECONDS
    );
  }

  private largestReclaim(): number {
    const counts = [...this.parts.fleet.zones].map(
      ({ endpoints }) =>
        [...endpoints].filter(
          (endpoint) =>
            endpoint instanceof Engine && endpoint.kind.reclaimable && endpoint.acceptsCalls,
        ).length,
    );
    return Math.max(0, ...counts);
  }
}
