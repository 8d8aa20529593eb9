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
import { BufferedRemoteUsage } from '../../RemoteUsage.js';

import type { AdmissionTicket } from '../../AdmissionPolicy.js';
import type { CallSlots } from '../../CallCapacity.js';
import type { ModelCall } from 'hickoryrelay-link/Call';

const SEED = 20_261_204;
const RUNS = 200;
const BURST = 500;
const LATENESS: Readonly<Record<string, number>> = { urgent: 1000, patient: 1e9, calm: 2e9 };

/** What the reserve is specified by, stated here again so that the check does not follow the code. */
const RESERVED_PART = 0.5;
const ACTIVE_MILLISECONDS = 10_000;
const USE_TIME_CONSTANT_MILLISECONDS = 30_000;
const SLOT_MILLISECONDS = 5000;
const LOOK_AGAIN_MILLISECONDS = 50;
const ROUNDING = 1e-9;

/** A fixed capacity that keeps when the queue last looked at it. */
class ObservedCapacity extends FixedCapacity {
  lookedMilliseconds = 0;

  private readonly clock: ManualClock;

  constructor(limit: number, clock: ManualClock) {
    super(limit);
    this.clock = clock;
  }

  override slotsFor(call: ModelCall, admitted: number): CallSlots {
    this.lookedMilliseconds = this.clock.monotonicMilliseconds();
    return super.slotsFor(call, admitted);
  }
}

/** The most room that an account may leave free, from the whole history of calls. */
class ReserveOracle {
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

  bound(account: string, capacity: number, now: number): number {
    return Math.min(
      this.excess(account, now) * RESERVED_PART * capacity,
      this.peakOfOthers(account, now),
    );
  }

  /** Most calls that the others had at once, waiting or running, in this slot of 5 s and the last. */
  private peakOfOthers(account: string, now: number): number {
    const since = (Math.floor(now / SLOT_MILLISECONDS) - 1) * SLOT_MILLISECONDS;
    const others = this.events.filter((event) => event.account !== account);
    let running = others
      .filter(({ at }) => at < since)
      .reduce((sum, { change }) => sum + change, 0);
    let peak = running;
    for (const { change } of others.filter(({ at }) => at >= since)) {
      running += change;
      peak = Math.max(peak, running);
    }
    return peak;
  }

  private excess(account: string, now: number): number {
    const uses = new Map<string, { use: number; at: number }>();
    for (const { account: user, at, change, cost } of this.events) {
      if (change >= 0) {
        const known = uses.get(user);
        const age = at - (known?.at ?? at);
        const before = age > ACTIVE_MILLISECONDS ? 0 : (known?.use ?? 0);
        uses.set(user, {
          use: before * Math.exp(-age / USE_TIME_CONSTANT_MILLISECONDS) + cost,
          at,
        });
      }
    }
    const active = [...uses].filter(([, { at }]) => now - at <= ACTIVE_MILLISECONDS);
    const recent = new Map(
      active.map(([user, { at, use }]) => [
        user,
        use * Math.exp((at - now) / USE_TIME_CONSTANT_MILLISECONDS),
      ]),
    );
    const total = [...recent.values()].reduce((sum, use) => sum + use, 0);
    if (recent.size < 2 || total === 0) {
      return 0;
    }
    return Math.min(1, Math.max(0, ((recent.get(account) ?? 0) * recent.size) / total - 1));
  }
}

/** Drives a queue by hand and keeps what became of each call. */
class QueueDriver {
  readonly clock = new ManualClock();

  readonly remoteUsage = new BufferedRemoteUsage(() => {});

  readonly queue: AdmissionQueue;

  readonly running: { call: ModelCall; ticket: AdmissionTicket }[] = [];

  readonly admitted: ModelCall[] = [];

  readonly refused: { call: ModelCall; kind: string; retryAfterSeconds: number }[] = [];

  readonly waiting = new Set<ModelCall>();

  readonly oracle = new ReserveOracle();

  readonly capacity: ObservedCapacity;

  readonly aborts = new Map<ModelCall, AbortController>();

  private made = 0;

  constructor(capacity: number, limit: number, burst = BURST) {
    this.capacity = new ObservedCapacity(capacity, this.clock);
    this.queue = new AdmissionQueue({
      clock: this.clock,
      costs: new CallCostModel(
        () => ({ prefillMilliseconds: 1, decodeMilliseconds: 0 }),
        () => 0,
      ),
      capacity: this.capacity,
      remoteUsage: this.remoteUsage,
      latenessMilliseconds: (className) => LATENESS[className] ?? 0,
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
    await QueueDriver.settle();
    return call;
  }

  async release(index = 0): Promise<ModelCall | undefined> {
    const [ended] = this.running.splice(index % Math.max(1, this.running.length), 1);
    if (ended !== undefined) {
      this.oracle.end(ended.call.accountName ?? '', this.clock.monotonicMilliseconds());
      ended.ticket.release();
    }
    await QueueDriver.settle();
    return ended?.call;
  }

  static async settle(): Promise<void> {
    for (let turn = 0; turn < 4; turn += 1) {
      await Promise.resolve();
    }
  }

  /**
   * Every call that waits while there was room at the last look must be one that may leave it free.
   * With a bound of 0 this says that no call waits while there is room.
   */
  checkUnusedRoom(capacity: number): void {
    const free = capacity - this.running.length;
    if (this.queue.size === 0 || free <= 0) {
      return;
    }
    const { lookedMilliseconds } = this.capacity;
    const sinceLook = this.clock.monotonicMilliseconds() - lookedMilliseconds;
    expect(sinceLook).toBeLessThanOrEqual(LOOK_AGAIN_MILLISECONDS);
    expect(this.waiting.size).toBe(this.queue.size);
    for (const { accountName } of this.waiting) {
      const bound = this.oracle.bound(accountName ?? '', capacity, lookedMilliseconds);
      expect(free).toBeLessThanOrEqual(bound + ROUNDING);
    }
  }

  servedCost(account: string): number {
    return this.admitted
      .filter(({ accountName }) => accountName === account)
      .reduce((sum, { promptTokens }) => sum + promptTokens, 0);
  }
}

/** Events on a queue; `longest` is the longest time that may pass between two of them. */
function commandsOf(accounts: readonly string[], longest: number) {
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
      milliseconds: fc.integer({ min: 1, max: longest }),
    }),
  );
}

type Command = ReturnType<typeof commandsOf> extends fc.Arbitrary<infer Value> ? Value : never;

/** Runs the commands and checks the bounds of the queue, and the room left unused, after each. */
async function checkBounds(
  driver: QueueDriver,
  commands: readonly Command[],
  capacity: number,
  limit: number,
  checkRoom: () => void,
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
      await QueueDriver.settle();
    }
    const { queue, admitted, refused, running } = driver;
    expect(queue.size).toBeLessThanOrEqual(limit);
    expect(queue.admitted).toBe(running.length);
    expect(running.length).toBeLessThanOrEqual(capacity);
    expect(calls.length).toBe(admitted.length + refused.length + queue.size);
    expect(refused.some(({ call }) => admitted.includes(call))).toBe(false);
    checkRoom();
  }
}

describe('AdmissionQueue', () => {
  // Guards against a queue that grows without bound, callers that left but still hold a place,
  // refused calls that run all the same, and room that stays unused while calls wait, beyond the
  // reserve: only calls of an account beyond an equal part of the recent use may leave room free,
  // and no more than the others had at once lately.
  it('keeps its bounds under any order of events', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandsOf(['a', 'b', 'c'], 700), { minLength: 20, maxLength: 120 }),
        fc.integer({ min: 1, max: 8 }),
        fc.integer({ min: 1, max: 8 }),
        async (commands, capacity, limit) => {
          const driver = new QueueDriver(capacity, limit);
          await checkBounds(driver, commands, capacity, limit, () => {
            driver.checkUnusedRoom(capacity);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against reserves that outlast the use by others that they are for.
  it('keeps the bounds of its reserve while accounts come and go', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandsOf(['a', 'a', 'a', 'b', 'c'], 4000), { minLength: 60, maxLength: 120 }),
        fc.integer({ min: 2, max: 8 }),
        async (commands, capacity) => {
          // With a small burst the accounts beyond their share are often the only ones that may start.
          const driver = new QueueDriver(capacity, 8, BURST / 10);
          await checkBounds(driver, commands, capacity, 8, () => {
            driver.checkUnusedRoom(capacity);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against a reserve for nobody: with one account, no room stays unused while calls wait.
  it('keeps its bounds and leaves no room unused with one account', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandsOf(['a'], 700), { minLength: 20, maxLength: 120 }),
        fc.integer({ min: 1, max: 4 }),
        fc.integer({ min: 1, max: 8 }),
        async (commands, capacity, limit) => {
          const driver = new QueueDriver(capacity, limit);
          const { queue, running } = driver;
          await checkBounds(driver, commands, capacity, limit, () => {
            expect(queue.size > 0 && running.length < capacity).toBe(false);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against a reserve for accounts that were active once but not lately.
  it('keeps its bounds and leaves no room unused when the others were not active lately', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandsOf(['a', 'b', 'c'], 700), { minLength: 20, maxLength: 120 }),
        fc.array(commandsOf(['a'], 700), { minLength: 20, maxLength: 120 }),
        fc.integer({ min: 1, max: 4 }),
        fc.integer({ min: 1, max: 8 }),
        async (earlier, commands, capacity, limit) => {
          const driver = new QueueDriver(capacity, limit);
          const { queue, running } = driver;
          await checkBounds(driver, earlier, capacity, limit, () => {});
          while (running.length > 0) {
            await driver.release();
          }
          await driver.clock.advance(ACTIVE_MILLISECONDS + LOOK_AGAIN_MILLISECONDS);
          while (running.length > 0) {
            await driver.release();
          }
          await driver.clock.advance(ACTIVE_MILLISECONDS + LOOK_AGAIN_MILLISECONDS);
          await checkBounds(driver, commands, capacity, limit, () => {
            expect(queue.size > 0 && running.length < capacity).toBe(false);
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against a reserve beyond what the others can use, and one that outlasts their use.
  it('leaves as much room free as the others had at once lately, and no longer than lately', async () => {
    const driver = new QueueDriver(10, 100);
    await driver.admit('light', 'patient', 10);
    for (let index = 0; index < 12; index += 1) {
      await driver.admit('heavy', 'patient', 100);
    }
    expect(driver.running.length).toBe(9);
    const light = await driver.admit('light', 'patient', 10);
    expect(driver.admitted.at(-1)).toBe(light);
    await driver.clock.advance(ACTIVE_MILLISECONDS);
    await driver.release(driver.running.findIndex(({ call }) => call === light));
    await driver.release(driver.running.findIndex(({ call }) => call.accountName === 'light'));
    // The two calls of the light account ran at once.
    expect(driver.running.length).toBe(8);
    await driver.clock.advance(2 * SLOT_MILLISECONDS + LOOK_AGAIN_MILLISECONDS);
    expect(driver.running.length).toBe(10);
  });

  // Guards against a queue full of calls that leave room to others, which shuts out these others.
  it('starts a call that may use the reserved room although the queue is full', async () => {
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

  // Guards against an account that waits for good beside others that keep their calls running.
  it('starts the calls that leave room within seconds when their account is not served', async () => {
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

  // Guards against calls of one model that wait for accounts that use only another one.
  it('reserves no room for accounts that use other models', async () => {
    const driver = new QueueDriver(10, 100);
    for (let index = 0; index < 3; index += 1) {
      await driver.admit('light', 'patient', 10, 'model-two');
    }
    for (let index = 0; index < 12; index += 1) {
      await driver.admit('heavy', 'patient', 100);
    }
    expect(driver.running.length).toBe(10);
  });

  // Guards against a flood that fills the endpoints while no other account happens to wait: calls
  // of the others that arrive together then find too few free places before they are late.
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
        // From 1 to 3 s in a fixed order, so that places become free at all times.
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

  // Guards against accounts that are starved because none of their calls was admitted lately: all calls
  // end together, so that no place becomes free while the others' calls are still in time.
  it('serves accounts of which no call runs while another floods', async () => {
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
    driver.remoteUsage.add([['spread', 5000]]);
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
    driver.remoteUsage.add([['a', 5000]]);
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
