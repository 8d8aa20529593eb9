import type { ResponseHead } from './EndpointLink.js';

/** A refusal or failure response that the instance generates itself. */
export interface LocalResponse {
  readonly status: number;
  readonly reason: string;
  /** When the caller may retry. Present only if the request has not run. */
  readonly retryAfterMilliseconds?: number;
}

/** Why a connection closed before the response was complete. The reason of `ResponseSink.gone`. */
export const CloseReason = {
  /** The caller closed it, or it failed. */
  Caller: 'caller',
  /** This instance closed it because it was stopping. */
  Shutdown: 'shutdown',
} as const;

export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

/** Receives the response to one request. Subclasses encode it and make no decisions. */
export abstract class ResponseSink {
  /** Aborts when the connection has closed early. Its reason is a `CloseReason`. */
  abstract readonly gone: AbortSignal;

  /** Outcome of a request whose connection has closed early: `gone` if the caller left, or `cut`. */
  get goneOutcome(): string {
    return this.gone.reason === CloseReason.Shutdown ? 'cut' : 'gone';
  }

  abstract get hasStarted(): boolean;

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

  /** Sends a local response. Not allowed once a response has started. */
  abstract answer(response: LocalResponse): void;

  /** Aborts a started response so that the caller cannot take it for complete. */
  abstract abort(): void;
}
