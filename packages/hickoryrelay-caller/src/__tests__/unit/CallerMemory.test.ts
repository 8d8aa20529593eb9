import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CallerPhase } from 'hickoryrelay-caller/CallerAccount';
import { CONNECTION_COST_BYTES, ORDINARY_CONNECTION_BYTES } from 'hickoryrelay-caller/CallerLimits';
import { CallerMemory, PauseReason } from 'hickoryrelay-caller/CallerMemory';

import type { CallerAccount, RequestHolding } from 'hickoryrelay-caller/CallerAccount';
import type { CallerLimits } from 'hickoryrelay-caller/CallerLimits';

const LIMITS: CallerLimits = {
  memoryBytes: 8_000_000,
  reserveBytes: 2_000_000,
  connectionBytes: 3_000_000,
  connections: 20,
  requests: 10,
  pipelinedRequests: 4,
  bodyTimeoutMilliseconds: 60_000,
  bodyStallMilliseconds: 15_000,
};

const PORTION_BYTES = 65_536;

/** One thing that happens to one of the connections. */
const eventArbitrary = fc.record({
  kind: fc.constantFrom('open', 'begin', 'read', 'end', 'drain', 'unsent', 'close', 'evict'),
  index: fc.nat(),
  bytes: fc.integer({ min: 1, max: PORTION_BYTES }),
});

interface OpenRequest {
  readonly account: CallerAccount;
  readonly holding: RequestHolding;
}

/** Plays events as the guard and the front ends do, which ask before they read. */
class Play {
  readonly memory = new CallerMemory(LIMITS);

  readonly accounts: CallerAccount[] = [];

  readonly requests: OpenRequest[] = [];

  private now = 0;

  run({ kind, index, bytes }: { kind: string; index: number; bytes: number }): void {
    this.now += 100;
    const account = this.accounts[index % Math.max(1, this.accounts.length)];
    const request = this.requests[index % Math.max(1, this.requests.length)];
    switch (kind) {
      case 'open':
        this.open();
        break;
      case 'begin':
        if (account !== undefined && this.memory.pauseReasonFor(account, bytes) === undefined) {
          this.requests.push({ account, holding: account.beginRequest(bytes) });
        }
        break;
      case 'read':
        if (
          request !== undefined &&
          this.memory.pauseReasonFor(request.account, bytes) === undefined
        ) {
          request.holding.resize(request.holding.heldBytes + bytes);
        }
        break;
      case 'end':
        request?.holding.release();
        request?.holding.release();
        break;
      case 'drain':
        account?.setUnsent(0);
        break;
      case 'unsent':
        if (account !== undefined && this.memory.pauseReasonFor(account, bytes) === undefined) {
          account.setUnsent(bytes);
        }
        break;
      case 'close':
        account?.close();
        account?.close();
        break;
      default:
        [...this.memory.victims(this.now, 0)].slice(0, 1).forEach((victim) => victim.close());
    }
  }

  closeAll(): void {
    this.accounts.forEach((account) => account.close());
    this.requests.forEach(({ holding }) => holding.release());
  }

  private open(): void {
    if (this.memory.hasAllConnections) {
      const victim = this.memory.victimForConnection(this.now, () => true);
      if (victim === undefined) {
        return;
      }
      victim.close();
    }
    this.accounts.push(this.memory.open(this.now));
  }
}

// Guards against an account of the memory that drifts from what is held, so that the process exceeds its
// limits or refuses callers although nothing is held.
describe('CallerMemory', () => {
  it('stays under its limits for any order of events', () => {
    fc.assert(
      fc.property(fc.array(eventArbitrary, { maxLength: 300 }), (events) => {
        const play = new Play();
        for (const event of events) {
          play.run(event);
          const { usedBytes, connections } = play.memory;
          // Connections themselves are limited by their number.
          const limit = LIMITS.memoryBytes + LIMITS.connections * CONNECTION_COST_BYTES;
          expect(usedBytes).toBeLessThanOrEqual(limit);
          expect(usedBytes).toBeGreaterThanOrEqual(0);
          expect(connections).toBeLessThanOrEqual(LIMITS.connections);
        }
      }),
    );
  });

  it('holds nothing once all connections have closed', () => {
    fc.assert(
      fc.property(fc.array(eventArbitrary, { maxLength: 300 }), (events) => {
        const play = new Play();
        events.forEach((event) => play.run(event));
        play.closeAll();
        expect(play.memory).toMatchObject({ usedBytes: 0, openRequests: 0, connections: 0 });
      }),
    );
  });

  it('keeps the reserve for connections that hold little', () => {
    const memory = new CallerMemory(LIMITS);
    for (let index = 0; index < 2; index += 1) {
      memory.open(0).beginRequest(2_950_000);
    }
    const large = memory.open(0);
    large.beginRequest(ORDINARY_CONNECTION_BYTES);
    const ordinary = memory.open(0);
    expect(memory.pauseReasonFor(large, PORTION_BYTES)).toBe(PauseReason.Memory);
    expect(memory.pauseReasonFor(ordinary, 100_000)).toBeUndefined();
  });

  it('stops reading a connection whose pipelined requests wait, but not a body that is due', () => {
    const memory = new CallerMemory(LIMITS);
    const account = memory.open(0);
    for (let index = 0; index < LIMITS.pipelinedRequests; index += 1) {
      account.beginRequest(1000);
    }
    expect(memory.pauseReasonFor(account, 100)).toBe(PauseReason.PipelinedRequests);
    account.readingSinceMilliseconds = 0;
    expect(memory.pauseReasonFor(account, 100)).toBeUndefined();
  });

  it('evicts those that have made no progress for the longest time first, and none that wait for endpoints', () => {
    const memory = new CallerMemory(LIMITS);
    const [first, second, third, handling] = [3000, 1000, 2000, 0].map((now) => memory.open(now));
    [first, second, third].forEach((account) => account?.setUnsent(1000));
    handling?.beginRequest(100_000);
    expect(handling?.phase).toBe(CallerPhase.Handling);
    expect([...memory.victims(3500, 0)]).toEqual([second, third]);
    expect(memory.victimForConnection(3500, () => true)).toBe(second);
    expect(first?.phase).toBe(CallerPhase.Writing);
  });

  // Guards against a crowd that pipelines on all connections, so that no other caller gets one.
  it('closes the connection with the most pipelined requests for another one', () => {
    const memory = new CallerMemory(LIMITS);
    const [single, few, most, reading] = [0, 0, 0, 0].map((now) => memory.open(now));
    [single, few, few, most, most, most, reading].forEach((account) => account?.beginRequest(100));
    Object.assign(reading ?? {}, { readingSinceMilliseconds: 0 });
    expect(memory.victimForConnection(500, () => true)).toBe(most);
    expect(memory.victimForConnection(1500, () => true)).toBe(reading);
    [few, most, reading].forEach((account) => account?.close());
    expect(memory.victimForConnection(1500, () => true)).toBeUndefined();
    expect(single?.phase).toBe(CallerPhase.Handling);
  });

  // Guards against a request that was passed on and whose connection is closed for another one.
  it('closes no connection on which a request was passed on and may not be closed', () => {
    const memory = new CallerMemory(LIMITS);
    const [handling, pipelining, body] = [0, 0, 0].map((now) => memory.open(now));
    [handling, pipelining, pipelining, body, body].forEach((account) => account?.beginRequest(100));
    Object.assign(body ?? {}, { readingSinceMilliseconds: 0 });
    expect(memory.victimForConnection(5000, () => false)).toBeUndefined();
    expect(memory.victimForConnection(5000, (account) => account === body)).toBe(body);
    const idle = memory.open(5000);
    expect(memory.victimForConnection(5000, () => false)).toBe(idle);
  });

  // Guards against a connection that is open for long after a crowd has taken all others.
  it('retires the connections with the most pipelined requests once nearly all are open', () => {
    const memory = new CallerMemory(LIMITS);
    const accounts = Array.from({ length: LIMITS.connections - 3 }, () => memory.open(0));
    [0, 1, 1, 2, 2, 2].forEach((index) => accounts[index]?.beginRequest(100));
    expect(memory.retire()).toBeUndefined();
    memory.open(0);
    expect([1, 2, 3].map(() => memory.retire())).toEqual([accounts[2], accounts[1], undefined]);
    expect([...memory.retired]).toEqual([accounts[2], accounts[1]]);
  });

  // Guards against an ordinary caller that is refused because the crowd beside it holds all memory.
  it('does not evict a small connection soon that waits for memory itself', () => {
    const memory = new CallerMemory(LIMITS);
    const [ordinary, large] = [memory.open(0), memory.open(0)];
    ordinary.setUnsent(1000);
    large.setUnsent(ORDINARY_CONNECTION_BYTES);
    [ordinary, large].forEach((account) => account.setWaitingForMemory(true, 0));
    expect([...memory.victims(1500, 0)]).toEqual([large]);
    expect([...memory.victims(3000, 0)]).toEqual([ordinary, large]);
  });

  it('evicts a body that still makes progress once others have waited for long', () => {
    const memory = new CallerMemory(LIMITS);
    const [older, newer] = [memory.open(0), memory.open(0)];
    for (const [index, account] of [older, newer].entries()) {
      account.beginRequest(100_000);
      account.readingSinceMilliseconds = index;
      account.progressMilliseconds = 9900;
    }
    expect([...memory.victims(10_000, 2000)]).toEqual([]);
    expect([...memory.victims(10_000, 3000)]).toEqual([older, newer]);
  });
});
