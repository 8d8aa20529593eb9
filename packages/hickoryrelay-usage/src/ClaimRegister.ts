import type { ServiceCall } from 'hickoryrelay-link/Call';

/** The stored response to a call. */
export interface StoredResponse {
  /** HTTP status code. */
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Result of claiming a call. */
export type ClaimOutcome =
  /** The call may be sent, once. */
  | { readonly kind: 'granted' }
  /** An earlier call with the same key has completed. */
  | { readonly kind: 'answered'; readonly answer: StoredResponse }
  /**
   * An earlier call with the same key was sent, and its result is not known, or not yet. The status
   * is present if the call completed but its response was too large to be stored.
   */
  | { readonly kind: 'unknown'; readonly requestIdentifier: string; readonly status?: number };

/** Registers calls that must run at most once, by client account, route and idempotency key. */
export abstract class ClaimRegister {
  /**
   * Claims the call. Throws `platform-unavailable` if the claim could not be made, and
   * `idempotency-conflict` if the key was used for a different request. In both cases the call must
   * not be sent.
   */
  abstract claim(call: ServiceCall): Promise<ClaimOutcome>;

  /** Stores the response to a granted call. Failures are logged, and the result stays unknown. */
  abstract store(call: ServiceCall, response: StoredResponse): Promise<void>;

  /** Removes the claim of a call that certainly did not run, so that it can be claimed again. */
  abstract abandon(call: ServiceCall): Promise<void>;
}
