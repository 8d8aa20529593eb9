import { createHash } from 'node:crypto';

import { OPEN_ACCOUNT } from './OpenAccount.js';

import type { ClaimOutcome, StoredResponse } from './ClaimRegister.js';
import type { ServiceCall } from 'hickoryrelay-link/Call';

const CLAIMS_PREFIX = '/hickoryrelay/claims/';

/** Larger bodies are not stored, only their status, so that a batch stays far below 1 MB. */
export const MAX_STORED_BODY_BYTES = 32_768;

/** The stored form of a claim. */
export interface StoredClaim {
  readonly requestIdentifier: string;
  /** Digest of the request. Distinguishes a retry from a different request with the same key. */
  readonly digest: string;
  /** Present once the call has completed; without a body if the body was too large. */
  readonly answer?: {
    readonly status: number;
    readonly contentType: string;
    readonly body?: string;
  };
}

/** Storage key of the claim for a call with an idempotency key. */
export function claimKey(call: ServiceCall): string {
  const { accountName, route, idempotencyKey } = call;
  const hash = createHash('sha256').update(String(idempotencyKey)).digest('hex');
  return `${CLAIMS_PREFIX}${accountName ?? OPEN_ACCOUNT}/${route}/${hash}`;
}

/** Creates the claim for a call that has not completed yet. */
export function pendingClaim(call: ServiceCall): StoredClaim {
  const digest = createHash('sha256')
    .update(JSON.stringify([call.method, call.path, call.contentType ?? '']))
    .update(call.body ?? '')
    .digest('base64url');
  return { requestIdentifier: call.requestIdentifier, digest };
}

/** Adds the response of the call to its claim. */
export function completedClaim(claim: StoredClaim, response: StoredResponse): StoredClaim {
  const { status, contentType, body } = response;
  return body.length > MAX_STORED_BODY_BYTES
    ? { ...claim, answer: { status, contentType } }
    : { ...claim, answer: { status, contentType, body: body.toString('base64') } };
}

/** Converts an existing claim to the outcome for a call with the same key and request. */
export function outcomeOf({ requestIdentifier, answer: response }: StoredClaim): ClaimOutcome {
  if (response === undefined) {
    return { kind: 'unknown', requestIdentifier };
  }
  const { status, contentType, body } = response;
  return body === undefined
    ? { kind: 'unknown', requestIdentifier, status }
    : { kind: 'answered', answer: { status, contentType, body: Buffer.from(body, 'base64') } };
}
