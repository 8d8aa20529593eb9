import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { failureOf } from 'hickoryrelay/RelayError';
import { AdmissionQueue } from 'hickoryrelay-admission/AdmissionQueue';
import { FixedCapacity } from 'hickoryrelay-admission/CallCapacity';
import { FairShare } from 'hickoryrelay-admission/FairShare';
import { BufferedRemoteUsage } from 'hickoryrelay-admission/RemoteUsage';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { ModelOperation } from 'hickoryrelay-link/Call';

import { CallCostModel } from '../../CallCostModel.js';

import type { AdmissionTicket } from 'hickoryrelay-admission/AdmissionPolicy';
import type { CallSlots } from 'hickoryrelay-admission/CallCapacity';
import type { Call, ModelCall } from 'hickoryrelay-link/Call';

const SEED = 20_261_204;
const RUNS = 200;
const BURST_COST = 500;
const LATENESS_MILLISECONDS: Readonly<Record<string, number>> = {
  urgent: 1000,
  patient: 1e9,
  calm: 2e9,
};

/** Specification of the reservation, repeated here so that the check is independent of the code. */
const MAXIMUM_RESERVED_FRACTION = 0.5;
const ACTIVITY_TIMEOUT_MILLISECONDS = 10_000;
const DECAY_TIME_CONSTANT_MILLISECONDS = 30_000;
const INTERVAL_MILLISECONDS = 5000;
const POLL_INTERVAL_MILLISECONDS = 50;
const ROUNDING_TOLERANCE = 1e-9;

/** A fixed capacity that records when the queue last polled it. */
class ObservedCapacity extends FixedCapacity {
  lastPollMilliseconds = 0;

  private readonly clock: ManualClock;

  constructor(limit: number, clock: ManualClock) {
    super(limit);
    this.clock = clock;
  }

  override slotsFor(call: ModelCall, admitted: number): CallSlots {
    this.lastPollMilliseconds = this.clock.monotonicMilliseconds();
    return super.slotsFor(call, admitted);
  }
}

/** Computes how many slots an account may leave free, from the complete history of calls. */
class ReservationOracle {
  private readonly events: { account: string; change: 1 | 0 | -1; cost: number; at: number }[] = [];

  arrive(account: string, at: number): void {
    this.events.push({ account, change: 1, cost: 0, at });
  }

  start(account: string, cost: number, at: number): void {
    this.events.push({ account, change: 0, cost, at });
  }

  end(account: string, at: number): void {
    this.events.push({ account, change: -1, cost: 0, at });
  }

  maximumReserved(account: string, capacity: number, now: number): number {
    return Math.min(
      this.excessRatio(account, now) * MAXIMUM_RESERVED_FRACTION * capacity,
      this.peakOfOthers(account, now),
    );
  }

  /**
   * Peak of the others' concurrent calls, queued or running, in the current and last 5 s interval.
   */
  private peakOfOthers(account: string, now: number): number {
    const since = (Math.floor(now / INTERVAL_MILLISECONDS) - 1) * INTERVAL_MILLISECONDS;
    const others = this.events.filter((event) => event.account !== account);
    let current = others
      .filter(({ at }) => at < since)
      .reduce((sum, { change }) => sum + change, 0);
    let peak = current;
    for (const { change } of others.filter(({ at }) => at >= since)) {
      current += change;
      peak = Math.max(peak, current);
    }
    return peak;
  }

  private excessRatio(account: string, now: number): number {
    const usageByAccount = new Map<string, { usage: number; at: number }>();
    for (const { account: user, at, change, cost } of this.events) {
      if (change >= 0) {
        const previous = usageByAccount.get(user);
        const age = at - (previous?.at ?? at);
        const before = age > ACTIVITY_TIMEOUT_MILLISECONDS ? 0 : (previous?.usage ?? 0);
        usageByAccount.set(user, {
          usage: before * Math.exp(-age / DECAY_TIME_CONSTANT_MILLISECONDS) + cost,
          at,
        });
      }
    }
    const active = [...usageByAccount].filter(
      ([, { at }]) => now - at <= ACTIVITY_TIMEOUT_MILLISECONDS,
    );
    const recent = new Map(
      active.map(([user, { at, usage }]) => [
        user,
        usage * Math.exp((at - now) / DECAY_TIME_CONSTANT_MILLISECONDS),
      ]),
    );
    const total = [...recent.values()].reduce((sum, usage) => sum + usage, 0);
    if (recent.size < 2 || total === 0) {
      return 0;
    }
    return Math.min(1, Math.max(0, ((recent.get(account) ?? 0) * recent.size) / total - 1));
  }
}

/** Drives a queue on a manual clock and records the outcome of each call. */
class QueueDriver {
  readonly clock = new ManualClock();

  readonly remoteUsage = new BufferedRemoteUsage(() => {});

  readonly queue: AdmissionQueue<Call>;

  readonly running: { call: ModelCall; ticket: AdmissionTicket }[] = [];

  readonly admitted: ModelCall[] = [];

  readonly refused: { call: ModelCall; kind: string; retryAfterSeconds: number }[] = [];

  readonly waiting = new Set<ModelCall>();

  readonly oracle = new ReservationOracle();

  readonly capacity: ObservedCapacity;

  readonly aborts = new Map<ModelCall, AbortController>();

  private createdCalls = 0;

  constructor(capacity: number, limit: number, burst = BURST_COST) {
    this.capacity = new ObservedCapacity(capacity, this.clock);
    this.queue = new AdmissionQueue({
      clock: this.clock,
      costs: new CallCostModel(
        () => ({ prefillMilliseconds: 1, decodeMilliseconds: 0 }),
        () => 0,
      ),
      capacity: this.capacity,
      remoteUsage: this.remoteUsage,
      latenessMilliseconds: (className) => LATENESS_MILLISECONDS[className] ?? 0,
      limit,
      share: new FairShare({ burst, debtLimit: 1e6 }),
    });
  }

  async admit(
    account: string,
    className: string,
    promptTokens: number,
    model = 'model-one',
  ): Promise<ModelCall> {
    this.createdCalls += 1;
    const now = this.clock.monotonicMilliseconds();
    const call: ModelCall = {
      kind: WorkKind.Model,
      requestIdentifier: `${this.createdCalls}`,
      accountName: account,
      keyIdentifier: undefined,
      className,
      arrivalMilliseconds: now,
      deadlineMilliseconds: now + 1e9,
      isIdempotent: true,
      idempotencyKey: undefined,
      operation: ModelOperation.Completions,
      model,
      parameters: {},
      isStreaming: true,
      includesUsage: false,
      promptTokens,
    };
    const abort = new AbortController();
    this.aborts.set(call, abort);
    this.waiting.add(call);
    this.oracle.arrive(account, now);
    this.queue.admit(call, abort.signal).then(
      (ticket) => {
        this.waiting.delete(call);
        this.oracle.start(account, promptTokens, this.clock.monotonicMilliseconds());
        this.running.push({ call, ticket });
        this.admitted.push(call);
      },
      (error: unknown) => {
        this.waiting.delete(call);
        this.oracle.end(account, this.clock.monotonicMilliseconds());
        const failure = failureOf(error);
        const retryAfterSeconds =
          failure.kind === FailureKind.Overloaded ? failure.retryAfterSeconds : 0;
        this.refused.push({ call, kind: failure.kind, retryAfterSeconds });
      },
    );
    await QueueDriver.flushMicrotasks();
    return call;
  }

  async release(index = 0): Promise<ModelCall | undefined> {
    const [ended] = this.running.splice(index % Math.max(1, this.running.length), 1);
    if (ended !== undefined) {
      this.oracle.end(ended.call.accountName ?? '', this.clock.monotonicMilliseconds());
      ended.ticket.release();
    }
    await QueueDriver.flushMicrotasks();
    return ended?.call;
  }

  static async flushMicrotasks(): Promise<void> {
    for (let turn = 0; turn < 4; turn += 1) {
      await Promise.resolve();
    }
  }

  /**
   * Checks that calls are queued while slots are free only if the reservation requires it, as of
   * the last poll. With a bound of 0, no call may be queued while a slot is free.
   */
  checkFreeSlots(capacity: number): void {
    const free = capacity - this.running.length;
    if (this.queue.size === 0 || free <= 0) {
      return;
    }
    const { lastPollMilliseconds } = this.capacity;
    const sinceLastPoll = this.clock.monotonicMilliseconds() - lastPollMilliseconds;
    expect(sinceLastPoll).toBeLessThanOrEqual(POLL_INTERVAL_MILLISECONDS);
    expect(this.waiting.size).toBe(this.queue.size);
    for (const { accountName } of this.waiting) {
      const maximumReserved = this.oracle.maximumReserved(
        accountName ?? '',
        capacity,
        lastPollMilliseconds,
      );
      expect(free).toBeLessThanOrEqual(maximumReserved + ROUNDING_TOLERANCE);
    }
  }

  servedCost(account: string): number {
    return this.admitted
      .filter(({ accountName }) => accountName === account)
      .reduce((sum, { promptTokens }) => sum + promptTokens, 0);
  }
}

/**
 * Generates events on a queue. `maximumAdvanceMilliseconds` bounds the time between two of them.
 */
function commandsOf(accounts: readonly string[], maximumAdvanceMilliseconds: number) {
  return fc.oneof(
    fc.record({
      type: fc.constant('admit' as const),
      account: fc.constantFrom(...accounts),
      className: fc.constantFrom('urgent', 'patient', 'calm'),
      tokens: fc.integer({ min: 1, max: 400 }),
    }),
    fc.record({ type: fc.constant('release' as const), index: fc.nat(20) }),
    fc.record({ type: fc.constant('abort' as const), index: fc.nat(40) }),
    fc.record({
      type: fc.constant('advance' as const),
      milliseconds: fc.integer({ min: 1, max: maximumAdvanceMilliseconds }),
    }),
  );
}

type Command = ReturnType<typeof commandsOf> extends fc.Arbitrary<infer Value> ? Value : never;

/** Runs the commands, and checks the limits of the queue and its free slots after each. */
async function checkInvariants(
  driver: QueueDriver,
  commands: readonly Command[],
  capacity: number,
  limit: number,
  checkFreeSlots: () => void,
): Promise<void> {
  const calls: ModelCall[] = [...driver.aborts.keys()];
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
      await QueueDriver.flushMicrotasks();
    }
    const { queue, admitted, refused, running } = driver;
    expect(queue.size).toBeLessThanOrEqual(limit);
    expect(queue.admitted).toBe(running.length);
    expect(running.length).toBeLessThanOrEqual(capacity);
    expect(calls.length).toBe(admitted.length + refused.length + queue.size);
    expect(refused.some(({ call }) => admitted.includes(call))).toBe(false);
    checkFreeSlots();
  }
}

describe('AdmissionQueue', () => {
  // Guards against a queue that grows without bound, cancelled calls that stay queued, rejected
  // calls that run, and slots left free beyond the reservation while calls are queued. Only
  // accounts above an equal share of the recent usage may leave slots free, and no more than the
  // recent peak of the others' concurrent calls.
  it('keeps its limits under any order of events', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandsOf(['a', 'b', 'c'], 700), { minLength: 20, maxLength: 120 }),
        fc.integer({ min: 1, max: 8 }),
        fc.integer({ min: 1, max: 8 }),
        async (commands, capacity, limit) => {
          const driver = new QueueDriver(capacity, limit);
          await checkInvariants(driver, commands, capacity, limit, () => {
            driver.checkFreeSlots(capacity);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against a reservation that outlasts the activity of the accounts that it is for.
  it('keeps the limits of its reservation while accounts become active and inactive', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandsOf(['a', 'a', 'a', 'b', 'c'], 4000), { minLength: 60, maxLength: 120 }),
        fc.integer({ min: 2, max: 8 }),
        async (commands, capacity) => {
          // With a small burst, accounts above their share are often the only eligible ones.
          const driver = new QueueDriver(capacity, 8, BURST_COST / 10);
          await checkInvariants(driver, commands, capacity, 8, () => {
            driver.checkFreeSlots(capacity);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against a reservation without beneficiaries: with a single account, no slot may stay
  // free while calls are queued.
  it('keeps its limits and leaves no slot free with a single account', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandsOf(['a'], 700), { minLength: 20, maxLength: 120 }),
        fc.integer({ min: 1, max: 4 }),
        fc.integer({ min: 1, max: 8 }),
        async (commands, capacity, limit) => {
          const driver = new QueueDriver(capacity, limit);
          const { queue, running } = driver;
          await checkInvariants(driver, commands, capacity, limit, () => {
            expect(queue.size > 0 && running.length < capacity).toBe(false);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against a reservation for accounts that are no longer active.
  it('keeps its limits and leaves no slot free when the others are inactive', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandsOf(['a', 'b', 'c'], 700), { minLength: 20, maxLength: 120 }),
        fc.array(commandsOf(['a'], 700), { minLength: 20, maxLength: 120 }),
        fc.integer({ min: 1, max: 4 }),
        fc.integer({ min: 1, max: 8 }),
        async (earlier, commands, capacity, limit) => {
          const driver = new QueueDriver(capacity, limit);
          const { queue, running } = driver;
          await checkInvariants(driver, earlier, capacity, limit, () => {});
          while (running.length > 0) {
            await driver.release();
          }
          await driver.clock.advance(ACTIVITY_TIMEOUT_MILLISECONDS + POLL_INTERVAL_MILLISECONDS);
          while (running.length > 0) {
            await driver.release();
          }
          await driver.clock.advance(ACTIVITY_TIMEOUT_MILLISECONDS + POLL_INTERVAL_MILLISECONDS);
          await checkInvariants(driver, commands, capacity, limit, () => {
            expect(queue.size > 0 && running.length < capacity).toBe(false);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against a reservation of more slots than the others can use, or one that outlasts their
  // activity.
  it('reserves as many slots as the recent peak of the others, and releases them after it', async () => {
    const driver = new QueueDriver(10, 100);
    await driver.admit('light', 'patient', 10);
    for (let index = 0; index < 12; index += 1) {
      await driver.admit('heavy', 'patient', 100);
    }
    expect(driver.running.length).toBe(9);
    const light = await driver.admit('light', 'patient', 10);
    expect(driver.admitted.at(-1)).toBe(light);
    await driver.clock.advance(ACTIVITY_TIMEOUT_MILLISECONDS);
    await driver.release(driver.running.findIndex(({ call }) => call === light));
    await driver.release(driver.running.findIndex(({ call }) => call.accountName === 'light'));
    // The two calls of the light account ran concurrently.
    expect(driver.running.length).toBe(8);
    await driver.clock.advance(2 * INTERVAL_MILLISECONDS + POLL_INTERVAL_MILLISECONDS);
    expect(driver.running.length).toBe(10);
  });

  // Guards against a queue full of calls that must leave slots free, which would reject the calls
  // that these slots are reserved for.
  it('starts a call that may use a reserved slot although the queue is full', async () => {
    const driver = new QueueDriver(10, 1);
    await driver.admit('light', 'patient', 10);
    for (let index = 0; index < 9; index += 1) {
      await driver.admit('heavy', 'patient', 100);
    }
    expect(driver.running.length).toBe(9);
    expect(driver.queue.size).toBe(1);
    const light = await driver.admit('light', 'patient', 200);
    expect(driver.admitted.at(-1)).toBe(light);
    expect(driver.refused).toEqual([]);
    expect(driver.queue.size).toBe(1);
  });

  // Guards against starvation of an account while others keep their calls running.
  it('starts calls held back by the reservation within seconds if their account is not served', async () => {
    const driver = new QueueDriver(10, 100);
    for (let index = 0; index < 60; index += 1) {
      await driver.admit('heavy', 'patient', 400);
      await driver.release();
    }
    for (let index = 0; index < 6; index += 1) {
      await driver.admit('light', 'calm', 100);
    }
    const held = await driver.admit('heavy', 'patient', 400);
    expect(driver.admitted.includes(held)).toBe(false);
    for (let second = 0; second < 20; second += 1) {
      await driver.clock.advance(1000);
      await driver.release(driver.running.findIndex(({ call }) => call.accountName === 'light'));
      await driver.admit('light', 'calm', 100);
    }
    expect(driver.admitted.includes(held)).toBe(true);
  });

  // Guards against calls to one model that are queued for the sake of accounts that use only
  // another.
  it('reserves no slots for accounts that use other models', async () => {
    const driver = new QueueDriver(10, 100);
    for (let index = 0; index < 3; index += 1) {
      await driver.admit('light', 'patient', 10, 'model-two');
    }
    for (let index = 0; index < 12; index += 1) {
      await driver.admit('heavy', 'patient', 100);
    }
    expect(driver.running.length).toBe(10);
  });

  // Guards against a flood that fills the endpoints while no other account has queued calls: calls
  // of the others that arrive together then get too few slots before they are late.
  it('gives each account at least 0.9 of its fair share while one floods', async () => {
    const driver = new QueueDriver(20, 500);
    const stepMilliseconds = 100;
    const ends = new Map<ModelCall, number>();
    let started = 0;
    for (let now = 0; now < 60_000; now += stepMilliseconds) {
      for (const call of [...ends.keys()].filter((each) => (ends.get(each) ?? 0) <= now)) {
        ends.delete(call);
        await driver.release(driver.running.findIndex((each) => each.call === call));
      }
      if (now % 2000 === 1000) {
        for (let index = 0; index < 8; index += 1) {
          await driver.admit(`light${index % 2}`, 'urgent', 400);
        }
      }
      await driver.admit('flood', 'patient', 400);
      await driver.admit('flood', 'patient', 400);
      for (const { call } of driver.running.filter((each) => !ends.has(each.call))) {
        // From 1 to 3 s in a fixed order, so that slots become free at all times.
        ends.set(call, now + 1000 + ((started * 700) % 2100));
        started += 1;
      }
      await driver.clock.advance(stepMilliseconds);
    }
    const demand = 30 * 4 * 400;
    expect(driver.servedCost('flood')).toBeGreaterThan(demand);
    for (const account of ['light0', 'light1']) {
      expect(driver.servedCost(account) / demand).toBeGreaterThanOrEqual(0.9);
    }
  });

  // Guards against starvation of accounts without recently admitted calls: all calls end together,
  // so that no slot becomes free while the others' calls can still meet their target.
  it('serves accounts without running calls while another floods', async () => {
    const driver = new QueueDriver(20, 500);
    for (let index = 0; index < 40; index += 1) {
      await driver.admit('flood', 'patient', 400);
    }
    for (let second = 1; second <= 60; second += 1) {
      await driver.clock.advance(400);
      await driver.admit('light0', 'urgent', 400);
      await driver.admit('light1', 'urgent', 400);
      await driver.clock.advance(600);
      for (let left = second % 2 === 0 ? driver.running.length : 0; left > 0; left -= 1) {
        await driver.release();
      }
      for (let index = 0; index < 20; index += 1) {
        await driver.admit('flood', 'patient', 400);
      }
    }
    for (const account of ['light0', 'light1']) {
      expect(driver.servedCost(account) / (60 * 400)).toBeGreaterThanOrEqual(0.9);
    }
  });

  // Guards against an account that takes the share of the others by flooding with urgent calls.
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
          const bound = 2 * BURST_COST + 400 * capacity;
          expect(Math.min(...costs)).toBeGreaterThanOrEqual(total / accountCount - bound);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against starvation of a light account by floods of calls with less slack.
  it('serves a call of a light account within the burst allowance of the others', async () => {
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
            const bound = floods * Math.ceil((2 * BURST_COST) / tokens + 2);
            expect(driver.admitted.length - servedBefore).toBeLessThanOrEqual(bound);
          }
        },
      ),
      { seed: SEED, numRuns: 50 },
    );
  });

  // Guards against an account that exceeds its share by spreading its calls across instances.
  it('charges the cost that an account incurred at other instances', async () => {
    const driver = new QueueDriver(1, 1000);
    for (let index = 0; index < 200; index += 1) {
      await driver.admit(index % 2 === 0 ? 'spread' : 'local', 'patient', 100);
    }
    driver.remoteUsage.add([['spread', 5000]]);
    for (let served = 0; served < 50; served += 1) {
      await driver.release();
      await driver.clock.advance(60);
    }
    expect(driver.servedCost('local')).toBeGreaterThanOrEqual(5000 - BURST_COST);
    expect(driver.servedCost('spread')).toBeLessThanOrEqual(BURST_COST);
  });

  // Guards against first-come, first-served order, which makes calls with a short target late
  // although others could wait.
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

  // Guards against calls that are queued although they will be late: they occupy the queue, and
  // their callers receive the rejection too late.
  it('rejects calls that cannot meet their target, with a retry delay from the expected wait', async () => {
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

  // Guards against late calls that stay queued and delay the calls behind them.
  it('rejects a queued call once its target cannot be met', async () => {
    const driver = new QueueDriver(1, 1000);
    await driver.admit('a', 'patient', 100);
    const late = await driver.admit('a', 'urgent', 100);
    await driver.admit('b', 'patient', 100);
    await driver.clock.advance(1000);
    expect(driver.refused.map(({ call }) => call)).toEqual([late]);
  });

  // Guards against a flood that fills the queue and shuts out accounts with few queued calls.
  it('evicts a call of the account with the highest queued cost from a full queue', async () => {
    const driver = new QueueDriver(1, 10);
    for (let index = 0; index < 11; index += 1) {
      await driver.admit('flood', 'patient', 100);
    }
    await driver.admit('light', 'patient', 100);
    await driver.admit('flood', 'patient', 100);
    expect(driver.refused.map(({ call }) => call.accountName)).toEqual(['flood', 'flood']);
    expect(driver.queue.size).toBe(10);
  });

  // Guards against one expensive call that causes several rejections in its class.
  it('rejects one expensive call instead of several small ones of its class', async () => {
    const driver = new QueueDriver(1, 100);
    for (let index = 0; index < 20; index += 1) {
      await driver.admit('b', 'patient', 50);
      await driver.admit('c', 'patient', 50);
    }
    for (let index = 0; index < 11; index += 1) {
      await driver.clock.advance(50);
      await driver.release();
    }
    driver.remoteUsage.add([['a', 5000]]);
    const costly = await driver.admit('a', 'urgent', 390);
    const small = await driver.admit('a', 'urgent', 10);
    expect(driver.refused.map(({ call }) => call)).toContain(costly);
    expect(driver.refused.map(({ call }) => call)).not.toContain(small);
  });

  // Guards against charges that stay at the estimate, which would make long responses free.
  it('charges the actual cost of the response', async () => {
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
