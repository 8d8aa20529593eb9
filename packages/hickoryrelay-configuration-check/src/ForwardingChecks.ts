import { accessKeyFingerprint } from 'hickoryrelay-forwarding/ForwardingConfiguration';

import { ConfigurationCheck } from './ConfigurationCheck.js';
import { duplicatesOf } from './DuplicateNames.js';
import { CheckedEntry, FindingKind } from './Finding.js';
import {
  isPriority,
  LOWEST_PRIORITY,
  RouteLimitCheck,
  RouteServiceCheck,
  UnreachableRouteCheck,
} from './RouteChecks.js';

import type { CheckedForwarding } from './CheckedForwarding.js';
import type { Finding } from './Finding.js';
import type { ForwardingService } from 'hickoryrelay-forwarding/ForwardingConfiguration';

/** Finds services that no route uses, and limits of services that contradict each other. */
export class ServiceCheck extends ConfigurationCheck<CheckedForwarding> {
  override *find({ services, routes }: CheckedForwarding): Generator<Finding, void, void> {
    const used = new Set(routes.flatMap((route) => route.services.map(({ service }) => service)));
    for (const service of services) {
      if (!used.has(service.name)) {
        const entry = new CheckedEntry('service', service.name);
        yield entry.warning(FindingKind.Unused, 'no route refers to the service');
      }
      yield* ServiceCheck.findInEngine(service);
      yield* ServiceCheck.findInSupply(service, used.has(service.name));
    }
    for (const name of duplicatesOf(services.map((service) => service.name))) {
      const message = 'the name is declared more than once';
      yield new CheckedEntry('service', name).error(FindingKind.Invalid, message);
    }
  }

  private static *findInEngine(service: ForwardingService): Generator<Finding, void, void> {
    const { name, engine, maximumConnections } = service;
    const entry = new CheckedEntry('service', name);
    if (maximumConnections < 1) {
      const message = `a maximum of ${maximumConnections} connections allows no request`;
      yield entry.error(FindingKind.Invalid, message);
    }
    if (engine === undefined) {
      return;
    }
    if (engine.slots < 1) {
      yield entry.error(FindingKind.Invalid, `engines with ${engine.slots} slots run no request`);
    }
    if (engine.cacheCapacityTokens < 1) {
      const message = `engines with a cache for ${engine.cacheCapacityTokens} tokens run no request`;
      yield entry.error(FindingKind.Invalid, message);
    }
    if (engine.slots > maximumConnections) {
      const message = `${engine.slots} slots are more than the maximum of ${maximumConnections} connections`;
      yield entry.warning(FindingKind.Contradiction, message);
    }
  }

  private static *findInSupply(
    { name, supply }: ForwardingService,
    isUsed: boolean,
  ): Generator<Finding, void, void> {
    if (supply === undefined) {
      return;
    }
    const entry = new CheckedEntry('service', name);
    const { minimum, maximum, reclaimablePrice, zonePrices } = supply;
    if (minimum < 0 || maximum < 0) {
      yield entry.error(FindingKind.Invalid, 'a bound of the scaling is negative');
    }
    if (minimum > maximum) {
      const message = `the minimum of ${minimum} endpoints is above the maximum of ${maximum}`;
      yield entry.error(FindingKind.Contradiction, message);
    }
    if (maximum === 0 && isUsed) {
      const message = 'a route uses the service, and no endpoint of it may be ordered';
      yield entry.warning(FindingKind.Contradiction, message);
    }
    if (reclaimablePrice < 0) {
      yield entry.error(FindingKind.Invalid, 'the price of a reclaimable endpoint is negative');
    }
    for (const [zone, price] of zonePrices) {
      if (price < 0) {
        yield entry.error(FindingKind.Invalid, `the price in zone ${zone} is negative`);
      }
    }
  }
}

/** Finds accounts without keys, and keys that do not name one account. */
export class ForwardingAccountCheck extends ConfigurationCheck<CheckedForwarding> {
  override *find({ accounts = [] }: CheckedForwarding): Generator<Finding, void, void> {
    const holders = new Map<string, string>();
    for (const { name, keys, priority } of accounts) {
      const entry = new CheckedEntry('account', name);
      if (keys.length === 0) {
        yield entry.warning(FindingKind.Unreachable, 'the account has no keys');
      }
      for (const key of keys) {
        const holder = holders.get(key);
        const label = key === '' ? 'the empty key' : `key ${accessKeyFingerprint(key)}`;
        if (holder === name) {
          yield entry.warning(FindingKind.Unused, `${label} is listed more than once`);
        } else if (holder !== undefined) {
          yield entry.error(FindingKind.Contradiction, `${label} is also that of ${holder}`);
        }
        if (key === '' && holder === undefined) {
          yield entry.error(FindingKind.Invalid, 'a key is empty');
        }
        holders.set(key, name);
      }
      if (priority !== undefined && !isPriority(priority)) {
        const message = `priority ${priority} is not a whole number from 0 to ${LOWEST_PRIORITY}`;
        yield entry.warning(FindingKind.Invalid, message);
      }
    }
    for (const name of duplicatesOf(accounts.map((account) => account.name))) {
      const message = 'the name is declared more than once';
      yield new CheckedEntry('account', name).error(FindingKind.Invalid, message);
    }
  }
}

/** Finds limits on callers that no request or no instance can keep. */
export class CallerLimitCheck extends ConfigurationCheck<CheckedForwarding> {
  override *find({ limits, memoryBytes }: CheckedForwarding): Generator<Finding, void, void> {
    const entry = new CheckedEntry('limits', 'limits');
    const { headerBytes, bodyBytes, headerTimeoutMilliseconds, idleTimeoutMilliseconds } = limits;
    const mustBePositive = {
      'maximum size of headers': headerBytes,
      'timeout for headers': headerTimeoutMilliseconds,
      'idle timeout': idleTimeoutMilliseconds,
    };
    for (const [limit, value] of Object.entries(mustBePositive)) {
      if (value <= 0) {
        yield entry.error(FindingKind.Invalid, `the ${limit} of ${value} is not above 0`);
      }
    }
    if (bodyBytes < 0) {
      yield entry.error(FindingKind.Invalid, 'the maximum size of a body is negative');
    }
    if (memoryBytes !== undefined && headerBytes + bodyBytes > memoryBytes) {
      const message = `one request of ${headerBytes + bodyBytes} bytes exceeds the memory of ${memoryBytes}`;
      yield entry.error(FindingKind.Contradiction, message);
    }
  }
}

/** All checks of a configuration of the forwarding program. */
export const FORWARDING_CHECKS: readonly ConfigurationCheck<CheckedForwarding>[] = [
  new UnreachableRouteCheck(),
  new RouteServiceCheck(),
  new RouteLimitCheck(),
  new ServiceCheck(),
  new ForwardingAccountCheck(),
  new CallerLimitCheck(),
];
