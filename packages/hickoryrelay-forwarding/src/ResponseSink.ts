import type { ResponseHead } from './EndpointLink.js';

/** A refusal or failure that the system answers itself. */
export interface LocalResponse {
  readonly status: number;
  readonly reason: string;
  /** When the caller should come back; only where the request has not run. */
  readonly retryAfterMilliseconds?: number;
}

/** Where the answer to one request goes. An override encodes for its callers and decides nothing. */
export abstract class ResponseSink {
  /** Aborts when the caller has gone. */
  abstract readonly gone: AbortSignal;

  abstract get hasStarted(): boolean;

  /** Sends the head of an endpoint's answer. */
  abstract start(head: ResponseHead): void;

  /** Sends a piece of the body. Resolves when the caller can take more. */
  abstract write(piece: Buffer): Promise<void>;

  /** Ends an answer whose body has ended as its head says. */
  abstract end(): void;

  /** Sends an answer of the system's own. Not allowed once an answer has started. */
  abstract answer(response: LocalResponse): void;

  /** Breaks an answer off so that it cannot look complete. */
  abstract abort(): void;
}
