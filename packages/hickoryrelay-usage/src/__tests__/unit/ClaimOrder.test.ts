import { describe, expect, it } from 'vitest';

import { claimKey } from '../../StoredClaim.js';
import { callOf, holdCommit, smallWorld, writes } from './SmallWorld.js';

const CLAIM = /claims/u;
const ANSWER = { status: 200, contentType: 'text/plain', body: Buffer.from('first') };

/** Advances the clock until the work of the register is done. */
async function done<Result>(
  { world }: ReturnType<typeof smallWorld>,
  work: Promise<Result>,
): Promise<Result> {
  await world.clock.advance(3000);
  return work;
}

describe('claims when writes arrive late', () => {
  // Guards against a booking that runs twice because a late removal frees the key in mid-call.
  it('does not remove the claim of a later call', async () => {
    const small = smallWorld();
    const { world, first, second, third } = small;
    const call = callOf('request-1', 'key');
    await done(small, first.claims.claim(call));
    const held = holdCommit(first, (transaction) => writes(transaction, 'delete', CLAIM));
    // The first removal is held by the network; the register repeats it.
    await done(small, first.claims.abandon(call));
    const outcome = await done(small, second.claims.claim(callOf('request-2', 'key')));
    expect([held.isHeld, outcome.kind]).toEqual([true, 'granted']);
    held.release();
    await world.clock.advance(1000);
    const repeated = await done(small, third.claims.claim(callOf('request-3', 'key')));
    expect(repeated).toEqual({ kind: 'unknown', requestIdentifier: 'request-2' });
  });

  // Guards against an answer given to another call, once an operator has freed the key by hand.
  it('does not store an answer in the claim of a later call', async () => {
    const small = smallWorld();
    const { world, first, second, third } = small;
    const call = callOf('request-1', 'key');
    await done(small, first.claims.claim(call));
    const success = [{ type: 'delete' as const, key: claimKey(call) }];
    world.table.commit({ compare: [], success, failure: [] });
    await done(small, second.claims.claim(callOf('request-2', 'key')));
    await done(small, first.claims.store(call, ANSWER));
    const repeated = await done(small, third.claims.claim(callOf('request-3', 'key')));
    expect(repeated).toEqual({ kind: 'unknown', requestIdentifier: 'request-2' });
  });
});
