import { Task } from 'hickoryrelay/Task';

import { DutyResult } from './DutyPlatform.js';
import { nextStageChange } from './StagePlan.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { DutyPlatform } from './DutyPlatform.js';
import type { EngineStage } from './EndpointRecord.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

const PERIOD_MILLISECONDS = 700;

/** Time in which an engine counts as changing, longer than a change and its registration take. */
const CHANGE_MILLISECONDS = 8000;

/** What the duty works with. */
export interface StageDutyParts {
  readonly view: ConfirmedView;
  readonly platform: DutyPlatform;
  readonly log: PartLogger;
}

/** Keeps the stages of the engines to the plan, one order at a time, under a term. */
export class StageDuty extends Task {
  override readonly name = 'stages';

  private readonly term: AuthorityTerm;

  private readonly parts: StageDutyParts;

  private readonly changing = new Map<string, { stage: EngineStage; until: number }>();

  constructor(term: AuthorityTerm, parts: StageDutyParts) {
    super();
    this.term = term;
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      yield;
      await clock.sleep(PERIOD_MILLISECONDS, signal);
      this.forgetDone(clock.monotonicMilliseconds());
      for (const service of this.parts.view.configuration?.services.values() ?? []) {
        yield;
        if (service.engine !== undefined) {
          await this.changeOne(service.name, clock.monotonicMilliseconds());
        }
      }
    }
  }

  private forgetDone(now: number): void {
    for (const [identifier, { until }] of this.changing) {
      if (now > until) {
        this.changing.delete(identifier);
      }
    }
  }

  private async changeOne(service: string, now: number): Promise<void> {
    const { view, platform, log } = this.parts;
    const engines = view.endpoints.filter((endpoint) => endpoint.service === service);
    const changing = new Map([...this.changing].map(([key, { stage }]) => [key, stage]));
    const change = nextStageChange(engines, changing);
    if (change === undefined || !this.term.isHeld) {
      return;
    }
    const { engine, stage } = change;
    this.changing.set(engine.identifier, { stage, until: now + CHANGE_MILLISECONDS });
    const result = await platform.orderStage(this.term, engine, stage);
    if (result === DutyResult.Refused) {
      this.changing.delete(engine.identifier);
    }
    log.info('An engine was ordered to another stage.', {
      engine: engine.identifier,
      zone: engine.zone,
      stage,
      result,
      fencingNumber: this.term.fencingNumber,
    });
  }
}
