import { EngineRole } from 'hickoryrelay-endpoint/Engine';

/** Prefill and decode work, each as the number of engines that it would fully utilize. */
export interface RoleDemand {
  readonly prefill: number;
  readonly decode: number;
}

/** An engine as a role policy sees it. */
export interface PlannedEngine {
  readonly identifier: string;
  readonly role: EngineRole;
  readonly models: readonly string[];
  /** True if the engine accepts no calls because it is carrying out an order or leaving. */
  readonly isChanging: boolean;
}

/** Minimum number of engines that a class of work requires for each inference phase. */
export interface ClassRequirement {
  readonly className: string;
  readonly models: readonly string[];
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

/** Input of a role policy. */
export interface RoleObservation {
  readonly nowMilliseconds: number;
  readonly engines: readonly PlannedEngine[];
  readonly demand: RoleDemand;
  readonly requirements: readonly ClassRequirement[];
}

/** A change of the role of one engine. */
export interface RoleChange {
  readonly endpoint: string;
  readonly role: EngineRole;
}

/** Decision of a role policy, with the reason to log. */
export interface RoleDecision {
  readonly change?: RoleChange;
  readonly reason: string;
}

/**
 * Throughput of a mixed engine relative to an engine with one role. A mixed engine interrupts decoding
 * for prefill, which slows down both.
 */
export const MIXED_EFFICIENCY = 0.85;

/** Number of engines by role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

export function countRoles(engines: readonly PlannedEngine[]): RoleCounts {
  const counts = { [EngineRole.Prefill]: 0, [EngineRole.Decode]: 0, [EngineRole.Mixed]: 0 };
  for (const engine of engines) {
    counts[engine.role] += engine.isChanging ? 0 : 1;
  }
  return counts;
}

/**
 * Ratio of the engines' capacity to the demand; above 1 there is spare capacity. A call needs both
 * phases, so the phase with less capacity determines the ratio. Mixed engines add to that phase.
 */
export function capacityRatio({ prefill, decode }: RoleDemand, counts: RoleCounts): number {
  if (prefill + decode === 0) {
    return Infinity;
  }
  const mixedCapacity = counts.mixed * MIXED_EFFICIENCY;
  const pooledRatio = (counts.prefill + counts.decode + mixedCapacity) / (prefill + decode);
  if (pooledRatio * prefill < counts.prefill) {
    return decode === 0 ? Infinity : (counts.decode + mixedCapacity) / decode;
  }
  if (pooledRatio * decode < counts.decode) {
    return prefill === 0 ? Infinity : (counts.prefill + mixedCapacity) / prefill;
  }
  return pooledRatio;
}

/** Decides role changes. An override returns at most one change and does no I/O. */
export abstract class RolePolicy {
  abstract decide(observation: RoleObservation): RoleDecision;
}

/** Baseline policy that never changes a role. */
export class StaticRolePolicy extends RolePolicy {
  override decide(): RoleDecision {
    return { reason: 'roles are static' };
  }
}

/** Limits of a demand-driven role policy. */
export interface RoleLimits {
  /** Expected duration of a shift of the demand, in seconds. */
  readonly horizonSeconds: number;
  /** Time that an engine is out of service during a role change, in seconds. */
  readonly changeSeconds: number;
  /** Factor on the demand that leaves spare capacity. */
  readonly headroom: number;
  /** Additional fraction of the demand that better roles must serve to start a series of changes. */
  readonly minimumShortfall: number;
  /** Minimum net gain of a change, in engine-seconds over the horizon per second out of service. */
  readonly minimumGainPerSecondLost: number;
  /**
   * Time that the same kind of change must remain the best one before the first change of a series,
   * in milliseconds. Later changes of a series need no confirmation: engines change one at a time, so
   * confirming each of them would make a series twice as long.
   */
  readonly confirmationMilliseconds: number;
  /** Minimum time between two role changes of an engine, in milliseconds. */
  readonly dwellMilliseconds: number;
}

/** With these limits, noise of a few percent in the demand causes no role change. */
export const DEFAULT_ROLE_LIMITS: RoleLimits = {
  horizonSeconds: 300,
  changeSeconds: 20,
  headroom: 1.1,
  minimumShortfall: 0.04,
  minimumGainPerSecondLost: 2,
  confirmationMilliseconds: 15_000,
  dwellMilliseconds: 120_000,
};

interface EvaluatedChange {
  readonly change: RoleChange;
  readonly from: EngineRole;
  readonly gain: number;
  readonly loss: number;
}

function servesAnyModel(engine: PlannedEngine, requirement: ClassRequirement): boolean {
  return engine.models.some((model) => requirement.models.includes(model));
}

/** Returns whether the engines meet the requirements of every class of work. */
export function meetsRequirements(
  engines: readonly PlannedEngine[],
  requirements: readonly ClassRequirement[],
): boolean {
  return requirements.every((requirement) => {
    const available = engines.filter(
      (engine) => !engine.isChanging && servesAnyModel(engine, requirement),
    );
    const prefill = available.filter((engine) => engine.role !== EngineRole.Decode).length;
    const decode = available.filter((engine) => engine.role !== EngineRole.Prefill).length;
    return prefill >= requirement.prefillEngines && decode >= requirement.decodeEngines;
  });
}

/**
 * Changes one engine at a time to the role that serves more of the demand, if the gain over the
 * horizon exceeds the loss while the engine is out of service. The confirmation time and the minimum
 * time between changes of an engine provide hysteresis, so that noise does not cause oscillation. A
 * series of changes starts only when better roles would serve considerably more of the demand, and
 * continues until no further change is worthwhile.
 */
export class DemandRolePolicy extends RolePolicy {
  private readonly limits: RoleLimits;

  private readonly lastChangeMilliseconds = new Map<string, number>();

  private changesInSeries = 0;

  private pendingChange: { readonly key: string; readonly sinceMilliseconds: number } | undefined;

  constructor(limits: RoleLimits = DEFAULT_ROLE_LIMITS) {
    super();
    this.limits = limits;
  }

  override decide(observation: RoleObservation): RoleDecision {
    if (observation.engines.some((engine) => engine.isChanging)) {
      return { reason: 'an engine is carrying out an order or leaving' };
    }
    const bestChange = this.bestChange(observation);
    const isSeriesActive = this.changesInSeries > 0;
    if (
      bestChange === undefined ||
      (!isSeriesActive && this.shortfall(observation) < this.limits.minimumShortfall)
    ) {
      this.changesInSeries = 0;
      this.pendingChange = undefined;
      return { reason: 'no role change gains enough' };
    }
    const { nowMilliseconds } = observation;
    const key = `${bestChange.from}-${bestChange.change.role}`;
    if (this.pendingChange?.key !== key) {
      this.pendingChange = { key, sinceMilliseconds: nowMilliseconds };
      this.changesInSeries = 0;
    }
    if (
      nowMilliseconds - this.pendingChange.sinceMilliseconds <
      this.limits.confirmationMilliseconds
    ) {
      return { reason: `waiting to confirm ${key}` };
    }
    this.changesInSeries += 1;
    this.lastChangeMilliseconds.set(bestChange.change.endpoint, nowMilliseconds);
    const figures = `${bestChange.gain.toFixed(0)} engine-seconds gained, ${bestChange.loss.toFixed(0)} lost`;
    return { change: bestChange.change, reason: `${key}: ${figures}` };
  }

  /** Additional fraction of the demand that the same engines could serve with ideal roles. */
  private shortfall({ engines, demand }: RoleObservation): number {
    const { headroom } = this.limits;
    const plannedDemand = { prefill: demand.prefill * headroom, decode: demand.decode * headroom };
    const total = plannedDemand.prefill + plannedDemand.decode;
    const ideal = total === 0 ? 1 : Math.min(1, engines.length / total);
    return ideal - Math.min(1, capacityRatio(plannedDemand, countRoles(engines)));
  }

  private bestChange(observation: RoleObservation): EvaluatedChange | undefined {
    let bestChange: EvaluatedChange | undefined;
    for (const candidate of this.candidates(observation)) {
      const { gain, loss } = candidate;
      const minimumGain = this.limits.minimumGainPerSecondLost * this.limits.changeSeconds;
      const isWorthwhile = gain > loss && gain - loss > minimumGain;
      if (
        isWorthwhile &&
        (bestChange === undefined || gain - loss > bestChange.gain - bestChange.loss)
      ) {
        bestChange = candidate;
      }
    }
    return bestChange;
  }

  private *candidates(observation: RoleObservation): Generator<EvaluatedChange, void, void> {
    const { engines, requirements } = observation;
    const evaluated = new Set<string>();
    for (const engine of engines.filter((each) => this.hasDwelled(each, observation))) {
      for (const role of Object.values(EngineRole)) {
        // Engines with the same role and models are interchangeable, so one of them is evaluated.
        const key = `${engine.role} ${role} ${engine.models.join(' ')}`;
        if (role !== engine.role && !evaluated.has(key)) {
          evaluated.add(key);
          const others = engines.filter((each) => each !== engine);
          const after = [...others, { ...engine, role }];
          if (meetsRequirements(others, requirements) && meetsRequirements(after, requirements)) {
            yield this.evaluate(observation, engine, role, after);
          }
        }
      }
    }
  }

  private hasDwelled(engine: PlannedEngine, { nowMilliseconds }: RoleObservation): boolean {
    const changedAt = this.lastChangeMilliseconds.get(engine.identifier);
    return changedAt === undefined || nowMilliseconds - changedAt >= this.limits.dwellMilliseconds;
  }

  private evaluate(
    { engines, demand }: RoleObservation,
    engine: PlannedEngine,
    role: EngineRole,
    after: readonly PlannedEngine[],
  ): EvaluatedChange {
    const { headroom, horizonSeconds, changeSeconds } = this.limits;
    const plannedDemand = { prefill: demand.prefill * headroom, decode: demand.decode * headroom };
    const total = plannedDemand.prefill + plannedDemand.decode;
    const servedBy = (list: readonly PlannedEngine[]) =>
      Math.min(1, capacityRatio(plannedDemand, countRoles(list))) * total;
    const servedNow = servedBy(engines);
    const servedDuringChange = servedBy(engines.filter((each) => each !== engine));
    return {
      change: { endpoint: engine.identifier, role },
      from: engine.role,
      gain: (servedBy(after) - servedNow) * (horizonSeconds - changeSeconds),
      loss: (servedNow - servedDuringChange) * changeSeconds,
    };
  }
}
