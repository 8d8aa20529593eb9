/** Collaborators of a check. */
export interface IncarnationCheckParts {
  /** Start of the registered incarnation, in milliseconds since the Unix epoch. */
  readonly registeredMilliseconds: number;
  /** True if the request may run at an endpoint that does not state its start. */
  readonly mayBeUnknown: boolean;
  /** Called if the endpoint is another incarnation. */
  readonly onOther: () => void;
}

/**
 * Keeps one request from an incarnation of its endpoint that is not the registered one. An endpoint that starts
 * again under its identifier and address serves before it is registered anew, possibly at another software version.
 */
export class IncarnationCheck {
  private readonly parts: IncarnationCheckParts;

  private hasRunAtUnknown = false;

  constructor(parts: IncarnationCheckParts) {
    this.parts = parts;
  }

  /** True if the request was let through although its endpoint did not state its start. */
  get isUnknown(): boolean {
    return this.hasRunAtUnknown;
  }

  /** True if the request may run at an endpoint with a start, which is undefined if it states none. */
  accepts(startedMilliseconds: number | undefined): boolean {
    const { registeredMilliseconds, mayBeUnknown } = this.parts;
    return startedMilliseconds === undefined
      ? mayBeUnknown
      : startedMilliseconds === registeredMilliseconds;
  }

  /** Decides on the request before it is written. Returns the reason if it must not be written. */
  decide(startedMilliseconds: number | undefined): string | undefined {
    const { registeredMilliseconds, onOther } = this.parts;
    if (startedMilliseconds === undefined) {
      this.hasRunAtUnknown = this.accepts(undefined);
      return this.hasRunAtUnknown ? undefined : 'the endpoint does not state its start';
    }
    if (this.accepts(startedMilliseconds)) {
      return undefined;
    }
    onOther();
    return `the endpoint started at ${startedMilliseconds}, the registered one at ${registeredMilliseconds}`;
  }
}
