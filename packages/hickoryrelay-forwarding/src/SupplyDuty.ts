import { Task } from 'hickoryrelay/Task';

import { DutyResult } from './DutyPlatform.js';
import { EndpointPhase } from './EndpointRecord.js';
import { supplyLevels } from './SupplyLevels.js';

import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import type { ConfirmedView } from './ConfirmedView.js';
import type { DutyPlatform, SupplyLevel } from './DutyPlatform.js';

const PERIOD_MILLISECONDS = 500;

/** A level that is not reached is ordered again after this time, longer than an endpoint's start. */
const REPEAT_MILLISECONDS = 6000;

/** A level that was refused or not answered is ordered again after this time. */
const RETRY_MILLISECONDS = 2000;

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

  constructor(term: AuthorityTerm, parts: SupplyDutyParts) {
    super();
    this.term = term;
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      for (const level of this.missingLevels()) {
        yield;
        await this.order(level, clock.monotonicMilliseconds());
      }
      yield;
      await clock.sleep(PERIOD_MILLISECONDS, signal);
    }
  }

  /** Levels that differ from what is registered. Lasting endpoints go only once others are there. */
  private *missingLevels(): Generator<SupplyLevel, void, void> {
    const { view } = this.parts;
    for (const service of view.configuration?.services.values() ?? []) {
      const zones = [
        ...new Set(
          view.endpoints
            .filter((endpoint) => endpoint.service === service.name)
            .map(({ zone }) => zone),
        ),
      ].sort();
      for (const level of supplyLevels(service, zones)) {
        if (this.countOf(level) !== level.count) {
          yield level;
        }
      }
    }
  }

  private countOf({ service, zone, isReclaimable }: SupplyLevel): number {
    return this.parts.view.endpoints.filter(
      (endpoint) =>
        endpoint.service === service &&
        endpoint.zone === zone &&
        endpoint.isReclaimable === isReclaimable &&
        endpoint.phase === EndpointPhase.Ready,
    ).length;
  }

  private async order(level: SupplyLevel, now: number): Promise<void> {
    const { platform, log } = this.parts;
    const key = `${level.service}/${level.zone}/${String(level.isReclaimable)}`;
    if (now < (this.nextOrder.get(key) ?? 0) || !this.term.isHeld) {
      return;
    }
    const present = this.countOf(level);
    const result = await platform.orderSupply(this.term, level);
    const wait = result === DutyResult.Accepted ? REPEAT_MILLISECONDS : RETRY_MILLISECONDS;
    this.nextOrder.set(key, now + wait);
    log.info('Endpoints were ordered.', {
      ...level,
      present,
      result,
      fencingNumber: this.term.fencingNumber,
    });
  }
}
