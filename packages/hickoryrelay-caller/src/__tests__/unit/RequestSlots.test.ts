import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { callerLimitsOf } from 'hickoryrelay-caller/CallerLimits';
import { CallerMemory } from 'hickoryrelay-caller/CallerMemory';
import { RequestSlots, WaitingRequest } from 'hickoryrelay-caller/RequestSlots';

import type { CallerAccount } from 'hickoryrelay-caller/CallerAccount';

const LIMIT = 8;
const CONNECTIONS = 12;

class Request extends WaitingRequest {
  override readonly account: CallerAccount;

  readonly number: number;

  state = 'waiting';

  constructor(account: CallerAccount, number: number) {
    super();
    this.account = account;
    this.number = number;
  }

  override run(): void {
    this.state = 'running';
  }

  override refuse(): void {
    this.state = 'refused';
  }
}

const eventArbitrary = fc.record({
  isEnd: fc.boolean(),
  index: fc.nat(),
});

function openAccounts(): CallerAccount[] {
  const memory = new CallerMemory(
    callerLimitsOf({ memoryMegabytes: 256, fileDescriptors: 1000, heapBytes: 134_217_728 }),
  );
  return Array.from({ length: CONNECTIONS }, () => memory.open(0));
}

// Guards against more requests at endpoints than there are descriptors for, requests that are overtaken by later ones
// of their connection or run beside them, and requests that wait although nothing runs.
describe('RequestSlots', () => {
  it('never runs more requests than there are slots, and keeps the order of each connection', () => {
    fc.assert(
      fc.property(fc.array(eventArbitrary, { maxLength: 200 }), (events) => {
        const slots = new RequestSlots(LIMIT);
        const accounts = openAccounts();
        const requests: Request[] = [];
        const statesOf = (state: string) => requests.filter((request) => request.state === state);
        for (const { isEnd, index } of events) {
          const running = statesOf('running');
          if (!isEnd) {
            const request = new Request(
              accounts[index % CONNECTIONS] as CallerAccount,
              requests.length,
            );
            requests.push(request);
            slots.enter(request);
          } else if (running.length > 0) {
            const request = running[index % running.length] as Request;
            request.state = 'ended';
            slots.release(request.account);
          }
          expect(slots.running).toBe(statesOf('running').length);
          expect(slots.running).toBeLessThanOrEqual(LIMIT);
          const runningAccounts = statesOf('running').map(({ account }) => account);
          expect(new Set(runningAccounts).size).toBe(runningAccounts.length);
          for (const waiting of statesOf('waiting')) {
            const isOvertaken = requests.some(
              ({ account, number, state }) =>
                account === waiting.account && number > waiting.number && state !== 'waiting',
            );
            expect(isOvertaken).toBe(false);
          }
        }
        for (const request of requests) {
          if (request.state === 'running') {
            request.state = 'ended';
            slots.release(request.account);
          }
        }
        for (let next = statesOf('running'); next.length > 0; next = statesOf('running')) {
          (next[0] as Request).state = 'ended';
          slots.release((next[0] as Request).account);
        }
        expect(statesOf('waiting')).toEqual([]);
      }),
    );
  });

  it('keeps all other slots for connections without another request', () => {
    const slots = new RequestSlots(LIMIT);
    const [pipelining, ...others] = openAccounts() as [CallerAccount, ...CallerAccount[]];
    const pipelined = Array.from({ length: 20 }, (_, number) => new Request(pipelining, number));
    pipelined.forEach((request) => slots.enter(request));
    expect(pipelined.filter(({ state }) => state === 'running')).toHaveLength(1);
    const ordinary = others.slice(0, LIMIT - 1).map((account) => new Request(account, 0));
    ordinary.forEach((request) => slots.enter(request));
    expect(ordinary.filter(({ state }) => state !== 'running')).toEqual([]);
  });

  it('refuses at once the first request of a connection that would wait for other callers', () => {
    const slots = new RequestSlots(LIMIT);
    const requests = openAccounts().map((account, number) => new Request(account, number));
    requests.forEach((request) => slots.enter(request));
    expect(requests.filter(({ state }) => state === 'running')).toHaveLength(LIMIT);
    expect(requests.filter(({ state }) => state === 'refused')).toHaveLength(CONNECTIONS - LIMIT);
  });

  it('forgets the waiting requests of a connection that has closed', () => {
    const slots = new RequestSlots(LIMIT);
    const [account] = openAccounts() as [CallerAccount];
    const requests = Array.from({ length: 7 }, (_, number) => new Request(account, number));
    requests.forEach((request) => slots.enter(request));
    slots.forget(account);
    slots.release(account);
    expect(requests.slice(1).filter(({ state }) => state !== 'waiting')).toEqual([]);
    expect(slots.running).toBe(0);
  });
});
