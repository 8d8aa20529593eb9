import { Task } from 'hickoryrelay/Task';

import type { EndpointRegistry } from './EndpointRegistry.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';

const PERIOD_MILLISECONDS = 10_000;

/** A speed is logged again when it has changed by this factor. */
const LOGGED_FACTOR = 1.25;

/** Keeps a line short when many speeds change at once, as after a start. */
const MAXIMUM_LOGGED_ENDPOINTS = 8;

function hasChanged(speed: number, logged: number): boolean {
  return speed >= logged * LOGGED_FACTOR || speed * LOGGED_FACTOR <= logged;
}

/** Logs the learned speeds of endpoints when they change, in one line for each period. */
export class WorkloadLogTask extends Task {
  override readonly name = 'workload log';

  private readonly registry: EndpointRegistry;

  private readonly log: ComponentLogger;

  /** Speeds that have been logged, by endpoint hash. An endpoint counts as of speed 1 before. */
  private logged = new Map<number, number>();

  constructor(registry: EndpointRegistry, log: ComponentLogger) {
    super();
    this.registry = registry;
    this.log = log;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      yield;
      await clock.sleep(PERIOD_MILLISECONDS, signal);
      this.logChanges();
    }
  }

  private logChanges(): void {
    const { registry } = this;
    const speeds = [...registry.workload.learnedSpeeds()].filter(
      ({ endpoint }) => registry.findByHash(endpoint) !== undefined,
    );
    const changed = speeds.filter(({ endpoint, relative }) =>
      hasChanged(relative, this.logged.get(endpoint) ?? 1),
    );
    const changedEndpoints = new Set(changed.map(({ endpoint }) => endpoint));
    this.logged = new Map(
      speeds.map(({ endpoint, relative }) => [
        endpoint,
        changedEndpoints.has(endpoint) ? relative : (this.logged.get(endpoint) ?? 1),
      ]),
    );
    if (changed.length > 0) {
      const { learnedEndpoints, defaultEndpoints, spread } = registry.workload.summarize();
      this.log.info('The learned speeds of endpoints have changed.', {
        changed: changed.length,
        endpoints: changed
          .slice(0, MAXIMUM_LOGGED_ENDPOINTS)
          .map(({ endpoint, relative }) => {
            const { identifier } = registry.findByHash(endpoint)?.record ?? {};
            return `${identifier}=${relative.toFixed(2)}`;
          })
          .join(','),
        learned: learnedEndpoints,
        default: defaultEndpoints,
        spread: Number(spread.toFixed(2)),
      });
    }
  }
}
