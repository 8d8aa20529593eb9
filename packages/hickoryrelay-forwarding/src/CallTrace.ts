import type { LogFields } from 'hickoryrelay/Logger';

/** Records the decisions about one request for its log line and its metrics. */
export class CallTrace {
  route = '';

  service = '';

  account: string | undefined;

  /** Attempts that reached an endpoint and were refused or failed. */
  attempts = 0;

  readonly steps: string[] = [];

  configurationVersion: number | undefined;

  viewAgeMilliseconds = 0;

  firstByteMilliseconds: number | undefined;

  /** Time from the stop signal of the instance to the arrival of the request, if it was stopping. */
  stoppingMilliseconds: number | undefined;

  /** Adds a step, such as `run engine-1: reset`. */
  addStep(step: string): void {
    this.steps.push(step);
  }

  fields(): LogFields {
    return {
      route: this.route,
      service: this.service,
      account: this.account,
      version: this.configurationVersion,
      viewAge: Math.round(this.viewAgeMilliseconds),
      attempts: this.attempts,
      steps: this.steps.join('; '),
      firstByte:
        this.firstByteMilliseconds === undefined
          ? undefined
          : Math.round(this.firstByteMilliseconds),
      stopping:
        this.stoppingMilliseconds === undefined ? undefined : Math.round(this.stoppingMilliseconds),
    };
  }
}
