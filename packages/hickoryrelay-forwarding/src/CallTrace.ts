import type { LogFields } from 'hickoryrelay/Logger';

/** What was decided about one request, for its log line and its metrics. */
export class CallTrace {
  route = '';

  service = '';

  account: string | undefined;

  /** Sends that did not end with the answer and may have run, or were rejected. */
  attempts = 0;

  readonly steps: string[] = [];

  configurationVersion: number | undefined;

  viewAgeMilliseconds = 0;

  firstByteMilliseconds: number | undefined;

  /** Adds a decision, such as `run swing-1: reset`. */
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
    };
  }
}
