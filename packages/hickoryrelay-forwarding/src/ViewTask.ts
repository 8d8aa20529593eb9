import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EndpointLink } from './EndpointLink.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { ViewSource } from './ViewSource.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';

/** Time to the next reading after one that failed, in milliseconds. */
const RETRY_PERIOD_MILLISECONDS = 250;

/** What the view task works with. */
export interface ViewTaskParts {
  readonly source: ViewSource;
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly link: EndpointLink;
  readonly budgets: RetryBudgets;
  /** Time between two readings, in milliseconds. */
  readonly periodMilliseconds: number;
  readonly log: PartLogger;
}

/** Reads configuration and endpoints again and again, and applies what changed. */
export class ViewTask extends Task {
  override readonly name = 'view';

  private readonly parts: ViewTaskParts;

  private failedReadings = 0;

  constructor(parts: ViewTaskParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      const periodMilliseconds = await this.readOnce();
      yield;
      await clock.sleep(periodMilliseconds, signal);
    }
  }

  /** Reads once. Returns the time until the next reading, in milliseconds. */
  private async readOnce(): Promise<number> {
    const { source, view, registry, link, budgets, log, periodMilliseconds } = this.parts;
    const asked = view.now();
    try {
      const { reading, ageMilliseconds, periodPart } = await source.read();
      const change = view.apply(reading, asked - ageMilliseconds);
      registry.replace(view.endpoints);
      link.retain(view.endpoints);
      budgets.setInstanceCount(view.peers.length);
      if (this.failedReadings > 0) {
        log.info('The store answers again.', { failedReadings: this.failedReadings });
        this.failedReadings = 0;
      }
      if (change.configurationVersion !== undefined) {
        log.info('A configuration is in force.', { version: change.configurationVersion });
      }
      for (const { identifier, service, zone, stage, phase } of change.arrived) {
        log.info('An endpoint arrived.', { endpoint: identifier, service, zone, stage, phase });
      }
      for (const { identifier, service, zone, stage, phase } of change.changed) {
        log.info('An endpoint changed.', { endpoint: identifier, service, zone, stage, phase });
      }
      for (const { identifier, service, zone } of change.departed) {
        log.info('An endpoint departed.', { endpoint: identifier, service, zone });
      }
      return periodMilliseconds * periodPart;
    } catch (error) {
      view.missReading();
      this.failedReadings += 1;
      if (this.failedReadings === 1) {
        log.warn('The store does not answer; the view ages.', {
          reason: describeFailure(failureOf(error)),
          viewAgeMilliseconds: Math.round(view.ageMilliseconds),
        });
      }
      return RETRY_PERIOD_MILLISECONDS;
    }
  }
}
