import type { Finding } from './Finding.js';

/** One check of a decoded configuration. */
export abstract class ConfigurationCheck<Configuration> {
  abstract find(configuration: Configuration): Iterable<Finding>;
}

/** Runs checks one after the other and returns their findings in that order. */
export function runChecks<Configuration>(
  checks: readonly ConfigurationCheck<Configuration>[],
  configuration: Configuration,
): Finding[] {
  return checks.flatMap((check) => [...check.find(configuration)]);
}
