import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { FIRST_RETRY_DELAY_MILLISECONDS } from './DeploymentBounds.js';
import { EndpointPhase } from './EndpointRecord.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EndpointLink } from './EndpointLink.js';
import type { EndpointRecord } from './EndpointRecord.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { InstanceRateLimitShares } from './InstanceRateLimitShares.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { ViewSource } from './ViewSource.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { EndpointReach } from 'hickoryrelay-relay/EndpointReach';
import type { RelayTargets } from 'hickoryrelay-relay/RelayTargets';
import type { SoftwareVersion } from 'hickoryrelay-stream/SoftwareVersion';
import type { StreamOrigins } from 'hickoryrelay-stream/StreamOrigins';
import type { ViewReadStatistics } from 'hickoryrelay-view/ViewReadStatistics';

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
  readonly origins: StreamOrigins;
  readonly reach: EndpointReach;
  readonly targets: RelayTargets;
  /** Time between two reads, in milliseconds. */
  readonly periodMilliseconds: number;
  readonly statistics: ViewReadStatistics;
  readonly log: ComponentLogger;
}

/** The software versions of the endpoints of each service, including those that are leaving. */
function softwareVersionsOf(
  endpoints: readonly EndpointRecord[],
): ReadonlyMap<string, ReadonlySet<SoftwareVersion>> {
  const versions = new Map<string, Set<SoftwareVersion>>();
  for (const { service, softwareVersion } of endpoints) {
    const known = versions.get(service) ?? new Set();
    versions.set(service, known.add(softwareVersion));
  }
  return versions;
}

/** The endpoints of each service to which requests may be sent. */
function identifiersByService(
  endpoints: readonly EndpointRecord[],
): ReadonlyMap<string, ReadonlySet<string>> {
  const identifiers = new Map<string, Set<string>>();
  for (const { service, identifier, phase } of endpoints) {
    if (phase !== EndpointPhase.Leaving) {
      const known = identifiers.get(service) ?? new Set();
      identifiers.set(service, known.add(identifier));
    }
  }
  return identifiers;
}

/** Periodically reads configuration, endpoints and instances, and applies them to the view. */
export class ViewRefreshTask extends Task {
  override readonly name = 'view';

  private readonly parts: ViewRefreshTaskParts;

  private failedReadings = 0;

  /** True if the next read must not be answered by another instance. */
  private isRequested = false;

  private wake: () => void = () => {};

  /** Time by which the timer of the current read was late. */
  private delayMilliseconds = 0;

  constructor(parts: ViewRefreshTaskParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      const periodMilliseconds = await this.refresh();
      yield;
      const dueMilliseconds = clock.monotonicMilliseconds() + periodMilliseconds;
      await this.waitForNext(clock, periodMilliseconds, signal);
      this.delayMilliseconds = Math.max(0, clock.monotonicMilliseconds() - dueMilliseconds);
    }
  }

  /** Reads the store at once, since another instance has a newer configuration. */
  requestRefresh(): void {
    this.isRequested = true;
    this.wake();
  }

  private async waitForNext(
    clock: Clock,
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    const early = new AbortController();
    this.wake = () => early.abort();
    try {
      if (!this.isRequested) {
        await clock.sleep(milliseconds, AbortSignal.any([signal, early.signal]));
      }
    } catch (error) {
      if (!early.signal.aborted || signal.aborted) {
        throw error;
      }
    }
  }

  /** Reads once. Returns the time until the next read, in milliseconds. */
  private async refresh(): Promise<number> {
    const { source, view, registry, link, budgets, shares, origins } = this.parts;
    const { reach, targets, log, periodMilliseconds, statistics } = this.parts;
    const { delayMilliseconds } = this;
    const requestedAtMilliseconds = view.now();
    try {
      const mustBeFresh = this.isRequested;
      this.isRequested = false;
      const { snapshot, revision, ageMilliseconds, periodFraction } =
        await source.read(mustBeFresh);
      const previousViewAgeMilliseconds = view.ageMilliseconds;
      const difference = view.apply(
        snapshot,
        requestedAtMilliseconds - ageMilliseconds,
        revision.era,
      );
      const readMilliseconds = view.now() - requestedAtMilliseconds;
      statistics.recordRead({ milliseconds: readMilliseconds, delayMilliseconds });
      const restarted = registry.replace(view.endpoints);
      origins.observe(softwareVersionsOf(view.endpoints), view.ageMilliseconds);
      if (view.configuration !== undefined) {
        origins.observeRoutes(view.configuration, view.configurationAgeMilliseconds);
      }
      link.retain(view.endpoints, view.peers);
      reach.setEndpoints(identifiersByService(view.endpoints));
      targets.setReceivers(view.peers);
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
        log.info('Applied a configuration.', {
          version: difference.configurationVersion,
          readMilliseconds: Math.round(readMilliseconds),
          delayMilliseconds: Math.round(delayMilliseconds),
          previousViewAgeMilliseconds: Math.round(previousViewAgeMilliseconds),
        });
      }
      for (const { identifier, service, zone, stage, phase, softwareVersion } of difference.added) {
        log.info('Added an endpoint.', {
          endpoint: identifier,
          service,
          zone,
          stage,
          phase,
          softwareVersion,
        });
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
      statistics.recordFailure({ delayMilliseconds });
      if (this.failedReadings === 1) {
        log.warn('Could not read the store; keeping the current view.', {
          reason: describeFailure(failureOf(error)),
          delayMilliseconds: Math.round(delayMilliseconds),
          viewAgeMilliseconds: Math.round(view.ageMilliseconds),
        });
      } else {
        log.info('Could not read the store again.', {
          reason: describeFailure(failureOf(error)),
          failedReadings: this.failedReadings,
          viewAgeMilliseconds: Math.round(view.ageMilliseconds),
        });
      }
      return this.failedReadings === 1
        ? FIRST_RETRY_DELAY_MILLISECONDS
        : retryDelayOf(view.peers.length);
    }
  }
}
