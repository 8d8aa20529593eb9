import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { AdmissionQueue } from 'hickoryrelay-admission/AdmissionQueue';
import { FixedCapacity } from 'hickoryrelay-admission/CallCapacity';
import { CallCosts } from 'hickoryrelay-admission/CallCosts';
import { NoRemoteUsage } from 'hickoryrelay-admission/RemoteUsage';

import type { AdmissionTicket } from 'hickoryrelay-admission/AdmissionPolicy';
import type { CallCost } from 'hickoryrelay-admission/CallCosts';
import type { WaitingCall } from 'hickoryrelay-admission/WaitingCall';

const SEED = 20_261_206;
const RUNS = 200;
const CAPACITY = 3;
const LIMIT = 12;

/** Later than any simulated time, so that no call is rejected as late. */
const NO_HURRY_MILLISECONDS = 1e9;

interface ModelCall extends WaitingCall {
  readonly cost: number;
}

class ModelCosts extends CallCosts<ModelCall> {
  override describe(call: ModelCall): WaitingCall {
    return call;
  }

  override estimate({ cost }: ModelCall): CallCost {
    return { prefill: 0, decode: cost, total: cost };
  }

  override settle(_call: ModelCall, estimate: CallCost): CallCost {
    return estimate;
  }

  override recordRunTime(): void {}
}

/** Counts what happens to each call. */
class QueueModel {
  readonly clock = new ManualClock();

  readonly queue = new AdmissionQueue<ModelCall>({
    clock: this.clock,
    costs: new ModelCosts(),
    capacity: new FixedCapacity(CAPACITY),
    remoteUsage: new NoRemoteUsage(),
    latenessMilliseconds: () => NO_HURRY_MILLISECONDS,
    limit: LIMIT,
    isWorkConserving: true,
  });

  readonly waiting = new Map<ModelCall, AbortController>();

  readonly tickets: AdmissionTicket[] = [];

  /** Number of outcomes of each call. */
  readonly outcomes = new Map<ModelCall, number>();

  /** Calls in the order in which they were admitted from the queue. */
  readonly admitted: ModelCall[] = [];

  arrive(account: string, priority: number, cost: number): void {
    const call: ModelCall = {
      account,
      priority,
      cost,
      destination: 'service',
      className: `class ${cost}`,
      arrivalMilliseconds: this.clock.monotonicMilliseconds(),
      latestStartMilliseconds: NO_HURRY_MILLISECONDS,
    };
    const controller = new AbortController();
    this.waiting.set(call, controller);
    this.outcomes.set(call, 0);
    this.queue.admit(call, controller.signal).then(
      (ticket) => {
        this.settle(call);
        this.admitted.push(call);
        this.tickets.push(ticket);
      },
      () => this.settle(call),
    );
  }

  private settle(call: ModelCall): void {
    this.waiting.delete(call);
    this.outcomes.set(call, (this.outcomes.get(call) ?? 0) + 1);
  }
}

const action = fc.oneof(
  fc.record({
    kind: fc.constant('arrive' as const),
    account: fc.constantFrom('one', 'two', 'three'),
    priority: fc.integer({ min: 0, max: 2 }),
    cost: fc.integer({ min: 1, max: 500 }),
  }),
  fc.record({ kind: fc.constant('release' as const), index: fc.nat(20) }),
  fc.record({ kind: fc.constant('leave' as const), index: fc.nat(20) }),
  fc.record({ kind: fc.constant('pass' as const), milliseconds: fc.integer({ min: 0, max: 400 }) }),
);

describe('AdmissionQueue with priorities', () => {
  // Guards against slots and places that are lost or counted twice when callers leave.
  it('answers each call once and counts slots under any order of events', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(action, { maxLength: 60 }), async (actions) => {
        const model = new QueueModel();
        for (const step of actions) {
          if (step.kind === 'arrive') {
            model.arrive(step.account, step.priority, step.cost);
          } else if (step.kind === 'release') {
            // A ticket may be released twice, without effect.
            const ticket = model.tickets[step.index];
            ticket?.release();
          } else if (step.kind === 'leave') {
            [...model.waiting.values()][step.index]?.abort();
          }
          await model.clock.advance(step.kind === 'pass' ? step.milliseconds : 0);
          expect(model.queue.size).toBe(model.waiting.size);
          expect(model.queue.sizeOf('service')).toBe(model.waiting.size);
          expect(model.queue.size).toBeLessThanOrEqual(LIMIT);
          expect(model.queue.admitted).toBeLessThanOrEqual(CAPACITY);
          // No slot stays free while a call waits.
          expect(model.queue.size === 0 || model.queue.admitted === CAPACITY).toBe(true);
        }
        model.waiting.forEach((controller) => controller.abort());
        await model.clock.advance(0);
        model.tickets.forEach((ticket) => ticket.release());
        expect(model.queue.size).toBe(0);
        expect(model.queue.admitted).toBe(0);
        expect([...model.outcomes.values()].every((count) => count === 1)).toBe(true);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against calls of a low priority that are admitted before those of a high one.
  it('admits the calls of one account by priority, and by arrival within a priority', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: LIMIT }),
        async (priorities) => {
          const model = new QueueModel();
          Array.from({ length: CAPACITY }, () => model.arrive('one', 0, 1));
          await model.clock.advance(0);
          priorities.forEach((priority) => model.arrive('one', priority, 1));
          await model.clock.advance(0);
          model.admitted.length = 0;
          for (let released = 0; released < priorities.length; released += 1) {
            model.tickets[released]?.release();
            await model.clock.advance(0);
          }
          expect(model.admitted.map(({ priority }) => priority)).toEqual(
            priorities.toSorted((left, right) => left - right),
          );
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against an expected wait that counts calls which are admitted later.
  it('counts the calls ahead by priority', async () => {
    const model = new QueueModel();
    Array.from({ length: CAPACITY }, () => model.arrive('one', 0, 1));
    [1, 0, 2, 1].forEach((priority) => model.arrive('two', priority, 10));
    await model.clock.advance(0);
    expect([0, 1, 2].map((priority) => model.queue.callsAhead('service', priority))).toEqual([
      1, 3, 4,
    ]);
    expect(model.queue.callsAhead('another service', 2)).toBe(0);
  });
});
