import { createHash } from 'node:crypto';

import type { QuotaLimit } from 'hickoryrelay-quota/QuotaLimit';
import type { RouteTable } from 'hickoryrelay-stream/RouteHistory';

/** Whether a request may be sent to an endpoint again after it may have run. */
export const RetrySemantics = {
  /** The request may run any number of times. */
  Idempotent: 'idempotent',
  /** The request may run once at most. */
  AtMostOnce: 'at-most-once',
  /** A stream that another endpoint may resume after the last delivered event. */
  Resumable: 'resumable',
} as const;

export type RetrySemantics = (typeof RetrySemantics)[keyof typeof RetrySemantics];

/** A service of a route, with its share of the route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A declared route: the requests that it matches, their targets and their limits. */
export interface ForwardingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. The longest prefix of a path wins. */
  readonly prefix: string;
  readonly retrySemantics: RetrySemantics;
  readonly isStreaming: boolean;
  /** Longest time until a request is answered. */
  readonly timeoutMilliseconds: number;
  /** Time within which a response, or the first event of a stream, is on time. */
  readonly latencyTargetMilliseconds: number;
  /** Longest gap between two events of a stream that is on time. */
  readonly eventGapTargetMilliseconds: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Limit on the endpoints to which one request may be sent. */
  readonly maximumAttempts: number;
  /** True if requests need no access key. */
  readonly allowsAnonymous: boolean;
}

/** Capacity of each engine of a service. */
export interface EngineCapacity {
  /** Maximum batch size. */
  readonly slots: number;
  /** Tokens that fit in the KV cache. */
  readonly cacheCapacityTokens: number;
}

/** Bounds on the number of endpoints of a service that may be ordered, for each zone. */
export interface SupplyBounds {
  readonly minimum: number;
  readonly maximum: number;
  /** Price of a reclaimable endpoint relative to one that is not reclaimable. */
  readonly reclaimablePrice: number;
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** A declared service. */
export interface ForwardingService {
  readonly name: string;
  /** Connections that one endpoint accepts in total. */
  readonly maximumConnections: number;
  /** Present if the endpoints are engines. */
  readonly engine?: EngineCapacity;
  readonly supply?: SupplyBounds;
}

/** The quota of an account and the unit in which it counts. */
export interface QuotaTerms {
  readonly limit: QuotaLimit;
  /** True if the limit counts tokens, false if it counts requests. */
  readonly countsTokens: boolean;
  /** Cost of a request that states no tokens, if tokens are counted. */
  readonly plainTokens: number;
}

/** The holder of an access key. */
export interface AccountGrant {
  readonly account: string;
  /** Takes precedence over the route's priority. */
  readonly priority?: number;
  /** Absent if the account has no limit. */
  readonly quota?: QuotaTerms;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** The decoded content of a configuration. */
export interface ForwardingDeclarations {
  readonly version: number;
  readonly routes: readonly ForwardingRoute[];
  readonly services: readonly ForwardingService[];
  readonly limits: CallerLimits;
  /** Grants by access key. Absent if no accounts are declared; then no request needs a key. */
  readonly grants?: ReadonlyMap<string, AccountGrant>;
}

/** The services of a route that have a share of its requests. Without any, the last one takes all. */
export function servicesOf({ services }: ForwardingRoute): readonly string[] {
  const shared = services.filter(({ weight }) => weight > 0);
  return [
    ...new Set((shared.length > 0 ? shared : services.slice(-1)).map(({ service }) => service)),
  ];
}

/** An immutable configuration with look-ups by route and by access key. */
export class ForwardingConfiguration implements RouteTable {
  readonly version: number;

  readonly limits: CallerLimits;

  readonly services: ReadonlyMap<string, ForwardingService>;

  readonly accounts: readonly string[];

  /** Limits of the accounts that have a quota. */
  readonly quotas: ReadonlyMap<string, QuotaLimit>;

  private readonly routesByHost = new Map<string, ForwardingRoute[]>();

  readonly servicesFingerprint: string;

  private readonly grants: ReadonlyMap<string, AccountGrant> | undefined;

  constructor(declarations: ForwardingDeclarations) {
    this.version = declarations.version;
    this.limits = declarations.limits;
    this.grants = declarations.grants;
    this.services = new Map(declarations.services.map((service) => [service.name, service]));
    this.accounts = [...new Set([...(this.grants?.values() ?? [])].map((grant) => grant.account))];
    this.quotas = new Map(
      [...(this.grants?.values() ?? [])].flatMap(({ account, quota }) =>
        quota === undefined ? [] : [[account, quota.limit]],
      ),
    );
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
    this.servicesFingerprint = JSON.stringify(
      declarations.routes
        .map((route) => [route.host, route.prefix, ...servicesOf(route).toSorted()].join('\n'))
        .toSorted(),
    );
  }

  /** Finds the route with the longest matching prefix. The path has no query. */
  findRoute(host: string, path: string): ForwardingRoute | undefined {
    return this.routesByHost.get(host)?.find((route) => path.startsWith(route.prefix));
  }

  servicesFor(host: string, path: string): readonly string[] {
    const route = this.findRoute(host, path);
    return route === undefined ? [] : servicesOf(route);
  }

  /** True if requests need an access key, except on routes that allow anonymous requests. */
  get requiresKeys(): boolean {
    return this.grants !== undefined;
  }

  findGrant(key: string): AccountGrant | undefined {
    return this.grants?.get(key);
  }
}

/** Returns a short one-way hash that identifies an access key in logs. */
export function accessKeyFingerprint(key: string): string {
  return createHash('sha256').update(key).digest('hex').slice(0, 8);
}
