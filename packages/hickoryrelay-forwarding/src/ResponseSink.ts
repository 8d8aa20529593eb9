import type { ResponseHead } from './EndpointLink.js';

/** A refusal or failure response that the instance generates itself. */
export interface LocalResponse {
  readonly status: number;
  readonly reason: string;
  /** When the caller may retry. Present only if the request has not run. */
  readonly retryAfterMilliseconds?: number;
}

/** Receives the response to one request. Subclasses encode it and make no decisions. */
export abstract class ResponseSink {
  /** Aborts when the caller has disconnected. */
  abstract readonly gone: AbortSignal;

  abstract get hasStarted(): boolean;

  /** Sends the head of an endpoint's response. */
  abstract start(head: ResponseHead): void;

  /** Sends a chunk of the body. Resolves when the caller can receive more. */
  abstract write(chunk: Buffer): Promise<void>;

  /** Completes a response whose body has ended as its head states. */
  abstract end(): void;

  /** Sends a local response. Not allowed once a response has started. */
  abstract answer(response: LocalResponse): void;

  /** Aborts a started response so that the caller cannot take it for complete. */
  abstract abort(): void;
}
