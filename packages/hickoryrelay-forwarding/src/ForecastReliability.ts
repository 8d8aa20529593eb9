/** Weight of a new outcome: the last twenty or so count. */
const SAMPLE_WEIGHT = 0.05;

/**
 * Endpoints are expected to take most requests again after this time without an outcome, since a
 * shortage does not last.
 */
const RECOVERY_MILLISECONDS = 1000;

interface Acceptance {
  fraction: number;
  atMilliseconds: number;
}

/**
 * How often endpoints take the requests that are sent by the estimates of their room. The estimates
 * are relied on until they have been wrong.
 */
export class ForecastReliability {
  private readonly acceptances = new Map<string, Acceptance>();

  /** Records whether an endpoint of a service took a request. */
  record(service: string, isAccepted: boolean, now: number): void {
    const previous = this.acceptanceOf(service, now);
    const fraction = previous + ((isAccepted ? 1 : 0) - previous) * SAMPLE_WEIGHT;
    this.acceptances.set(service, { fraction, atMilliseconds: now });
  }

  /** Expected fraction of requests that endpoints take. */
  acceptanceOf(service: string, now: number): number {
    const acceptance = this.acceptances.get(service);
    return acceptance === undefined || now - acceptance.atMilliseconds > RECOVERY_MILLISECONDS
      ? 1
      : acceptance.fraction;
  }
}
