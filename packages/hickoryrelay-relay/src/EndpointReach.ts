import { ConnectionObserver } from './ConnectionObserver.js';
import { ReachState, ServiceReach } from './ServiceReach.js';

import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';

export { ReachState } from './ServiceReach.js';

const DESCRIPTIONS: Readonly<Record<ReachState, string>> = {
  [ReachState.Reachable]: 'All requests for a service are sent to its endpoints again.',
  [ReachState.Unreachable]: 'The endpoints of a service cannot be reached.',
  [ReachState.Returning]: 'Requests for a service are sent to its endpoints again, in steps.',
};

/** Describes the state that a service has changed to, for a log line. */
export function describeReach(state: ReachState): string {
  return DESCRIPTIONS[state];
}

/** A change of whether the endpoints of a service can be reached. */
export interface ReachChange {
  readonly service: string;
  readonly state: ReachState;
  readonly previousState: ReachState;
  /** Endpoints that take requests. */
  readonly endpoints: number;
  /** Endpoints that failed since the last connection that opened. */
  readonly failedEndpoints: number;
}

/** Collaborators of the reach. */
export interface EndpointReachParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly onChange?: (change: ReachChange) => void;
}

/** An endpoint to which a connection is to be tried. */
export interface DueProbe {
  readonly service: string;
  readonly endpoint: string;
}

/** Whether this instance can open connections to the endpoints of each service. */
export class EndpointReach extends ConnectionObserver {
  private readonly parts: EndpointReachParts;

  private readonly services = new Map<string, ServiceReach>();

  /** The states that have been reported, apart from `Reachable`. */
  private readonly reportedStates = new Map<string, ReachState>();

  constructor(parts: EndpointReachParts) {
    super();
    this.parts = parts;
  }

  /** Replaces the endpoints that take requests, by service. */
  setEndpoints(endpoints: ReadonlyMap<string, ReadonlySet<string>>): void {
    const { now } = this;
    for (const [service, reach] of this.services) {
      if (!endpoints.has(service)) {
        reach.setEndpoints(new Set(), now);
        this.reportChange(service, reach);
        this.services.delete(service);
      }
    }
    for (const [service, identifiers] of endpoints) {
      const reach = this.services.get(service) ?? new ServiceReach(this.parts.random);
      this.services.set(service, reach);
      reach.setEndpoints(identifiers, now);
      this.reportChange(service, reach);
    }
  }

  override recordOpened(service: string, endpoint: string): void {
    const reach = this.services.get(service);
    if (reach !== undefined) {
      reach.recordOpened(endpoint, this.now);
      this.reportChange(service, reach);
    }
  }

  override recordFailed(service: string, endpoint: string): void {
    const reach = this.services.get(service);
    if (reach !== undefined) {
      reach.recordFailed(endpoint, this.now);
      this.reportChange(service, reach);
    }
  }

  override recordResponse(service: string, endpoint: string): void {
    const reach = this.services.get(service);
    if (reach !== undefined) {
      reach.recordResponse(endpoint, this.now);
      this.reportChange(service, reach);
    }
  }

  /** Decides for one request whether it is passed on without an attempt. */
  shouldRelay(service: string): boolean {
    const share = this.services.get(service)?.directShare(this.now) ?? 1;
    return share < 1 && this.parts.random.fraction() >= share;
  }

  /** A service without endpoints is reachable, since there is no connection to open. */
  stateOf(service: string): ReachState {
    return this.services.get(service)?.stateAt(this.now) ?? ReachState.Reachable;
  }

  /** The shares of requests that are sent directly, by service. */
  *directShares(): Generator<readonly [service: string, share: number], void, void> {
    const { now } = this;
    for (const [service, reach] of this.services) {
      yield [service, reach.directShare(now)];
    }
  }

  /** Endpoints to which a connection is to be tried now. */
  *dueProbes(): Generator<DueProbe, void, void> {
    const { now } = this;
    for (const [service, reach] of this.services) {
      this.reportChange(service, reach);
      for (const endpoint of reach.dueProbes(now)) {
        yield { service, endpoint };
      }
    }
  }

  private get now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }

  private reportChange(service: string, reach: ServiceReach): void {
    const state = reach.stateAt(this.now);
    const previousState = this.reportedStates.get(service) ?? ReachState.Reachable;
    if (state === previousState) {
      return;
    }
    if (state === ReachState.Reachable) {
      this.reportedStates.delete(service);
    } else {
      this.reportedStates.set(service, state);
    }
    const { size: endpoints, failedEndpoints } = reach;
    this.parts.onChange?.({ service, state, previousState, endpoints, failedEndpoints });
  }
}
