import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EndpointLink } from './EndpointLink.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { InstanceRateLimitShares } from './InstanceRateLimitShares.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { ViewSource } from './ViewSource.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';

const MINIMUM_RETRY_DELAY_MILLISECONDS = 250;

/** Longest delay by which instances notice late that the store responds again. */
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 1000;

/**
 * Limit on the reads that all instances repeat in an outage of the store. Refused calls are billed as
 * well, and the store's rate limits do not grow with the number of instances.
 */
const MAXIMUM_RETRIES_PER_SECOND = 60;

const MILLISECONDS_PER_SECOND = 1000;

/** Time after which one of a number of instances repeats a failed read. */
export function retryDelayOf(instances: number): number {
  const sharedMilliseconds = (instances / MAXIMUM_RETRIES_PER_SECOND) * MILLISECONDS_PER_SECOND;
  return Math.min(
    MAXIMUM_RETRY_DELAY_MILLISECONDS,
    Math.max(MINIMUM_RETRY_DELAY_MILLISECONDS, sharedMilliseconds),
  );
}

/** Collaborators and settings of the task. */
export interface ViewRefreshTaskParts {
  readonly source: ViewSource;
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly link: EndpointLink;
  readonly budgets: RetryBudgets;
  readonly shares: InstanceRateLimitShares;
  /** Time between two reads, in milliseconds. */
  readonly periodMilliseconds: number;
  readonly log: ComponentLogger;
}

/** Periodically reads configuration, endpoints and instances, and applies them to the view. */
export class ViewRefreshTask extends Task {
  override readonly name = 'view';

  private readonly parts: ViewRefreshTaskParts;

  private failedReadings = 0;

  constructor(parts: ViewRefreshTaskParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      const periodMilliseconds = await this.refresh();
      yield;
      await clock.sleep(periodMilliseconds, signal);
    }
  }

  /** Reads once. Returns the time until the next read, in milliseconds. */
  private async refresh(): Promise<number> {
    const { source, view, registry, link, budgets, shares } = this.parts;
    const { log, periodMilliseconds } = this.parts;
    const requestedAtMilliseconds = view.now();
    try {
      const { snapshot, revision, ageMilliseconds, periodFraction } = await source.read();
      const difference = view.apply(
        snapshot,
        requestedAtMilliseconds - ageMilliseconds,
        revision.era,
      );
      const restarted = registry.replace(view.endpoints);
      link.retain(view.endpoints);
      budgets.setInstanceCount(view.peers.length);
      shares.setInstances(
        view.peers.map(({ instance }) => instance),
        view.ageMilliseconds,
      );
      if (this.failedReadings > 0) {
        log.info('Reads of the store succeed again.', { failedReadings: this.failedReadings });
        this.failedReadings = 0;
      }
      if (difference.configurationVersion !== undefined) {
        log.info('Applied a configuration.', { version: difference.configurationVersion });
      }
      for (const { identifier, service, zone, stage, phase } of difference.added) {
        log.info('Added an endpoint.', { endpoint: identifier, service, zone, stage, phase });
      }
      for (const { identifier, service, zone, stage, phase } of difference.changed) {
        log.info('Endpoint phase or stage changed.', {
          endpoint: identifier,
          service,
          zone,
          stage,
          phase,
        });
      }
      for (const { identifier, service, startedMilliseconds: started } of restarted) {
        log.info('An endpoint that took no requests has restarted.', {
          endpoint: identifier,
          started,
          service,
        });
      }
      for (const { identifier, service, zone } of difference.removed) {
        log.info('Removed an endpoint.', { endpoint: identifier, service, zone });
      }
      return periodMilliseconds * periodFraction;
    } catch (error) {
      view.recordFailedRead();
      this.failedReadings += 1;
      if (this.failedReadings === 1) {
        log.warn('Could not read the store; keeping the current view.', {
          reason: describeFailure(failureOf(error)),
          viewAgeMilliseconds: Math.round(view.ageMilliseconds),
        });
      }
      // A single failure is more often that of one call than an outage.
      return this.failedReadings === 1
        ? MINIMUM_RETRY_DELAY_MILLISECONDS
        : retryDelayOf(view.peers.length);
    }
  }
}
