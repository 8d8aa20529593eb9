import { Task } from 'hickoryrelay/Task';

import { DutyResult } from './DutyPlatform.js';
import { EndpointPhase } from './EndpointRecord.js';
import { supplyLevels } from './SupplyLevels.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { DutyPlatform, SupplyLevel } from './DutyPlatform.js';
import type { ForwardingService } from './ForwardingConfiguration.js';
import type { ZoneSupply } from './SupplyLevels.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

const PERIOD_MILLISECONDS = 500;

/** A level that is not reached is ordered again after this time, longer than an endpoint's start. */
const REPEAT_MILLISECONDS = 6000;

/** A level that was refused or not answered is ordered again after this time. */
const RETRY_MILLISECONDS = 1500;

/** Reclaimable endpoints that were refused count as scarce for this time. */
const SCARCE_MILLISECONDS = 2500;

/** What the duty works with. */
export interface SupplyDutyParts {
  readonly view: ConfirmedView;
  readonly platform: DutyPlatform;
  readonly log: PartLogger;
}

/** Orders endpoints under a term of the authority until each zone has what it should have. */
export class SupplyDuty extends Task {
  override readonly name = 'supply';

  private readonly term: AuthorityTerm;

  private readonly parts: SupplyDutyParts;

  /** When each level may be ordered again, on the steady clock. */
  private readonly nextOrder = new Map<string, number>();

  /** When reclaimable endpoints of a service were last refused in a zone, on the steady clock. */
  private readonly refusals = new Map<string, number>();

  constructor(term: AuthorityTerm, parts: SupplyDutyParts) {
    super();
    this.term = term;
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      for (const level of this.missingLevels(clock.monotonicMilliseconds())) {
        yield;
        await this.order(level, clock.monotonicMilliseconds());
      }
      yield;
      await clock.sleep(PERIOD_MILLISECONDS, signal);
    }
  }

  /** Levels that differ from what is registered. */
  private *missingLevels(now: number): Generator<SupplyLevel, void, void> {
    const { view } = this.parts;
    for (const service of view.configuration?.services.values() ?? []) {
      const zones = new Set(
        view.endpoints
          .filter((endpoint) => endpoint.service === service.name)
          .map(({ zone }) => zone),
      );
      for (const zone of [...zones].sort()) {
        const supply = this.supplyOf(service, zone, now);
        for (const level of supplyLevels(service, supply)) {
          if (level.count !== (level.isReclaimable ? supply.reclaimable : supply.lasting)) {
            yield level;
          }
        }
      }
    }
  }

  private supplyOf({ name }: ForwardingService, zone: string, now: number): ZoneSupply {
    const endpoints = this.parts.view.endpoints.filter(
      (endpoint) => endpoint.service === name && endpoint.zone === zone,
    );
    const ready = endpoints.filter(({ phase }) => phase !== EndpointPhase.Leaving);
    const reclaimable = ready.filter(({ isReclaimable }) => isReclaimable).length;
    const areTaken = endpoints.some(
      ({ phase, isReclaimable }) => isReclaimable && phase === EndpointPhase.Leaving,
    );
    const refusedAt = this.refusals.get(`${name}/${zone}`) ?? Number.NEGATIVE_INFINITY;
    return {
      zone,
      lasting: ready.length - reclaimable,
      reclaimable,
      isScarce: areTaken || now - refusedAt < SCARCE_MILLISECONDS,
    };
  }

  private async order(level: SupplyLevel, now: number): Promise<void> {
    const { platform, log } = this.parts;
    const key = `${level.service}/${level.zone}/${String(level.isReclaimable)}/${level.count}`;
    if (now < (this.nextOrder.get(key) ?? 0) || !this.term.isHeld) {
      return;
    }
    const result = await platform.orderSupply(this.term, level);
    const wait = result === DutyResult.Accepted ? REPEAT_MILLISECONDS : RETRY_MILLISECONDS;
    this.nextOrder.set(key, now + wait);
    if (level.isReclaimable && result === DutyResult.Refused) {
      this.refusals.set(`${level.service}/${level.zone}`, now);
    }
    log.info('Endpoints were ordered.', {
      ...level,
      result,
      fencingNumber: this.term.fencingNumber,
    });
  }
}
