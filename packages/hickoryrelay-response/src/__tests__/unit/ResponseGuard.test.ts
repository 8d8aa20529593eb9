import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { GuardedResponse, ResponseGuard } from 'hickoryrelay-response/ResponseGuard';

import type { ResponseAccount } from 'hickoryrelay-response/ResponseAccount';

const LIMITS = { memoryBytes: 1_000_000, reserveBytes: 250_000 };
const LARGE_BYTES = 100_000;
const SMALL_BYTES = 25_000;

class FakeResponse extends GuardedResponse {
  readonly account: ResponseAccount;

  resumed = 0;

  evicted = 0;

  constructor(guard: ResponseGuard, bytes: number) {
    super();
    this.account = guard.open(this);
    this.account.setRetained(bytes);
  }

  override countReceived(): void {}

  override resume(): void {
    this.resumed += 1;
  }

  override evict(): void {
    this.evicted += 1;
  }
}

/** Limits with several turns. */
const TURN_LIMITS = { memoryBytes: 4_000_000, reserveBytes: 2_000_000 };

function makeGuard(limits = LIMITS) {
  const clock = new ManualClock();
  const guard = new ResponseGuard(limits, clock);
  const open = (count: number, bytes: number) =>
    Array.from({ length: count }, () => new FakeResponse(guard, bytes));
  return { clock, guard, open };
}

describe('ResponseGuard', () => {
  it('resumes a response once others have released memory', async () => {
    const { guard, open } = makeGuard();
    const [waiting, other] = open(8, LARGE_BYTES) as [FakeResponse, FakeResponse];
    expect(guard.mayRead(waiting)).toBe(false);
    guard.close(other);
    await nextTurn();
    expect(waiting.resumed).toBe(1);
    expect(guard.pauses).toBe(1);
  });

  // Guards against sound responses that together need more than there is, and wait for each other.
  it('reads on waiting responses in turn, those first that hold least, as others complete', async () => {
    const { guard, open } = makeGuard(TURN_LIMITS);
    const responses = [...open(35, LARGE_BYTES), ...open(5, LARGE_BYTES / 2)];
    responses.forEach((response) => guard.mayRead(response));
    await nextTurn();
    expect(responses.slice(-5).filter(({ resumed }) => resumed === 1)).toHaveLength(3);
    expect(responses.filter(({ resumed }) => resumed === 1)).toHaveLength(3);
    for (let served = 0; served < responses.length; served += 1) {
      responses.filter(({ resumed }) => resumed > 0).forEach((response) => guard.close(response));
      await nextTurn();
    }
    expect(responses.every(({ resumed, evicted }) => resumed === 1 && evicted === 0)).toBe(true);
  });

  describe('when little memory is released', () => {
    async function releaseLittle() {
      const { clock, guard, open } = makeGuard();
      const responses = open(41, SMALL_BYTES);
      responses.forEach((response) => guard.mayRead(response));
      await nextTurn();
      const countResumed = () => responses.filter(({ resumed }) => resumed > 0).length;
      expect(countResumed()).toBe(1);
      responses.slice(-3).forEach((response) => guard.close(response));
      await nextTurn();
      return { clock, guard, responses, countResumed };
    }

    // Guards against all waiting responses that are resumed for each one that completes, and find no memory.
    it('resumes as many responses as it suffices for', async () => {
      const { countResumed } = await releaseLittle();
      expect(countResumed()).toBe(1 + 4);
      await nextTurn();
      expect(countResumed()).toBe(1 + 4);
    });

    it('resumes further ones once those have read less than was expected', async () => {
      const { guard, responses, countResumed } = await releaseLittle();
      const resumed = responses.filter((response) => response.resumed > 0);
      resumed.forEach(({ account }) => account.setReceived(1000));
      guard.mayRead(resumed[0] as FakeResponse);
      await nextTurn();
      expect(countResumed()).toBeGreaterThan(1 + 4);
    });

    it('resumes further ones although those read nothing', async () => {
      const { clock, countResumed } = await releaseLittle();
      await clock.advance(500);
      await nextTurn();
      expect(countResumed()).toBeGreaterThan(1 + 4);
    });
  });

  it('ends responses that complete nothing in their turn while others wait', async () => {
    const { clock, guard, open } = makeGuard(TURN_LIMITS);
    const responses = open(40, LARGE_BYTES);
    responses.forEach((response) => guard.mayRead(response));
    await nextTurn();
    const inTurn = responses.filter(({ resumed }) => resumed > 0);
    await clock.advance(2000);
    expect(guard.evictions).toBe(0);
    await clock.advance(2000);
    expect(responses.filter(({ evicted }) => evicted > 0)).toEqual(inTurn);
  });

  it('ends nothing while no response waits', async () => {
    const { clock, open } = makeGuard();
    const responses = open(7, LARGE_BYTES);
    await clock.advance(10_000);
    expect(responses.every(({ evicted }) => evicted === 0)).toBe(true);
  });

  it('ends responses at once if far too much is held', () => {
    const { guard, open } = makeGuard();
    const responses = open(27, LARGE_BYTES);
    guard.mayRead(responses[26] as FakeResponse);
    expect(guard.evictions).toBe(2);
  });
});
