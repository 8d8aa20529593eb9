import type { ServiceCall } from 'hickoryrelay-link/Call';

/** The stored answer of a call. */
export interface StoredAnswer {
  /** HTTP status code. */
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** What came of a claim. */
export type ClaimOutcome =
  /** The call may be sent, once. */
  | { readonly kind: 'granted' }
  /** An earlier call with the same key was answered. */
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  /**
   * An earlier call with the same key was sent and its result is not known (yet). The status is
   * present if the call was answered but the answer was too large to be stored.
   */
  | { readonly kind: 'unknown'; readonly requestIdentifier: string; readonly status?: number };

/** Claims calls that may run at most once, by client account, route and idempotency key. */
export abstract class ClaimRegister {
  /**
   * Claims the call. Throws `platform-unavailable` if the claim could not be made, and
   * `idempotency-conflict` if the key was used for a different request; the call must not be sent
   * then.
   */
  abstract claim(call: ServiceCall): Promise<ClaimOutcome>;

  /** Stores the answer of a granted call. Failures are logged; the claim then stays unknown. */
  abstract store(call: ServiceCall, answer: StoredAnswer): Promise<void>;

  /** Gives a claim back whose call was certainly not run. */
  abstract abandon(call: ServiceCall): Promise<void>;
}
