import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { EndpointPhase } from './EndpointRecord.js';
import { FencedCallResult } from './FencedPlatform.js';
import { supplyLevels } from './SupplyLevels.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EngineDemands } from './EngineDemands.js';
import type { FencedPlatform, SupplyLevel } from './FencedPlatform.js';
import type { ForwardingService } from './ForwardingConfiguration.js';
import type { ZoneSupply } from './SupplyLevels.js';
import type { SupplyPlans } from './SupplyPlans.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

const PERIOD_MILLISECONDS = 500;

/** Time after which a level not reached is ordered again; longer than the start of an endpoint. */
const REORDER_DELAY_MILLISECONDS = 6000;

/** Time after which an order that was refused or got no response is repeated. */
const RETRY_DELAY_MILLISECONDS = 1500;

/** Time for which reclaimable endpoints count as scarce after a refused order. */
const SCARCITY_MILLISECONDS = 2500;

/** Collaborators of the task. */
export interface SupplyTaskParts {
  readonly view: ConfirmedView;
  readonly platform: FencedPlatform;
  readonly demands: EngineDemands;
  readonly plans: SupplyPlans;
  readonly log: ComponentLogger;
}

/** Orders endpoints under a term of the authority until each zone has its supply levels. */
export class SupplyTask extends Task {
  override readonly name = 'supply';

  private readonly term: AuthorityTerm;

  private readonly parts: SupplyTaskParts;

  /** Monotonic time from which each level may be ordered again. */
  private readonly nextOrderAtMilliseconds = new Map<string, number>();

  /** Monotonic time of the last refused order of reclaimable endpoints, by service and zone. */
  private readonly refusedAtMilliseconds = new Map<string, number>();

  constructor(term: AuthorityTerm, parts: SupplyTaskParts) {
    super();
    this.term = term;
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      this.parts.demands.observe(clock.monotonicMilliseconds());
      await this.accessStore(() => this.parts.plans.load(clock.wallMilliseconds()));
      for (const level of this.unmetLevels(clock.monotonicMilliseconds())) {
        yield;
        await this.order(level, clock.monotonicMilliseconds());
      }
      yield;
      await this.accessStore(() => this.parts.plans.save(clock.wallMilliseconds()));
      await clock.sleep(PERIOD_MILLISECONDS, signal);
    }
  }

  /** Reads or writes the plans in the store. */
  private async accessStore(access: () => Promise<void>): Promise<void> {
    try {
      await access();
    } catch (error) {
      this.parts.log.warn('Could not access the plans in the store; will retry.', {
        reason: describeFailure(failureOf(error)),
      });
    }
  }

  /** Levels that differ from the number of registered endpoints. */
  private *unmetLevels(now: number): Generator<SupplyLevel, void, void> {
    const { view, plans } = this.parts;
    if (!plans.isLoaded) {
      // The maximum would be ordered although there may be a plan.
      return;
    }
    for (const service of view.configuration?.services.values() ?? []) {
      // A zone whose endpoints have all been reclaimed is known from its price.
      const zones = new Set([
        ...(service.supply?.zonePrices.keys() ?? []),
        ...view.endpoints
          .filter((endpoint) => endpoint.service === service.name)
          .map(({ zone }) => zone),
      ]);
      const planned = this.planFor(service, zones.size, now);
      for (const zone of [...zones].sort()) {
        const supply = { ...this.supplyOf(service, zone, zones.size, now), ...planned(zone) };
        for (const level of supplyLevels(service, supply)) {
          if (level.count !== (level.isReclaimable ? supply.reclaimable : supply.onDemand)) {
            yield level;
          }
        }
      }
    }
  }

  /** Returns the plan of each zone of a service. */
  private planFor(
    service: ForwardingService,
    zoneCount: number,
    now: number,
  ): (zone: string) => Pick<ZoneSupply, 'planned' | 'uncovered'> {
    if (service.supply === undefined) {
      return () => ({});
    }
    const required = this.parts.demands.required(service, now);
    const { supply: plan } = this.parts.plans.planOf(service.name);
    const previous = plan.planned;
    const planned = plan.update(required, service.supply, zoneCount);
    if (planned === undefined) {
      return () => ({});
    }
    if (planned !== previous && required !== undefined) {
      this.parts.log.info('Planned the endpoints for the observed work.', {
        service: service.name,
        endpointsPerZone: planned,
        requiredPrefill: Math.ceil(required.prefill),
        requiredDecode: Math.ceil(required.decode),
      });
    }
    const needed =
      required === undefined
        ? planned * Math.max(1, zoneCount - 1)
        : Math.ceil(required.prefill + required.decode);
    const ready = this.parts.view.endpoints.filter(
      (endpoint) => endpoint.service === service.name && endpoint.phase !== EndpointPhase.Leaving,
    );
    return (zone) => ({
      planned,
      uncovered: Math.max(0, needed - ready.filter((endpoint) => endpoint.zone !== zone).length),
    });
  }

  private supplyOf(
    { name }: ForwardingService,
    zone: string,
    zoneCount: number,
    now: number,
  ): ZoneSupply {
    const endpoints = this.parts.view.endpoints.filter(
      (endpoint) => endpoint.service === name && endpoint.zone === zone,
    );
    const ready = endpoints.filter(({ phase }) => phase !== EndpointPhase.Leaving);
    const reclaimable = ready.filter(({ isReclaimable }) => isReclaimable).length;
    const isReclaiming = endpoints.some(
      ({ phase, isReclaimable }) => isReclaimable && phase === EndpointPhase.Leaving,
    );
    const lastRefusedAtMilliseconds =
      this.refusedAtMilliseconds.get(`${name}/${zone}`) ?? Number.NEGATIVE_INFINITY;
    return {
      zone,
      onDemand: ready.length - reclaimable,
      reclaimable,
      isScarce: isReclaiming || now - lastRefusedAtMilliseconds < SCARCITY_MILLISECONDS,
      zoneCount,
    };
  }

  private async order(level: SupplyLevel, now: number): Promise<void> {
    const { platform, log } = this.parts;
    const key = `${level.service}/${level.zone}/${String(level.isReclaimable)}/${level.count}`;
    if (now < (this.nextOrderAtMilliseconds.get(key) ?? 0) || !this.term.isHeld) {
      return;
    }
    const result = await platform.orderSupply(this.term, level);
    const delay =
      result === FencedCallResult.Accepted ? REORDER_DELAY_MILLISECONDS : RETRY_DELAY_MILLISECONDS;
    this.nextOrderAtMilliseconds.set(key, now + delay);
    if (level.isReclaimable && result === FencedCallResult.Refused) {
      this.refusedAtMilliseconds.set(`${level.service}/${level.zone}`, now);
    }
    log.info('Ordered endpoints.', {
      ...level,
      result,
      fencingNumber: this.term.fencingNumber,
    });
  }
}
