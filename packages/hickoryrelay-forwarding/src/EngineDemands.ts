import { EngineDemand } from 'hickoryrelay-supply/EngineDemand';

import { EngineStage } from './EndpointRecord.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { ForwardingService } from './ForwardingConfiguration.js';
import type { PromptCacheDirectory } from './PromptCacheDirectory.js';
import type { EngineWork, RequiredEngines } from 'hickoryrelay-supply/EngineDemand';

/** Time since its last use in which a shared segment counts as in use. */
const SEGMENT_USE_MILLISECONDS = 10_000;

/** Collaborators of the demands. */
export interface EngineDemandsParts {
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly directory: PromptCacheDirectory;
}

/**
 * Observes the work at the engines of each service, from the load that instances report to each other,
 * and estimates the engines that it needs. One for each term of the authority, so that a new holder
 * decides nothing on an old observation.
 */
export class EngineDemands {
  private readonly parts: EngineDemandsParts;

  private readonly demands = new Map<string, EngineDemand>();

  constructor(parts: EngineDemandsParts) {
    this.parts = parts;
  }

  /** Records the current work of all services with engines. */
  observe(now: number): void {
    for (const { name, engine } of this.parts.view.configuration?.services.values() ?? []) {
      if (engine !== undefined) {
        const demand = this.demands.get(name) ?? new EngineDemand();
        this.demands.set(name, demand);
        demand.observe(this.workOf(name, now), now);
      }
    }
  }

  /** The engines that a service needs; undefined while its work is not known. */
  required({ name, engine }: ForwardingService, now: number): RequiredEngines | undefined {
    return engine === undefined ? undefined : this.demands.get(name)?.required(engine, now);
  }

  private workOf(service: string, now: number): EngineWork {
    const states = this.parts.registry.readyEndpoints(service);
    const prefillEngines = states.filter(({ record }) => record.stage === EngineStage.Prefill);
    const decodeEngines = states.filter(({ record }) => record.stage !== EngineStage.Prefill);
    return {
      busyPrefillEngines: prefillEngines.filter((state) => state.queuedPrefillTokens(true) > 0)
        .length,
      runningRequests: decodeEngines.reduce((sum, { totalRunning }) => sum + totalRunning, 0),
      sharedTokens: this.parts.directory.tokensUsedSince(
        now - SEGMENT_USE_MILLISECONDS,
        new Set(states.map(({ hash }) => hash)),
      ),
    };
  }
}
