import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { failureOf } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { ModelOperation } from 'hickoryrelay-link/Call';

import { AdmissionQueue } from '../../AdmissionQueue.js';
import { FixedCapacity } from '../../CallCapacity.js';
import { CallCostModel } from '../../CallCost.js';
import { FairShare } from '../../FairShare.js';
import { CollectedRemoteUse } from '../../RemoteUse.js';

import type { AdmissionTicket } from '../../AdmissionPolicy.js';
import type { ModelCall } from 'hickoryrelay-link/Call';

const SEED = 20_261_204;
const RUNS = 200;
const BURST = 500;
const LATENESS: Readonly<Record<string, number>> = { urgent: 1000, patient: 1e9, calm: 2e9 };

/** Drives a queue by hand and keeps what became of each call. */
class QueueDriver {
  readonly clock = new ManualClock();

  readonly remoteUse = new CollectedRemoteUse(() => {});

  readonly queue: AdmissionQueue;

  readonly running: { call: ModelCall; ticket: AdmissionTicket }[] = [];

  readonly admitted: ModelCall[] = [];

  readonly refused: { call: ModelCall; kind: string; retryAfterSeconds: number }[] = [];

  readonly aborts = new Map<ModelCall, AbortController>();

  private made = 0;

  constructor(capacity: number, limit: number) {
    this.queue = new AdmissionQueue({
      clock: this.clock,
      costs: new CallCostModel(
        () => ({ prefillMilliseconds: 1, decodeMilliseconds: 0 }),
        () => 0,
      ),
      capacity: new FixedCapacity(capacity),
      remoteUse: this.remoteUse,
      latenessMilliseconds: (className) => LATENESS[className] ?? 0,
      limit,
      share: new FairShare({ burst: BURST, debtLimit: 1e6 }),
    });
  }

  async admit(account: string, className: string, promptTokens: number): Promise<ModelCall> {
    this.made += 1;
    const now = this.clock.monotonicMilliseconds();
    const call: ModelCall = {
      kind: WorkKind.Model,
      requestIdentifier: `${this.made}`,
      accountName: account,
      keyIdentifier: undefined,
      className,
      arrivalMilliseconds: now,
      deadlineMilliseconds: now + 1e9,
      isIdempotent: true,
      idempotencyKey: undefined,
      operation: ModelOperation.Completions,
      model: 'model-one',
      parameters: {},
      isStreaming: true,
      includesUsage: false,
      promptTokens,
    };
    const abort = new AbortController();
    this.aborts.set(call, abort);
    this.queue.admit(call, abort.signal).then(
      (ticket) => {
        this.running.push({ call, ticket });
        this.admitted.push(call);
      },
      (error: unknown) => {
        const failure = failureOf(error);
        const retryAfterSeconds =
          failure.kind === FailureKind.Overloaded ? failure.retryAfterSeconds : 0;
        this.refused.push({ call, kind: failure.kind, retryAfterSeconds });
      },
    );
    await QueueDriver.settle();
    return call;
  }

  async release(index = 0): Promise<ModelCall | undefined> {
    const [ended] = this.running.splice(index % Math.max(1, this.running.length), 1);
    ended?.ticket.release();
    await QueueDriver.settle();
    return ended?.call;
  }

  static async settle(): Promise<void> {
    for (let turn = 0; turn < 4; turn += 1) {
      await Promise.resolve();
    }
  }

  servedCost(account: string): number {
    return this.admitted
      .filter(({ accountName }) => accountName === account)
      .reduce((sum, { promptTokens }) => sum + promptTokens, 0);
  }
}

const commandArbitrary = fc.oneof(
  fc.record({
    type: fc.constant('admit' as const),
    account: fc.constantFrom('a', 'b', 'c'),
    className: fc.constantFrom('urgent', 'patient', 'calm'),
    tokens: fc.integer({ min: 1, max: 400 }),
  }),
  fc.record({ type: fc.constant('release' as const), index: fc.nat(20) }),
  fc.record({ type: fc.constant('abort' as const), index: fc.nat(40) }),
  fc.record({
    type: fc.constant('advance' as const),
    milliseconds: fc.integer({ min: 1, max: 700 }),
  }),
);

describe('AdmissionQueue', () => {
  // Guards against a queue that grows without bound, callers that left but still hold a place,
  // refused calls that run all the same, and room that stays unused while calls wait.
  it('keeps its bounds under any order of events', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandArbitrary, { minLength: 20, maxLength: 120 }),
        fc.integer({ min: 1, max: 4 }),
        fc.integer({ min: 1, max: 8 }),
        async (commands, capacity, limit) => {
          const driver = new QueueDriver(capacity, limit);
          const calls: ModelCall[] = [];
          for (const command of commands) {
            if (command.type === 'admit') {
              calls.push(await driver.admit(command.account, command.className, command.tokens));
            } else if (command.type === 'release') {
              await driver.release(command.index);
            } else if (command.type === 'advance') {
              await driver.clock.advance(command.milliseconds);
            } else if (calls.length > 0) {
              const call = calls[command.index % calls.length];
              const before = driver.queue.size;
              const isWaiting =
                call !== undefined &&
                !driver.admitted.includes(call) &&
                !driver.refused.some((each) => each.call === call);
              if (call !== undefined) {
                driver.aborts.get(call)?.abort();
              }
              expect(driver.queue.size).toBe(isWaiting ? before - 1 : before);
              await QueueDriver.settle();
            }
            const { queue, admitted, refused, running } = driver;
            expect(queue.size).toBeLessThanOrEqual(limit);
            expect(queue.admitted).toBe(running.length);
            expect(running.length).toBeLessThanOrEqual(capacity);
            expect(calls.length).toBe(admitted.length + refused.length + queue.size);
            expect(refused.some(({ call }) => admitted.includes(call))).toBe(false);
            expect(queue.size > 0 && running.length < capacity).toBe(false);
          }
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against an account that floods with urgent calls and takes the share of the others.
  it('gives each waiting account its max-min fair share within a bound', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 300, maxLength: 300 }),
        fc.integer({ min: 2, max: 5 }),
        fc.integer({ min: 1, max: 4 }),
        async (sizes, accountCount, capacity) => {
          const driver = new QueueDriver(capacity, 1000);
          const accounts = Array.from({ length: accountCount }, (empty, index) => `a${index}`);
          for (const [index, tokens] of sizes.entries()) {
            const account = accounts[index % accountCount] ?? '';
            await driver.admit(account, account === 'a0' ? 'patient' : 'calm', tokens);
          }
          const rounds = Math.floor(sizes.length / accountCount / 2);
          for (let round = 0; round < rounds; round += 1) {
            await driver.release();
          }
          const costs = accounts.map((account) => driver.servedCost(account));
          const total = costs.reduce((sum, cost) => sum + cost, 0);
          const bound = 2 * BURST + 400 * capacity;
          expect(Math.min(...costs)).toBeGreaterThanOrEqual(total / accountCount - bound);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against starvation of a light account by floods, whatever the order by slack says.
  it('serves a call of a light account within the others bounds of a burst', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 4 }),
        fc.integer({ min: 10, max: 300 }),
        async (floods, tokens) => {
          const driver = new QueueDriver(1, 5000);
          for (let index = 0; index < floods * 100; index += 1) {
            await driver.admit(`flood${index % floods}`, 'patient', tokens);
          }
          for (let served = 0; served < 20; served += 1) {
            await driver.release();
          }
          const light = await driver.admit('light', 'calm', tokens);
          const servedBefore = driver.admitted.length;
          while (!driver.admitted.includes(light)) {
            const released = await driver.release();
            expect(released).toBeDefined();
            const bound = floods * Math.ceil((2 * BURST) / tokens + 2);
            expect(driver.admitted.length - servedBefore).toBeLessThanOrEqual(bound);
          }
        },
      ),
      { seed: SEED, numRuns: 50 },
    );
  });

  // Guards against an account that exceeds its share by spreading its calls over instances.
  it('charges the cost that an account used at other instances', async () => {
    const driver = new QueueDriver(1, 1000);
    for (let index = 0; index < 200; index += 1) {
      await driver.admit(index % 2 === 0 ? 'spread' : 'local', 'patient', 100);
    }
    driver.remoteUse.add([['spread', 5000]]);
    for (let served = 0; served < 50; served += 1) {
      await driver.release();
      await driver.clock.advance(60);
    }
    expect(driver.servedCost('local')).toBeGreaterThanOrEqual(5000 - BURST);
    expect(driver.servedCost('spread')).toBeLessThanOrEqual(BURST);
  });

  // Guards against an order by arrival, which makes calls with a near target late for nothing.
  it('starts the call with the least slack first among accounts within their share', async () => {
    const driver = new QueueDriver(1, 100);
    await driver.admit('a', 'patient', 10);
    const calm = await driver.admit('a', 'calm', 10);
    const urgent = await driver.admit('b', 'urgent', 10);
    await driver.release();
    expect(driver.admitted.at(-1)).toBe(urgent);
    await driver.release();
    expect(driver.admitted.at(-1)).toBe(calm);
  });

  // Guards against calls that wait in vain: they take room and the caller learns of it too late.
  it('refuses calls that cannot meet their target, with a time from the queue', async () => {
    const driver = new QueueDriver(1, 1000);
    for (let index = 0; index < 100; index += 1) {
      await driver.admit('a', 'patient', 100);
    }
    for (let index = 0; index < 10; index += 1) {
      await driver.clock.advance(100);
      await driver.release();
    }
    await driver.admit('a', 'urgent', 100);
    const [refusal] = driver.refused;
    expect(refusal?.kind).toBe(FailureKind.Overloaded);
    expect(refusal?.retryAfterSeconds).toBeGreaterThanOrEqual(4);
    expect(refusal?.retryAfterSeconds).toBeLessThanOrEqual(12);
  });

  it('refuses a waiting call once its target cannot be met', async () => {
    const driver = new QueueDriver(1, 1000);
    await driver.admit('a', 'patient', 100);
    const late = await driver.admit('a', 'urgent', 100);
    await driver.admit('b', 'patient', 100);
    await driver.clock.advance(1000);
    expect(driver.refused.map(({ call }) => call)).toEqual([late]);
  });

  // Guards against a flood that fills the queue and shuts out the accounts that wait for little.
  it('makes place in a full queue at the cost of the account that waits for most', async () => {
    const driver = new QueueDriver(1, 10);
    for (let index = 0; index < 11; index += 1) {
      await driver.admit('flood', 'patient', 100);
    }
    await driver.admit('light', 'patient', 100);
    await driver.admit('flood', 'patient', 100);
    expect(driver.refused.map(({ call }) => call.accountName)).toEqual(['flood', 'flood']);
    expect(driver.queue.size).toBe(10);
  });

  // Guards against one long call that costs its class several refusals.
  it('refuses one costly call rather than several small ones of its class', async () => {
    const driver = new QueueDriver(1, 100);
    for (let index = 0; index < 20; index += 1) {
      await driver.admit('b', 'patient', 50);
      await driver.admit('c', 'patient', 50);
    }
    for (let index = 0; index < 11; index += 1) {
      await driver.clock.advance(50);
      await driver.release();
    }
    driver.remoteUse.add([['a', 5000]]);
    const costly = await driver.admit('a', 'urgent', 390);
    const small = await driver.admit('a', 'urgent', 10);
    expect(driver.refused.map(({ call }) => call)).toContain(costly);
    expect(driver.refused.map(({ call }) => call)).not.toContain(small);
  });

  // Guards against charges that stay at the estimate: long answers would then be free.
  it('charges what the answer turned out to be', async () => {
    const costs = new CallCostModel(
      () => ({ prefillMilliseconds: 1, decodeMilliseconds: 2 }),
      () => 60,
    );
    const driver = new QueueDriver(1, 10);
    const call = await driver.admit('a', 'patient', 100);
    const estimate = costs.estimate(call);
    expect(estimate.prefill).toBe(40);
    expect(costs.settle(call, estimate, 500).total).toBe(1040);
    for (let index = 0; index < 100; index += 1) {
      costs.settle(call, estimate, 500);
    }
    expect(costs.estimate(call).decode).toBeCloseTo(1000, 0);
  });
});
