import { describe, expect, it } from 'vitest';

import { claimKey } from '../../StoredClaim.js';
import { callOf, delayCommit, createUsageFixture, writes } from './UsageFixture.js';

const CLAIM_KEY = /claims/u;
const RESPONSE = { status: 200, contentType: 'text/plain', body: Buffer.from('first') };

/** Advances the clock by 3 s, within which the operation completes, and returns its result. */
async function advanceAndAwait<Result>(
  { simulation }: ReturnType<typeof createUsageFixture>,
  operation: Promise<Result>,
): Promise<Result> {
  await simulation.clock.advance(3000);
  return operation;
}

describe('claims when writes arrive late', () => {
  // Guards against a booking that runs twice because a late removal deletes a new claim.
  it('does not remove the claim of a later call', async () => {
    const fixture = createUsageFixture();
    const { simulation, first, second, third } = fixture;
    const call = callOf('request-1', 'key');
    await advanceAndAwait(fixture, first.claims.claim(call));
    const delayed = delayCommit(first, (transaction) => writes(transaction, 'delete', CLAIM_KEY));
    // The first removal is delayed; the register retries it.
    await advanceAndAwait(fixture, first.claims.abandon(call));
    const outcome = await advanceAndAwait(fixture, second.claims.claim(callOf('request-2', 'key')));
    expect([delayed.isDelayed, outcome.kind]).toEqual([true, 'granted']);
    delayed.release();
    await simulation.clock.advance(1000);
    const repeated = await advanceAndAwait(fixture, third.claims.claim(callOf('request-3', 'key')));
    expect(repeated).toEqual({ kind: 'unknown', requestIdentifier: 'request-2' });
  });

  // Guards against returning the response of another call after an operator deleted the claim.
  it('does not store a response in the claim of a later call', async () => {
    const fixture = createUsageFixture();
    const { simulation, first, second, third } = fixture;
    const call = callOf('request-1', 'key');
    await advanceAndAwait(fixture, first.claims.claim(call));
    const success = [{ type: 'delete' as const, key: claimKey(call) }];
    simulation.table.commit({ compare: [], success, failure: [] });
    await advanceAndAwait(fixture, second.claims.claim(callOf('request-2', 'key')));
    await advanceAndAwait(fixture, first.claims.store(call, RESPONSE));
    const repeated = await advanceAndAwait(fixture, third.claims.claim(callOf('request-3', 'key')));
    expect(repeated).toEqual({ kind: 'unknown', requestIdentifier: 'request-2' });
  });
});
