import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  ORDINARY_RESPONSE_BYTES,
  responseLimitsOf,
  SMALL_RESPONSE_BYTES,
} from 'hickoryrelay-response/ResponseLimits';
import { ResponseMemory } from 'hickoryrelay-response/ResponseMemory';

import type { ResponseAccount } from 'hickoryrelay-response/ResponseAccount';

const LIMITS = { memoryBytes: 1_000_000, reserveBytes: 250_000 };
/** Limits with several turns. */
const TURN_LIMITS = { memoryBytes: 4_000_000, reserveBytes: 2_000_000 };
const LARGE_BYTES = 100_000;
const SMALL_BYTES = 10_000;

/** Responses that hold as much each, the first one without progress for the longest time. */
function fill(memory: ResponseMemory, count: number, bytes: number): ResponseAccount[] {
  return Array.from({ length: count }, (_value, index) => {
    const account = memory.open(index);
    account.setRetained(bytes);
    return account;
  });
}

describe('ResponseMemory', () => {
  it('reads while there is memory', () => {
    const memory = new ResponseMemory(LIMITS);
    const [first, ...others] = fill(memory, 7, LARGE_BYTES) as [ResponseAccount];
    expect([first, ...others].every((account) => memory.mayRead(account))).toBe(true);
    fill(memory, 1, LARGE_BYTES);
    expect(memory.mayRead(first)).toBe(false);
  });

  // Guards against sound streams that wait behind responses that complete nothing.
  it('reads small responses from the reserve', () => {
    const memory = new ResponseMemory(LIMITS);
    fill(memory, 8, LARGE_BYTES);
    const [small] = fill(memory, 1, SMALL_BYTES) as [ResponseAccount];
    expect(memory.mayRead(small)).toBe(true);
    fill(memory, 2, LARGE_BYTES);
    expect(memory.mayRead(small)).toBe(false);
  });

  // Guards against responses that wait for memory that silent ones hold.
  it('reads responses that hold next to nothing whatever the others hold', () => {
    const memory = new ResponseMemory(LIMITS);
    const [account] = fill(memory, 1, SMALL_RESPONSE_BYTES) as [ResponseAccount];
    fill(memory, 40, ORDINARY_RESPONSE_BYTES);
    expect(memory.mayRead(account)).toBe(true);
  });

  it('gives a turn to a few responses at a time, until each completes a part or closes', () => {
    const memory = new ResponseMemory(TURN_LIMITS);
    const accounts = fill(memory, 40, LARGE_BYTES);
    const began = accounts.filter((account) => memory.tryBeginTurn(account, 0));
    expect(began.length).toBeGreaterThan(0);
    expect(began.length).toBeLessThan(accounts.length);
    expect(accounts.filter((account) => memory.mayRead(account))).toEqual(began);
    began[0]?.recordProgress(1);
    began[1]?.close();
    const next = accounts.slice(began.length).filter((account) => memory.tryBeginTurn(account, 1));
    expect(next).toHaveLength(2);
  });

  // Guards against sound responses that fail because they were made to wait.
  it('ends no response for the time in which it was not its turn', () => {
    const memory = new ResponseMemory(TURN_LIMITS);
    const [first, second, ...others] = fill(memory, 40, LARGE_BYTES);
    [first, second].forEach((account) => memory.tryBeginTurn(account as ResponseAccount, 10_000));
    second?.setInDelivery(true);
    expect([...memory.overdue(12_000)]).toEqual([]);
    expect([...memory.overdue(14_000)]).toEqual([first]);
    expect(others).toHaveLength(38);
  });

  it('ends responses if far too much is held, those whose callers do not read last', () => {
    const memory = new ResponseMemory(LIMITS);
    const [unread] = fill(memory, 1, LARGE_BYTES) as [ResponseAccount];
    unread.setInDelivery(true);
    const small = fill(memory, 2, SMALL_BYTES);
    const [large] = fill(memory, 1, 2_600_000);
    expect(memory.isOverfull).toBe(true);
    expect([...memory.victims(10)]).toEqual([large, ...small]);
    expect([...memory.victims(5000)]).toEqual([large, ...small, unread]);
  });

  it('derives the limits from the memory of the machine', () => {
    const { memoryBytes, reserveBytes } = responseLimitsOf(350);
    expect(memoryBytes).toBe(36_700_160);
    expect(reserveBytes).toBe(9_175_040);
  });

  // Guards against bytes that are counted twice, or stay counted once their response has closed.
  it('holds what its open responses hold, and a portion of each small one beyond the limit at most', () => {
    const step = fc.record({
      index: fc.nat(19),
      kind: fc.constantFrom('receive', 'retain', 'deliver', 'close'),
      bytes: fc.integer({ min: 1, max: ORDINARY_RESPONSE_BYTES }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const memory = new ResponseMemory(LIMITS);
        const accounts = fill(memory, 20, 0);
        steps.forEach(({ index, kind, bytes }) => {
          const account = accounts[index] as ResponseAccount;
          if (kind === 'close') {
            account.close();
          } else if (kind === 'deliver') {
            account.setReceived(0);
            account.setRetained(0);
          } else if (memory.mayRead(account)) {
            const held = account.heldBytes + bytes;
            account.setReceived(kind === 'receive' ? held : 0);
            account.setRetained(kind === 'retain' ? held : 0);
          }
          const sum = accounts.reduce((total, { heldBytes }) => total + heldBytes, 0);
          expect(memory.usedBytes).toBe(sum);
          expect(sum).toBeLessThanOrEqual(
            LIMITS.memoryBytes + accounts.length * (SMALL_RESPONSE_BYTES + ORDINARY_RESPONSE_BYTES),
          );
        });
        accounts.forEach((account) => account.close());
        expect(memory).toMatchObject({ usedBytes: 0, openResponses: 0 });
      }),
    );
  });
});
