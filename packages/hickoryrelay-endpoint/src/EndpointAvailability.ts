/** What an endpoint states about itself in the head of a response. */
export interface EndpointNotice {
  /** The endpoint is shutting down and takes no new requests. */
  readonly isLeaving: boolean;
}

/** The permission to send one request, granted when its endpoint was chosen. */
export class SendPermit {
  private readonly allowsSend: () => boolean;

  constructor(allowsSend: () => boolean) {
    this.allowsSend = allowsSend;
  }

  /** False once the endpoint takes no requests. Asked right before the request is written. */
  get isValid(): boolean {
    return this.allowsSend();
  }
}

/**
 * Whether one incarnation of an endpoint takes requests from this instance, by what the endpoint
 * itself has stated. What the store or other instances report does not undo it.
 */
export class EndpointAvailability {
  private hasAnnouncedLeaving = false;

  /** True once the endpoint has announced that it is leaving. */
  get isLeaving(): boolean {
    return this.hasAnnouncedLeaving;
  }

  /** Applies a notice. Returns true if it is the first that announces that the endpoint is leaving. */
  receive({ isLeaving }: EndpointNotice): boolean {
    const isFirst = isLeaving && !this.hasAnnouncedLeaving;
    this.hasAnnouncedLeaving ||= isLeaving;
    return isFirst;
  }

  /** True if a new request may be sent. */
  allowsRequest(): boolean {
    return !this.hasAnnouncedLeaving;
  }

  /** Grants the permission to send a request to the endpoint. */
  startRequest(): SendPermit {
    return new SendPermit(() => !this.hasAnnouncedLeaving);
  }
}
