import type { ResponseHead } from './EndpointLink.js';

/** A refusal or failure response that the instance generates itself. */
export interface LocalResponse {
  readonly status: number;
  readonly reason: string;
  /** When the caller may retry. Present only if the request has not run. */
  readonly retryAfterMilliseconds?: number;
  /** True if another instance has passed the request on and this one cannot help. */
  readonly isUnreachable?: boolean;
}

/** Why a response ended before it was complete. The reason of `ResponseSink.gone`. */
export const CloseReason = {
  /** The caller closed it, or it failed. */
  Caller: 'caller',
  /** This instance closed it because it was stopping. */
  Shutdown: 'shutdown',
  /** It goes on, and the sink has sent a failure in place of a response that it could not send. */
  Replaced: 'replaced',
} as const;

export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

const CALLER_GONE_OUTCOME = 'gone';

/** Outcomes for the reasons that are not the caller's. */
const GONE_OUTCOMES: ReadonlyMap<unknown, string> = new Map([
  [CloseReason.Shutdown, 'cut'],
  [CloseReason.Replaced, 'broken-off'],
]);

/** Receives the response to one request. Subclasses encode it and make no decisions. */
export abstract class ResponseSink {
  /** Aborts when nothing more can be sent before the response is complete. Its reason is a `CloseReason`. */
  abstract readonly gone: AbortSignal;

  /** Outcome of a request whose response has ended early. */
  get goneOutcome(): string {
    return GONE_OUTCOMES.get(this.gone.reason) ?? CALLER_GONE_OUTCOME;
  }

  abstract get hasStarted(): boolean;

  /** True if a part of the response may have reached the caller, so that it gets no local response. */
  get hasSent(): boolean {
    return this.hasStarted;
  }

  /** Called when the request is passed on to an endpoint. Sinks without a connection need not know. */
  recordPassedOn(): void {}

  /** Sends the head of an endpoint's response. */
  abstract start(head: ResponseHead): void;

  /**
   * Sends a chunk of the body. Resolves when the caller can receive more, has left, or the signal
   * aborts. A caller that does not read would otherwise hold its request beyond the deadline.
   */
  abstract write(chunk: Buffer, signal: AbortSignal): Promise<void>;

  /** Completes a response whose body has ended as its head states. */
  abstract end(): void;

  /** Sends a local response. Not allowed once a part of a response has been sent. */
  abstract answer(response: LocalResponse): void;

  /** Aborts a response of which a part has been sent, so that the caller cannot take it for complete. */
  abstract abort(): void;
}
