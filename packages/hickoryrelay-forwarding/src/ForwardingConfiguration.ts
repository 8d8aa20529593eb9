import { createHash } from 'node:crypto';

/** Whether an endpoint may be asked to run the same request again. */
export const RetrySemantics = {
  /** The request may run any number of times. */
  Idempotent: 'idempotent',
  /** The request may run once at most. */
  AtMostOnce: 'at-most-once',
  /** A stream that another endpoint may continue after the last delivered event. */
  Resumable: 'resumable',
} as const;

export type RetrySemantics = (typeof RetrySemantics)[keyof typeof RetrySemantics];

/** A service that a route may use, with its share of the route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A declared route: which requests it takes and what they are owed. */
export interface ForwardingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. The longest prefix of a path wins. */
  readonly prefix: string;
  readonly retrySemantics: RetrySemantics;
  readonly isStreaming: boolean;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer (of a stream: its first event) is on time, in milliseconds. */
  readonly latencyTargetMilliseconds: number;
  /** Longest pause between two events of an answer that is on time, in milliseconds. */
  readonly eventGapTargetMilliseconds: number;
  /** Rank, 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Most endpoints to which one request may be sent. */
  readonly maximumAttempts: number;
  /** True if requests need no access key. */
  readonly allowsAnonymous: boolean;
}

/** Limits and costs of the engines of a service. */
export interface EngineCapacity {
  /** Requests in one batch. */
  readonly slots: number;
  /** Memory of one engine, in tokens. */
  readonly cacheCapacityTokens: number;
}

/** How many endpoints of a service may be ordered, for each zone. */
export interface SupplyBounds {
  readonly minimum: number;
  readonly maximum: number;
  /** Price of a reclaimable endpoint as a share of that of a lasting one. */
  readonly reclaimablePrice: number;
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** A declared service. */
export interface ForwardingService {
  readonly name: string;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maximumConnections: number;
  /** Present if the endpoints are engines. */
  readonly engine?: EngineCapacity;
  readonly supply?: SupplyBounds;
}

/** The holder of an access key. */
export interface AccountGrant {
  readonly account: string;
  /** Takes precedence over the route's priority. */
  readonly priority?: number;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** What a configuration holds. */
export interface ForwardingDeclarations {
  readonly version: number;
  readonly routes: readonly ForwardingRoute[];
  readonly services: readonly ForwardingService[];
  readonly limits: CallerLimits;
  /** Absent if the configuration declares no accounts: then no request needs a key. */
  readonly grants?: ReadonlyMap<string, AccountGrant>;
}

/** An immutable configuration with the look-ups that requests need. */
export class ForwardingConfiguration {
  readonly version: number;

  readonly limits: CallerLimits;

  readonly services: ReadonlyMap<string, ForwardingService>;

  readonly accounts: readonly string[];

  private readonly routesByHost = new Map<string, ForwardingRoute[]>();

  private readonly grants: ReadonlyMap<string, AccountGrant> | undefined;

  constructor(declarations: ForwardingDeclarations) {
    this.version = declarations.version;
    this.limits = declarations.limits;
    this.grants = declarations.grants;
    this.services = new Map(declarations.services.map((service) => [service.name, service]));
    this.accounts = [...new Set([...(this.grants?.values() ?? [])].map((grant) => grant.account))];
    for (const route of declarations.routes) {
      const known = this.routesByHost.get(route.host);
      if (known === undefined) {
        this.routesByHost.set(route.host, [route]);
      } else {
        known.push(route);
      }
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /** Finds the route with the longest prefix of the path, without its query. */
  findRoute(host: string, path: string): ForwardingRoute | undefined {
    return this.routesByHost.get(host)?.find((route) => path.startsWith(route.prefix));
  }

  /** True if requests on routes that are not open need an access key. */
  get requiresKeys(): boolean {
    return this.grants !== undefined;
  }

  findGrant(key: string): AccountGrant | undefined {
    return this.grants?.get(key);
  }
}

/** A short name of an access key for logs, from which the key cannot be found. */
export function accessKeyFingerprint(key: string): string {
  return createHash('sha256').update(key).digest('hex').slice(0, 8);
}
