import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Whether this instance can open connections to the endpoints of a service. */
export const ReachState = {
  Reachable: 'reachable',
  Unreachable: 'unreachable',
  /** Connections open again; the share of requests that are sent directly rises in steps. */
  Returning: 'returning',
} as const;

export type ReachState = (typeof ReachState)[keyof typeof ReachState];

/** Endpoints at which connections must fail before a reachable service counts as unreachable. */
const UNREACHABLE_FAILURES = 3;

/** The same while connections open again. One engine may be full and reset connections. */
const RELAPSE_FAILURES = 2;

/**
 * Time for which a response shows that requests reach an endpoint. Engines that are full reset new connections and
 * go on to answer on those that are open.
 */
export const RESPONSE_EVIDENCE_MILLISECONDS = 1000;

export const PROBE_PERIOD_MILLISECONDS = 500;

export const PROBES_PER_PERIOD = 2;

/** Share of requests that are sent directly when connections have just opened again. */
const FIRST_DIRECT_SHARE = 0.1;

/** Time after which the share of requests that are sent directly doubles. */
export const DIRECT_SHARE_PERIOD_MILLISECONDS = 500;

/**
 * Judges whether the endpoints of one service can be reached: from the outcome of new connections, and from responses,
 * which show that open connections still carry requests.
 */
export class ServiceReach {
  private readonly random: RandomSource;

  private endpoints: ReadonlySet<string> = new Set();

  /** Endpoints that failed since the last connection that opened; the latest failure comes last. */
  private readonly failed = new Set<string>();

  private state: ReachState = ReachState.Reachable;

  private returningSinceMilliseconds = 0;

  private respondedMilliseconds = Number.NEGATIVE_INFINITY;

  private probesDueMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(random: RandomSource) {
    this.random = random;
  }

  /** Endpoints that take requests. */
  get size(): number {
    return this.endpoints.size;
  }

  /** Endpoints that failed since the last connection that opened. */
  get failedEndpoints(): number {
    return this.failed.size;
  }

  /** Replaces the endpoints. What endpoints that have left showed does not count any more. */
  setEndpoints(endpoints: ReadonlySet<string>, now: number): void {
    this.endpoints = endpoints;
    for (const endpoint of this.failed) {
      if (!endpoints.has(endpoint)) {
        this.failed.delete(endpoint);
      }
    }
    if (endpoints.size === 0) {
      this.state = ReachState.Reachable;
    } else if (this.state === ReachState.Unreachable && !this.hasFailedAt(RELAPSE_FAILURES)) {
      this.beginReturn(now);
    }
  }

  recordOpened(endpoint: string, now: number): void {
    if (!this.endpoints.has(endpoint)) {
      return;
    }
    this.failed.clear();
    if (this.state === ReachState.Unreachable) {
      this.beginReturn(now);
    }
  }

  recordFailed(endpoint: string, now: number): void {
    if (!this.endpoints.has(endpoint)) {
      return;
    }
    this.failed.delete(endpoint);
    this.failed.add(endpoint);
    const isReturning = this.stateAt(now) === ReachState.Returning;
    const hasResponded = now - this.respondedMilliseconds < RESPONSE_EVIDENCE_MILLISECONDS;
    if (!hasResponded && this.hasFailedAt(isReturning ? RELAPSE_FAILURES : UNREACHABLE_FAILURES)) {
      this.state = ReachState.Unreachable;
    }
  }

  /** Records a response, which does not show that new connections open. */
  recordResponse(endpoint: string, now: number): void {
    if (this.endpoints.has(endpoint)) {
      this.respondedMilliseconds = now;
      if (this.state === ReachState.Unreachable) {
        this.beginReturn(now);
      }
    }
  }

  stateAt(now: number): ReachState {
    if (this.state === ReachState.Returning && this.returningShare(now) >= 1) {
      this.state = ReachState.Reachable;
    }
    return this.state;
  }

  /** Share of the requests that are sent directly, from 0 to 1. */
  directShare(now: number): number {
    const state = this.stateAt(now);
    if (state === ReachState.Returning) {
      return this.returningShare(now);
    }
    return state === ReachState.Reachable ? 1 : 0;
  }

  /**
   * Endpoints to which a connection is to be tried now. They are tried from the first failure until a
   * connection opens, so that the failure of one endpoint is soon told from that of all.
   */
  *dueProbes(now: number): Generator<string, void, void> {
    if (this.failed.size === 0 || now < this.probesDueMilliseconds) {
      return;
    }
    this.probesDueMilliseconds = now + PROBE_PERIOD_MILLISECONDS;
    const untried = [...this.endpoints].filter((endpoint) => !this.failed.has(endpoint));
    const failed = [...this.failed];
    for (let probe = 0; probe < PROBES_PER_PERIOD; probe += 1) {
      const [endpoint] =
        untried.length > 0
          ? untried.splice(this.random.integerBelow(untried.length), 1)
          : failed.splice(0, 1);
      if (endpoint === undefined) {
        return;
      }
      yield endpoint;
    }
  }

  private hasFailedAt(endpoints: number): boolean {
    return this.failed.size >= Math.min(endpoints, this.endpoints.size);
  }

  private beginReturn(now: number): void {
    this.state = ReachState.Returning;
    this.returningSinceMilliseconds = now;
  }

  private returningShare(now: number): number {
    const periods = Math.floor(
      (now - this.returningSinceMilliseconds) / DIRECT_SHARE_PERIOD_MILLISECONDS,
    );
    return FIRST_DIRECT_SHARE * 2 ** periods;
  }
}
