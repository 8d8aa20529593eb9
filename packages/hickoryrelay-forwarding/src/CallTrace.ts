import type { LogFields } from 'hickoryrelay/Logger';

/** Records the decisions about one request for its log line and its metrics. */
export class CallTrace {
  route = '';

  service = '';

  account: string | undefined;

  /** Attempts that reached an endpoint and were refused or failed, with those of an instance that passed the request on. */
  attempts = 0;

  readonly steps: string[] = [];

  configurationVersion: number | undefined;

  viewAgeMilliseconds = 0;

  firstByteMilliseconds: number | undefined;

  /** Time from the stop signal of the instance to the arrival of the request, if it was stopping. */
  stoppingMilliseconds: number | undefined;

  /** The instance whose response the caller gets. */
  relayedTo: string | undefined;

  /** Identifiers of the shared segments of a prompt whose run failed before its first event. */
  lostSegments: readonly string[] = [];

  /** Identifier of the attempt whose stream the caller resumes. */
  resumedRequest: string | undefined;

  /** The version at which a resumed stream has to go on, what has named it, and the age of the view then. */
  origin: string | undefined;

  /** Software versions of the endpoints that have begun to respond, in order; empty for those without. */
  readonly softwareVersions: string[] = [];

  /** The endpoints that have begun to respond, in order, with the start of the registered incarnation. */
  readonly begunAt: string[] = [];

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
      relayedTo: this.relayedTo,
      resumes: this.resumedRequest,
      origin: this.origin,
      begunAt: this.begunAt.length === 0 ? undefined : this.begunAt.join(','),
      softwareVersions:
        this.softwareVersions.length === 0 ? undefined : this.softwareVersions.join(','),
      lostSegments: this.lostSegments.length === 0 ? undefined : this.lostSegments.join(','),
    };
  }
}
