import { ConfigurationCheck } from './ConfigurationCheck.js';
import { CheckedEntry, FindingKind } from './Finding.js';

import type { Finding } from './Finding.js';
import type { Settings } from 'hickoryrelay-contract/Settings';

/** Finds limits of an instance that contradict each other or are never reached. */
export class InstanceLimitCheck extends ConfigurationCheck<Settings> {
  override *find({ limits, drain }: Settings): Generator<Finding, void, void> {
    const { requestSeconds, callSeconds, callerStallSeconds, connections, callsInFlight } = limits;
    const entry = new CheckedEntry('settings', 'limits');
    if (requestSeconds > callSeconds) {
      const limit = `callSeconds of ${callSeconds}`;
      const message = `requestSeconds of ${requestSeconds} is above ${limit}`;
      yield entry.warning(FindingKind.Contradiction, message);
    }
    if (callerStallSeconds > callSeconds) {
      const limit = `callSeconds of ${callSeconds}`;
      const message = `callerStallSeconds of ${callerStallSeconds} is above ${limit}`;
      yield entry.warning(FindingKind.Unused, message);
    }
    if (callsInFlight > connections) {
      const limit = `connections of ${connections}`;
      const message = `callsInFlight of ${callsInFlight} is above ${limit}`;
      yield entry.warning(FindingKind.Unused, message);
    }
    if (callSeconds > drain.deadlineSeconds) {
      const limit = `drain.deadlineSeconds of ${drain.deadlineSeconds}`;
      const message = `a shutdown cuts off calls: callSeconds of ${callSeconds} is above ${limit}`;
      yield entry.warning(FindingKind.Contradiction, message);
    }
  }
}

/** Finds a shutdown that ends before the instance has stopped taking new work. */
export class DrainCheck extends ConfigurationCheck<Settings> {
  override *find({ drain }: Settings): Generator<Finding, void, void> {
    const { announceSeconds, deadlineSeconds } = drain;
    if (announceSeconds >= deadlineSeconds) {
      const message = `announceSeconds of ${announceSeconds} is not below deadlineSeconds of ${deadlineSeconds}`;
      yield new CheckedEntry('settings', 'drain').error(FindingKind.Contradiction, message);
    }
  }
}

/** Finds listeners that take each other's port, and seeds that are the instance itself. */
export class ListenerCheck extends ConfigurationCheck<Settings> {
  override *find({ instance, callers, peers }: Settings): Generator<Finding, void, void> {
    const entry = new CheckedEntry('settings', 'peers');
    if (callers.port !== 0 && callers.port === peers.port && callers.address === peers.address) {
      const message = `the address ${peers.address}:${peers.port} is that of callers`;
      yield entry.error(FindingKind.Contradiction, message);
    }
    if (peers.seeds.some(({ name }) => name === instance.name)) {
      yield entry.warning(FindingKind.Unused, 'a seed is the instance itself');
    }
  }
}

/** All checks of the settings of an instance. */
export const SETTINGS_CHECKS: readonly ConfigurationCheck<Settings>[] = [
  new InstanceLimitCheck(),
  new DrainCheck(),
  new ListenerCheck(),
];
