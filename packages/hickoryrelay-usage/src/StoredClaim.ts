import { createHash } from 'node:crypto';

import { OPEN_ACCOUNT } from './OpenAccount.js';

import type { ClaimOutcome, StoredAnswer } from './ClaimRegister.js';
import type { ServiceCall } from 'hickoryrelay-link/Call';

const CLAIMS_PREFIX = '/hickoryrelay/claims/';

/** Larger bodies are stored as their status only, so that a batch stays far below a megabyte. */
export const LARGEST_STORED_BODY_BYTES = 32_768;

/** A claim as it is stored. */
export interface StoredClaim {
  readonly requestIdentifier: string;
  /** Digest of the request, to tell a repeat from another request with the same key. */
  readonly digest: string;
  /** Present once the call is answered; without a body if that was too large. */
  readonly answer?: {
    readonly status: number;
    readonly contentType: string;
    readonly body?: string;
  };
}

/** Key of the claim of a call with an idempotency key. */
export function claimKey(call: ServiceCall): string {
  const { accountName, route, idempotencyKey } = call;
  const hash = createHash('sha256').update(String(idempotencyKey)).digest('hex');
  return `${CLAIMS_PREFIX}${accountName ?? OPEN_ACCOUNT}/${route}/${hash}`;
}

/** The claim of a call that is not answered yet. */
export function claimOf(call: ServiceCall): StoredClaim {
  const digest = createHash('sha256')
    .update(JSON.stringify([call.method, call.path, call.contentType ?? '']))
    .update(call.body ?? '')
    .digest('base64url');
  return { requestIdentifier: call.requestIdentifier, digest };
}

/** The claim with the answer of its call. */
export function answeredClaim(claim: StoredClaim, answer: StoredAnswer): StoredClaim {
  const { status, contentType, body } = answer;
  return body.length > LARGEST_STORED_BODY_BYTES
    ? { ...claim, answer: { status, contentType } }
    : { ...claim, answer: { status, contentType, body: body.toString('base64') } };
}

/** What a claim that is already stored means for a call with the same key and request. */
export function outcomeOf({ requestIdentifier, answer }: StoredClaim): ClaimOutcome {
  if (answer === undefined) {
    return { kind: 'unknown', requestIdentifier };
  }
  const { status, contentType, body } = answer;
  return body === undefined
    ? { kind: 'unknown', requestIdentifier, status }
    : { kind: 'answered', answer: { status, contentType, body: Buffer.from(body, 'base64') } };
}
