import { ConfigurationCheck } from './ConfigurationCheck.js';
import { duplicatesOf } from './DuplicateNames.js';
import { CheckedEntry, FindingKind } from './Finding.js';

import type { CheckedForwarding, CheckedRoute } from './CheckedForwarding.js';
import type { Finding } from './Finding.js';

/** Lowest priority that an endpoint takes. Higher numbers are sent as this one. */
export const LOWEST_PRIORITY = 9;

/** True for a priority that is passed on as it is declared. */
export function isPriority(priority: number): boolean {
  return Number.isInteger(priority) && priority >= 0 && priority <= LOWEST_PRIORITY;
}

/** Finds routes that no request matches. Of two routes with the same host and prefix, the first wins. */
export class UnreachableRouteCheck extends ConfigurationCheck<CheckedForwarding> {
  override *find({ routes, accounts }: CheckedForwarding): Generator<Finding, void, void> {
    const winners = new Map<string, string>();
    for (const { name, host, prefix, allowsAnonymous } of routes) {
      const entry = new CheckedEntry('route', name);
      const matched = `${host} ${prefix}`;
      const winner = winners.get(matched);
      if (winner !== undefined) {
        const message = `route ${winner} has the same host and prefix and always wins`;
        yield entry.error(FindingKind.Unreachable, message);
      }
      winners.set(matched, winner ?? name);
      if (prefix === '') {
        yield entry.warning(FindingKind.Invalid, 'the prefix is empty and matches each path');
      } else if (!prefix.startsWith('/')) {
        yield entry.error(FindingKind.Unreachable, 'the prefix does not begin with a slash');
      } else if (!prefix.endsWith('/')) {
        const message = `the prefix does not end with a slash, so it also matches ${prefix}x`;
        yield entry.warning(FindingKind.Invalid, message);
      }
      if (!/^[^\s:/]+$/u.test(host)) {
        const message =
          'the host is empty, or has a port, a slash or a space, and is never matched';
        yield entry.error(FindingKind.Unreachable, message);
      }
      if (accounts?.length === 0 && !allowsAnonymous) {
        const message = 'the route needs a key, and no account is declared';
        yield entry.warning(FindingKind.Unreachable, message);
      }
    }
    for (const name of duplicatesOf(routes.map((route) => route.name))) {
      const message = 'the name is declared more than once';
      yield new CheckedEntry('route', name).error(FindingKind.Invalid, message);
    }
  }
}

/** Finds routes without a usable service. */
export class RouteServiceCheck extends ConfigurationCheck<CheckedForwarding> {
  override *find({ routes, services }: CheckedForwarding): Generator<Finding, void, void> {
    const declared = new Set(services.map(({ name }) => name));
    for (const route of routes) {
      const entry = new CheckedEntry('route', route.name);
      for (const { service, weight } of route.services) {
        if (service === '') {
          yield entry.error(FindingKind.Unreachable, 'the route names no service');
        } else if (!declared.has(service)) {
          yield entry.error(FindingKind.Unreachable, `service ${service} is not declared`);
        }
        if (weight < 0) {
          const message = `the weight of service ${service} is negative`;
          yield entry.error(FindingKind.Invalid, message);
        } else if (weight === 0) {
          const message = `service ${service} has weight 0 and gets no request`;
          yield entry.warning(FindingKind.Unused, message);
        }
      }
      if (route.services.every(({ weight }) => weight <= 0)) {
        yield entry.error(FindingKind.Unreachable, 'no service has a weight above 0');
      }
      if (route.ignoresService) {
        const message = 'shares of services are declared, so the one service has no effect';
        yield entry.warning(FindingKind.Unused, message);
      }
    }
  }
}

/** Finds limits of routes that contradict each other or have no effect. */
export class RouteLimitCheck extends ConfigurationCheck<CheckedForwarding> {
  override *find({ routes }: CheckedForwarding): Generator<Finding, void, void> {
    for (const route of routes) {
      yield* RouteLimitCheck.findInvalid(route);
      yield* RouteLimitCheck.findContradictions(route);
    }
  }

  private static *findInvalid(route: CheckedRoute): Generator<Finding, void, void> {
    const entry = new CheckedEntry('route', route.name);
    const { timeoutMilliseconds: timeout, latencyTargetMilliseconds: target } = route;
    if (!route.hasKnownKind) {
      const message = 'the kind is unknown, and the route is treated as not idempotent';
      yield entry.error(FindingKind.Invalid, message);
    }
    if (timeout <= 0) {
      yield entry.error(FindingKind.Invalid, `the timeout of ${timeout} ms is not above 0`);
    }
    if (target <= 0) {
      yield entry.error(FindingKind.Invalid, `the latency target of ${target} ms is not above 0`);
    }
    if (route.eventGapTargetMilliseconds < 0) {
      yield entry.error(FindingKind.Invalid, 'the target for gaps between events is negative');
    }
    if (!Number.isInteger(route.maximumAttempts) || route.maximumAttempts < 1) {
      const message = `a maximum of ${route.maximumAttempts} attempts is not a number from 1`;
      yield entry.error(FindingKind.Invalid, message);
    }
    if (!isPriority(route.priority)) {
      const message = `priority ${route.priority} is not a whole number from 0 to ${LOWEST_PRIORITY}`;
      yield entry.warning(FindingKind.Invalid, message);
    }
  }

  private static *findContradictions(route: CheckedRoute): Generator<Finding, void, void> {
    const entry = new CheckedEntry('route', route.name);
    const { timeoutMilliseconds: timeout, latencyTargetMilliseconds: target } = route;
    const gapTarget = route.eventGapTargetMilliseconds;
    if (timeout < target) {
      const message = `the timeout of ${timeout} ms is below the latency target of ${target} ms`;
      yield entry.warning(FindingKind.Contradiction, message);
    }
    if (gapTarget > timeout) {
      const message = `the target of ${gapTarget} ms for gaps is above the timeout of ${timeout} ms`;
      yield entry.warning(FindingKind.Contradiction, message);
    }
    if (gapTarget > 0 && !route.isStreaming) {
      const message =
        'the target for gaps between events has no effect, as the route has no streams';
      yield entry.warning(FindingKind.Unused, message);
    }
    if (route.isMarkedResumable && !route.isStreaming) {
      const message = 'the mark as resumable has no effect, as the route has no streams';
      yield entry.warning(FindingKind.Unused, message);
    }
  }
}
