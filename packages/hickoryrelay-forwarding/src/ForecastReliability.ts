/** Weight of a new outcome. Enough for about ten recent outcomes to count. */
const SAMPLE_WEIGHT = 0.1;

/** Assumed until outcomes are known. */
const INITIAL_ACCEPTANCE = 0.5;

/** A request is sent although the forecast is against it if it is at least as likely to be taken. */
const MINIMUM_ACCEPTANCE = 0.5;

/** Part of the requests that is sent while few are taken, so that a change is noticed. */
const PROBE_FRACTION = 0.05;

/**
 * How often endpoints take requests although the estimates show no room. Reports that are older than
 * most requests take say little about single endpoints, and a fleet is rarely full everywhere at once.
 */
export class ForecastReliability {
  private readonly acceptances = new Map<string, number>();

  /** Records whether an endpoint of a service took a request against the forecast. */
  record(service: string, isAccepted: boolean): void {
    const acceptance = this.acceptances.get(service) ?? INITIAL_ACCEPTANCE;
    const sample = isAccepted ? 1 : 0;
    this.acceptances.set(service, acceptance + (sample - acceptance) * SAMPLE_WEIGHT);
  }

  /** @param fraction a random number from 0 to 1. */
  mayTry(service: string, fraction: number): boolean {
    const acceptance = this.acceptances.get(service) ?? INITIAL_ACCEPTANCE;
    return acceptance >= MINIMUM_ACCEPTANCE || fraction < PROBE_FRACTION;
  }
}
