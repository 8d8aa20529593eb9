import { EngineRole } from 'hickoryrelay-endpoint/Engine';

/** Work of both kinds, counted in engines that it would keep fully occupied. */
export interface RoleDemand {
  readonly prefill: number;
  readonly decode: number;
}

/** One engine as the plan sees it. */
export interface PlannedEngine {
  readonly identifier: string;
  readonly role: EngineRole;
  readonly models: readonly string[];
  /** True if the engine takes no work now, because an order is carried out or it leaves. */
  readonly isChanging: boolean;
}

/** The engines that a class of work needs at least for each kind of work. */
export interface ClassNeed {
  readonly className: string;
  readonly models: readonly string[];
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

/** What a role policy decides from. */
export interface RoleObservation {
  readonly nowMilliseconds: number;
  readonly engines: readonly PlannedEngine[];
  readonly demand: RoleDemand;
  readonly needs: readonly ClassNeed[];
}

/** One engine's change of role. */
export interface RoleChange {
  readonly endpoint: string;
  readonly role: EngineRole;
}

/** What a role policy decided, with the reason for the log. */
export interface RoleDecision {
  readonly change?: RoleChange;
  readonly reason: string;
}

/**
 * A mixed engine interrupts decoding to prefill, so both kinds of work get less of it than of an
 * engine that does one kind. Chosen, not measured.
 */
export const MIXED_EFFICIENCY = 0.85;

/** Numbers of engines by role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

export function countRoles(engines: readonly PlannedEngine[]): RoleCounts {
  const counts = { [EngineRole.Prefill]: 0, [EngineRole.Decode]: 0, [EngineRole.Mixed]: 0 };
  for (const engine of engines) {
    counts[engine.role] += engine.isChanging ? 0 : 1;
  }
  return counts;
}

/**
 * The share of the demand that the engines can meet, without a cap at 1. A call needs both kinds of
 * work, so the kind that is shorter decides; mixed engines fill up whichever that is.
 */
export function shareMet({ prefill, decode }: RoleDemand, counts: RoleCounts): number {
  if (prefill + decode === 0) {
    return Infinity;
  }
  const mixed = counts.mixed * MIXED_EFFICIENCY;
  const together = (counts.prefill + counts.decode + mixed) / (prefill + decode);
  if (together * prefill < counts.prefill) {
    return decode === 0 ? Infinity : (counts.decode + mixed) / decode;
  }
  if (together * decode < counts.decode) {
    return prefill === 0 ? Infinity : (counts.prefill + mixed) / prefill;
  }
  return together;
}

/** Decides role changes. An override returns at most one change and does no I/O. */
export abstract class RolePolicy {
  abstract decide(observation: RoleObservation): RoleDecision;
}

/** The baseline: roles stay as they are. */
export class StaticRoles extends RolePolicy {
  override decide(): RoleDecision {
    return { reason: 'roles are static' };
  }
}

/** Limits of the role plan. */
export interface RoleLimits {
  /** How long a shift is expected to last, in seconds. */
  readonly horizonSeconds: number;
  /** Time that a role change takes an engine out of service, in seconds. */
  readonly changeSeconds: number;
  /** Spare capacity to plan for, as a factor on the demand. */
  readonly headroom: number;
  /** Share of the demand that better roles must be able to add before a series of changes begins. */
  readonly leastShortfall: number;
  /** Least gain of a change, in engine-seconds over the horizon and for each second lost. */
  readonly leastGainPerSecondLost: number;
  /**
   * How long the same kind of change must be wanted before the first of a series, in milliseconds.
   * Engines change one at a time, so confirming each of them would make a series twice as long.
   */
  readonly confirmMilliseconds: number;
  /** How long an engine keeps a role, in milliseconds. */
  readonly dwellMilliseconds: number;
}

/** Chosen so that noise of a few percent in the demand causes no change; see MEASUREMENTS.md. */
export const DEFAULT_ROLE_LIMITS: RoleLimits = {
  horizonSeconds: 300,
  changeSeconds: 20,
  headroom: 1.1,
  leastShortfall: 0.04,
  leastGainPerSecondLost: 2,
  confirmMilliseconds: 15_000,
  dwellMilliseconds: 120_000,
};

interface RatedChange {
  readonly change: RoleChange;
  readonly from: EngineRole;
  readonly gain: number;
  readonly loss: number;
}

function serves(engine: PlannedEngine, need: ClassNeed): boolean {
  return engine.models.some((model) => need.models.includes(model));
}

/** Tells whether every class keeps the engines that it needs. */
export function meetsNeeds(
  engines: readonly PlannedEngine[],
  needs: readonly ClassNeed[],
): boolean {
  return needs.every((need) => {
    const able = engines.filter((engine) => !engine.isChanging && serves(engine, need));
    const prefill = able.filter((engine) => engine.role !== EngineRole.Decode).length;
    const decode = able.filter((engine) => engine.role !== EngineRole.Prefill).length;
    return prefill >= need.prefillEngines && decode >= need.decodeEngines;
  });
}

/**
 * Changes one engine at a time to the role that meets more of the demand of both kinds, if the gain
 * over the horizon exceeds what is lost while the engine changes. A change must be wanted for a
 * while and an engine keeps its role for a while, so that noise does not move engines to and fro. A
 * series begins only when better roles would meet clearly more of the demand, and then goes on until
 * no change is worth it.
 */
export class DemandRoles extends RolePolicy {
  private readonly limits: RoleLimits;

  private readonly changedMilliseconds = new Map<string, number>();

  private changesInSeries = 0;

  private wanted: { readonly key: string; readonly sinceMilliseconds: number } | undefined;

  constructor(limits: RoleLimits = DEFAULT_ROLE_LIMITS) {
    super();
    this.limits = limits;
  }

  override decide(observation: RoleObservation): RoleDecision {
    if (observation.engines.some((engine) => engine.isChanging)) {
      return { reason: 'an engine is changing' };
    }
    const best = this.best(observation);
    const isSeries = this.changesInSeries > 0;
    if (
      best === undefined ||
      (!isSeries && this.shortfall(observation) < this.limits.leastShortfall)
    ) {
      this.changesInSeries = 0;
      this.wanted = undefined;
      return { reason: 'no change gains enough' };
    }
    const { nowMilliseconds } = observation;
    const key = `${best.from}-${best.change.role}`;
    if (this.wanted?.key !== key) {
      this.wanted = { key, sinceMilliseconds: nowMilliseconds };
      this.changesInSeries = 0;
    }
    if (nowMilliseconds - this.wanted.sinceMilliseconds < this.limits.confirmMilliseconds) {
      return { reason: `waiting to confirm ${key}` };
    }
    this.changesInSeries += 1;
    this.changedMilliseconds.set(best.change.endpoint, nowMilliseconds);
    const figures = `${best.gain.toFixed(0)} engine-seconds gained, ${best.loss.toFixed(0)} lost`;
    return { change: best.change, reason: `${key}: ${figures}` };
  }

  /** Share of the demand that the same engines could meet beyond the present, in the best roles. */
  private shortfall({ engines, demand }: RoleObservation): number {
    const { headroom } = this.limits;
    const planned = { prefill: demand.prefill * headroom, decode: demand.decode * headroom };
    const total = planned.prefill + planned.decode;
    const ideal = total === 0 ? 1 : Math.min(1, engines.length / total);
    return ideal - Math.min(1, shareMet(planned, countRoles(engines)));
  }

  private best(observation: RoleObservation): RatedChange | undefined {
    let best: RatedChange | undefined;
    for (const rated of this.candidates(observation)) {
      const { gain, loss } = rated;
      const least = this.limits.leastGainPerSecondLost * this.limits.changeSeconds;
      const isWorth = gain > loss && gain - loss > least;
      if (isWorth && (best === undefined || gain - loss > best.gain - best.loss)) {
        best = rated;
      }
    }
    return best;
  }

  private *candidates(observation: RoleObservation): Generator<RatedChange, void, void> {
    const { engines, needs } = observation;
    const rated = new Set<string>();
    for (const engine of engines.filter((each) => this.mayChange(each, observation))) {
      for (const role of Object.values(EngineRole)) {
        // Engines of one role and the same models are alike, so one of them is enough.
        const key = `${engine.role} ${role} ${engine.models.join(' ')}`;
        if (role !== engine.role && !rated.has(key)) {
          rated.add(key);
          const others = engines.filter((each) => each !== engine);
          const after = [...others, { ...engine, role }];
          if (meetsNeeds(others, needs) && meetsNeeds(after, needs)) {
            yield this.rate(observation, engine, role, after);
          }
        }
      }
    }
  }

  private mayChange(engine: PlannedEngine, { nowMilliseconds }: RoleObservation): boolean {
    const changed = this.changedMilliseconds.get(engine.identifier);
    return changed === undefined || nowMilliseconds - changed >= this.limits.dwellMilliseconds;
  }

  private rate(
    { engines, demand }: RoleObservation,
    engine: PlannedEngine,
    role: EngineRole,
    after: readonly PlannedEngine[],
  ): RatedChange {
    const { headroom, horizonSeconds, changeSeconds } = this.limits;
    const planned = { prefill: demand.prefill * headroom, decode: demand.decode * headroom };
    const total = planned.prefill + planned.decode;
    const met = (list: readonly PlannedEngine[]) =>
      Math.min(1, shareMet(planned, countRoles(list))) * total;
    const now = met(engines);
    const meanwhile = met(engines.filter((each) => each !== engine));
    return {
      change: { endpoint: engine.identifier, role },
      from: engine.role,
      gain: (met(after) - now) * (horizonSeconds - changeSeconds),
      loss: (now - meanwhile) * changeSeconds,
    };
  }
}
