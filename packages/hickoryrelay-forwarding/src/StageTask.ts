import { Task } from 'hickoryrelay/Task';

import { FencedCallResult } from './FencedPlatform.js';
import { nextStageChange } from './StagePlan.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EngineStage } from './EndpointRecord.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EngineDemands } from './EngineDemands.js';
import type { FencedPlatform } from './FencedPlatform.js';
import type { ForwardingService } from './ForwardingConfiguration.js';
import type { SupplyPlans } from './SupplyPlans.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

const PERIOD_MILLISECONDS = 700;

/**
 * Time after which an ordered stage change is no longer expected. Longer than a stage change and
 * the registration of the new stage take.
 */
const STAGE_CHANGE_TIMEOUT_MILLISECONDS = 8000;

/** Collaborators of the task. */
export interface StageTaskParts {
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly platform: FencedPlatform;
  readonly demands: EngineDemands;
  readonly plans: SupplyPlans;
  readonly log: ComponentLogger;
}

/**
 * Orders stage changes of engines to follow the stage plan, one at a time, under a term of the
 * authority.
 */
export class StageTask extends Task {
  override readonly name = 'stages';

  private readonly term: AuthorityTerm;

  private readonly parts: StageTaskParts;

  /** Ordered stage changes that may not be registered yet, by identifier of the engine. */
  private readonly pendingChanges = new Map<
    string,
    { stage: EngineStage; expiresAtMilliseconds: number }
  >();

  constructor(term: AuthorityTerm, parts: StageTaskParts) {
    super();
    this.term = term;
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      yield;
      await clock.sleep(PERIOD_MILLISECONDS, signal);
      this.removeExpiredChanges(clock.monotonicMilliseconds());
      for (const service of this.parts.view.configuration?.services.values() ?? []) {
        yield;
        if (service.engine !== undefined) {
          await this.orderNextChange(service, clock.monotonicMilliseconds());
        }
      }
    }
  }

  private removeExpiredChanges(now: number): void {
    for (const [identifier, { expiresAtMilliseconds }] of this.pendingChanges) {
      if (now > expiresAtMilliseconds) {
        this.pendingChanges.delete(identifier);
      }
    }
  }

  private prefillShareOf(service: ForwardingService, now: number): number {
    const { stages: share } = this.parts.plans.planOf(service.name);
    const previous = share.current;
    const current = share.update(this.parts.demands.required(service, now));
    if (current !== previous) {
      this.parts.log.info('The target share of prefill engines has changed.', {
        service: service.name,
        prefillShare: Number(current.toFixed(2)),
      });
    }
    return current;
  }

  private async orderNextChange(service: ForwardingService, now: number): Promise<void> {
    const { view, registry, platform, log } = this.parts;
    const engines = view.endpoints.filter((endpoint) => endpoint.service === service.name);
    const pendingStages = new Map([...this.pendingChanges].map(([key, { stage }]) => [key, stage]));
    const change = nextStageChange(engines, pendingStages, this.prefillShareOf(service, now));
    if (change === undefined || !this.term.isHeld) {
      return;
    }
    const { engine, stage } = change;
    if (!registry.tryTakeRequest(engine, now)) {
      return;
    }
    this.pendingChanges.set(engine.identifier, {
      stage,
      expiresAtMilliseconds: now + STAGE_CHANGE_TIMEOUT_MILLISECONDS,
    });
    const result = await platform.orderStage(this.term, engine, stage);
    if (result === FencedCallResult.Refused) {
      this.pendingChanges.delete(engine.identifier);
    }
    log.info('Ordered a stage change of an engine.', {
      engine: engine.identifier,
      zone: engine.zone,
      stage,
      result,
      fencingNumber: this.term.fencingNumber,
    });
  }
}
