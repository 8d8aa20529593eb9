import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { AdmissionPolicy } from './AdmissionPolicy.js';
import { CapacityReservation } from './CapacityReservation.js';
import { DestinationQueue } from './DestinationQueue.js';
import { DrainRate } from './DrainRate.js';
import { FairShare } from './FairShare.js';
import { compareUrgency } from './LeastSlackQueue.js';
import { MovingAverages } from './MovingAverages.js';

import type { AdmissionTicket } from './AdmissionPolicy.js';
import type { CallCapacity, CallSlots } from './CallCapacity.js';
import type { CallCost, CallCosts } from './CallCosts.js';
import type { QueuedCall } from './DestinationQueue.js';
import type { RemoteUsage } from './RemoteUsage.js';
import type { WaitingCall } from './WaitingCall.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Dependencies and limits of an admission queue. */
export interface AdmissionQueueParts<TCall> {
  readonly clock: Clock;
  readonly costs: CallCosts<TCall>;
  readonly capacity: CallCapacity<NoInfer<TCall>>;
  readonly remoteUsage: RemoteUsage;
  /** Lateness target of a class of work: time from arrival to the first byte, in milliseconds. */
  readonly latenessMilliseconds: (className: string) => number;
  /** Maximum number of queued calls. */
  readonly limit: number;
  readonly share?: FairShare;
  /** How often the capacity is polled while calls are queued. */
  readonly pollMilliseconds?: number;
  /**
   * True if no slot is left free while calls wait. Otherwise, accounts above their share leave slots
   * free for the next calls of others.
   */
  readonly isWorkConserving?: boolean;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Capacity also grows without a release (new load reports, new endpoints), so the queue polls it.
 */
const DEFAULT_POLL_MILLISECONDS = 50;

/** Factor on the average time to first token, which about half of the calls exceed. */
const FIRST_TOKEN_SAFETY_FACTOR = 1.5;

/** A queued call is evicted only if it costs at least this many times as much as the new call. */
const MINIMUM_EVICTION_COST_RATIO = 2;

/**
 * Fraction of the lateness target that a call may always spend in the queue. Without this minimum,
 * slow engines would make every queued call late at once, and only calls that arrive while a slot
 * is free would run, regardless of fair share.
 */
const MINIMUM_QUEUEING_FRACTION = 0.5;

/** A call that has been admitted. */
interface AdmittedCall<TCall> extends WaitingCall {
  readonly call: TCall;
  readonly cost: CallCost;
}

/** A queued call, and the caller that waits for the outcome. */
interface PendingCall<TCall> extends QueuedCall {
  readonly call: TCall;
  readonly resolve: (ticket: AdmissionTicket) => void;
  readonly reject: (error: Error) => void;
}

/** A destination with free slots. */
interface AvailableDestination<TCall> {
  readonly name: string;
  readonly queue: DestinationQueue<PendingCall<TCall>>;
  readonly slots: CallSlots;
}

/**
 * Admits calls as endpoint slots become free. Among accounts within their fair share, the call with
 * the least slack is admitted first; accounts above their share get the remaining capacity. Calls
 * that can no longer meet their lateness target are rejected.
 */
export class AdmissionQueue<TCall> extends AdmissionPolicy<TCall> {
  private readonly parts: AdmissionQueueParts<TCall>;

  private readonly share: FairShare;

  private readonly reservation = new CapacityReservation();

  private readonly queuesByDestination = new Map<string, DestinationQueue<PendingCall<TCall>>>();

  private readonly drainRates = new Map<string, DrainRate>();

  private readonly firstTokenTimes = new MovingAverages();

  private queuedCount = 0;

  private admittedCount = 0;

  private cancelPoll: (() => void) | undefined;

  constructor(parts: AdmissionQueueParts<TCall>) {
    super();
    this.parts = parts;
    this.share = parts.share ?? new FairShare();
  }

  /** Number of queued calls. */
  get size(): number {
    return this.queuedCount;
  }

  /** Number of admitted calls that have not been released. */
  get admitted(): number {
    return this.admittedCount;
  }

  /** Number of queued calls to a destination. */
  sizeOf(destination: string): number {
    return this.queuesByDestination.get(destination)?.size ?? 0;
  }

  /** Number of queued calls to a destination that a new call with this priority would wait for. */
  callsAhead(destination: string, priority: number): number {
    return this.queuesByDestination.get(destination)?.callsAhead(priority) ?? 0;
  }

  /** Admits a call that need not wait, and charges its account. */
  admitNow(call: TCall): AdmissionTicket {
    const entry = {
      ...this.parts.costs.describe(call),
      call,
      cost: this.parts.costs.estimate(call),
    };
    this.reservation.recordArrival(
      entry.account,
      entry.destination,
      this.parts.clock.monotonicMilliseconds(),
    );
    return this.recordAdmission(entry);
  }

  override admit(call: TCall, signal: AbortSignal): Promise<AdmissionTicket> {
    return new Promise((resolve, reject) => {
      const createCancellation = () =>
        new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller disconnected' });
      if (signal.aborted) {
        reject(createCancellation());
        return;
      }
      this.applyRemoteUsage();
      let onAbort = () => {};
      const removeAbortListener = () => signal.removeEventListener('abort', onAbort);
      const entry = this.createEntry(call, {
        resolve: (ticket) => {
          removeAbortListener();
          resolve(ticket);
        },
        reject: (error) => {
          removeAbortListener();
          reject(error);
        },
      });
      onAbort = () => {
        this.remove(entry);
        reject(createCancellation());
      };
      this.reservation.recordArrival(
        entry.account,
        entry.destination,
        this.parts.clock.monotonicMilliseconds(),
      );
      const rejection = this.makeQueueSpace(entry);
      if (rejection !== undefined) {
        this.recordDeparture(entry);
        reject(rejection);
        return;
      }
      signal.addEventListener('abort', onAbort, { once: true });
      this.insert(entry);
      this.admitQueuedCalls();
    });
  }

  private createEntry(
    call: TCall,
    outcome: Pick<PendingCall<TCall>, 'reject' | 'resolve'>,
  ): PendingCall<TCall> {
    const waiting = this.parts.costs.describe(call);
    const cost = this.parts.costs.estimate(call);
    const target = this.parts.latenessMilliseconds(waiting.className);
    const firstTokenMilliseconds = Math.min(
      (this.firstTokenTimes.get(waiting.className) ?? cost.prefill) * FIRST_TOKEN_SAFETY_FACTOR,
      target * (1 - MINIMUM_QUEUEING_FRACTION),
    );
    return {
      ...waiting,
      call,
      cost,
      latestStartMilliseconds:
        waiting.latestStartMilliseconds ??
        waiting.arrivalMilliseconds + target - firstTokenMilliseconds,
      ...outcome,
    };
  }

  /**
   * Makes space in the queue, if necessary by evicting other calls. Returns the rejection if the
   * call would miss its lateness target or no space can be made.
   */
  private makeQueueSpace(entry: PendingCall<TCall>): RelayError | undefined {
    const queue = this.queuesByDestination.get(entry.destination);
    const canStartNow = queue === undefined && this.hasFreeSlot(entry);
    const latenessMilliseconds = canStartNow ? 0 : this.expectedLateness(entry, 0);
    if (latenessMilliseconds > 0 && !this.evictCostlierCall(entry)) {
      return AdmissionQueue.createRejection(
        'the expected wait exceeds the lateness target',
        latenessMilliseconds,
      );
    }
    if (this.queuedCount >= this.parts.limit && this.canStart(entry)) {
      // The queue then holds calls that leave reserved slots free, or calls that have become
      // eligible since the last poll and must start before this one.
      this.admitQueuedCalls();
    }
    if (this.queuedCount < this.parts.limit || this.canStart(entry)) {
      return undefined;
    }
    return this.evictFromLargestAccount(entry);
  }

  /** How far the start would miss the latest start, if calls of `freedCost` left the queue. */
  private expectedLateness(entry: PendingCall<TCall>, freedCost: number): number {
    const now = this.parts.clock.monotonicMilliseconds();
    const wait = this.expectedWait(entry, freedCost);
    return now + wait - entry.latestStartMilliseconds;
  }

  /**
   * The shorter of two waits: for the account's own calls at its share of the drain rate, or for
   * all calls to the destination at the full drain rate.
   */
  private expectedWait(entry: PendingCall<TCall>, freedCost: number): number {
    const queue = this.queuesByDestination.get(entry.destination);
    const rate = this.drainRates.get(entry.destination)?.costPerMillisecond;
    if (queue === undefined || rate === undefined) {
      return 0;
    }
    const accountQueue = queue.accountQueue(entry.account);
    const accountCount = queue.accountCount + (accountQueue === undefined ? 1 : 0);
    const costAtOwnShare =
      Math.max(0, (accountQueue?.costAhead(entry.priority) ?? 0) - freedCost) * accountCount;
    return (
      Math.min(costAtOwnShare, Math.max(0, queue.costAhead(entry.priority) - freedCost)) / rate
    );
  }

  /**
   * Evicts the most expensive queued call of the same account and class if several calls of the new
   * call's size fit in its place. One rejection then avoids several, which lowers the class's loss.
   */
  private evictCostlierCall(entry: PendingCall<TCall>): boolean {
    const accountQueue = this.queuesByDestination
      .get(entry.destination)
      ?.accountQueue(entry.account);
    const victim = accountQueue?.mostExpensive(entry.className);
    if (
      victim === undefined ||
      victim.cost.total < entry.cost.total * MINIMUM_EVICTION_COST_RATIO ||
      this.expectedLateness(entry, victim.cost.total) > 0
    ) {
      return false;
    }
    this.reject(victim, 'evicted in favour of smaller calls of the same class');
    return true;
  }

  /** Evicts the call with the most slack from the account with the highest queued cost. */
  private evictFromLargestAccount(entry: PendingCall<TCall>): RelayError | undefined {
    let largest = this.queuesByDestination.get(entry.destination)?.accountQueue(entry.account);
    const ownCost = (largest?.queuedCost ?? 0) + entry.cost.total;
    for (const queue of this.queuesByDestination.values()) {
      for (const accountQueue of queue.lines) {
        if (accountQueue.queuedCost > Math.max(ownCost, largest?.queuedCost ?? 0)) {
          largest = accountQueue;
        }
      }
    }
    const victim = largest?.account === entry.account ? undefined : largest?.last;
    if (victim === undefined) {
      return AdmissionQueue.createRejection(
        'the admission queue is full',
        this.expectedWait(entry, 0),
      );
    }
    this.reject(victim, 'the admission queue is full');
    return undefined;
  }

  private insert(entry: PendingCall<TCall>): void {
    let queue = this.queuesByDestination.get(entry.destination);
    if (queue === undefined) {
      queue = new DestinationQueue<PendingCall<TCall>>();
      this.queuesByDestination.set(entry.destination, queue);
    }
    queue.insert(entry, this.share.beginWaiting(entry.account));
    this.queuedCount += 1;
    this.observeDrainRate(entry.destination);
  }

  private recordDeparture(entry: WaitingCall): void {
    this.reservation.recordDeparture(
      entry.account,
      entry.destination,
      this.parts.clock.monotonicMilliseconds(),
    );
  }

  /** Removes a call that will not be admitted. */
  private remove(entry: PendingCall<TCall>): boolean {
    const wasQueued = this.dequeue(entry);
    if (wasQueued) {
      this.recordDeparture(entry);
    }
    return wasQueued;
  }

  private dequeue(entry: PendingCall<TCall>): boolean {
    const queue = this.queuesByDestination.get(entry.destination);
    if (queue?.remove(entry) !== true) {
      return false;
    }
    this.queuedCount -= 1;
    this.share.endWaiting(entry.account);
    if (queue.size === 0) {
      this.queuesByDestination.delete(entry.destination);
    }
    this.observeDrainRate(entry.destination);
    return true;
  }

  private observeDrainRate(destination: string): DrainRate {
    let rate = this.drainRates.get(destination);
    if (rate === undefined) {
      rate = new DrainRate();
      this.drainRates.set(destination, rate);
    }
    rate.observe(
      this.parts.clock.monotonicMilliseconds(),
      this.queuesByDestination.has(destination),
    );
    return rate;
  }

  /** Admits queued calls while slots are free, and rejects those past their latest start. */
  private admitQueuedCalls(): void {
    for (;;) {
      const next = this.nextCall();
      if (next === undefined) {
        break;
      }
      this.start(next);
    }
    this.cancelPoll?.();
    this.cancelPoll = undefined;
    if (this.queuedCount > 0) {
      const { pollMilliseconds = DEFAULT_POLL_MILLISECONDS } = this.parts;
      this.cancelPoll = this.parts.clock.schedule(pollMilliseconds, () => {
        this.applyRemoteUsage();
        this.admitQueuedCalls();
      });
    }
  }

  private nextCall(): PendingCall<TCall> | undefined {
    this.rejectLateCalls();
    this.reservation.refresh(this.parts.clock.monotonicMilliseconds());
    const available: AvailableDestination<TCall>[] = [];
    for (const [name, queue] of this.queuesByDestination) {
      const { first } = queue.calls;
      const slots = first === undefined ? undefined : this.slotsFor(first);
      if (slots !== undefined && slots.free > 0) {
        available.push({ name, queue, slots });
      }
    }
    this.advanceVirtualTime(available);
    let best: PendingCall<TCall> | undefined;
    for (const destination of available) {
      const first = this.firstEligibleCall(destination);
      const startsEarlier =
        first !== undefined && (best === undefined || compareUrgency(first, best) < 0);
      if (startsEarlier) {
        best = first;
      }
    }
    return best;
  }

  /** Accounts whose calls must leave the free slots to others do not hold the virtual time back. */
  private advanceVirtualTime(available: readonly AvailableDestination<TCall>[]): void {
    let lowest = Number.POSITIVE_INFINITY;
    for (const destination of available) {
      for (const accountQueue of destination.queue.lines) {
        const { value } = accountQueue.virtualClock;
        if (
          value < lowest &&
          !this.isReservedForOthers(accountQueue.account, destination.name, destination.slots)
        ) {
          lowest = value;
        }
      }
    }
    if (lowest < Number.POSITIVE_INFINITY) {
      this.share.advance(lowest);
    }
  }

  private firstEligibleCall(
    destination: AvailableDestination<TCall>,
  ): PendingCall<TCall> | undefined {
    for (const entry of destination.queue.calls) {
      const accountQueue = destination.queue.accountQueue(entry.account);
      // Of the accounts that may use the free slots, the one with the lowest clock is always within
      // its share.
      if (
        accountQueue !== undefined &&
        this.share.isWithinShare(accountQueue.virtualClock) &&
        !this.isReservedForOthers(accountQueue.account, destination.name, destination.slots)
      ) {
        return entry;
      }
    }
    return undefined;
  }

  /**
   * A late call is kept only if it is the sole call of its queue, since it then delays no other.
   */
  private rejectLateCalls(): void {
    const now = this.parts.clock.monotonicMilliseconds();
    for (const queue of [...this.queuesByDestination.values()]) {
      for (
        let { first } = queue.calls;
        first !== undefined && first.latestStartMilliseconds < now && queue.size > 1;
        { first } = queue.calls
      ) {
        this.reject(first, 'the lateness target cannot be met');
      }
    }
  }

  private start(entry: PendingCall<TCall>): void {
    this.observeDrainRate(entry.destination).recordDrained(entry.cost.total);
    this.dequeue(entry);
    this.parts.capacity.recordStart(entry.call);
    entry.resolve(this.recordAdmission(entry));
  }

  private recordAdmission(entry: AdmittedCall<TCall>): AdmissionTicket {
    this.charge(entry.account, entry.cost.total);
    this.admittedCount += 1;
    return this.createTicket(entry);
  }

  private createTicket(entry: AdmittedCall<TCall>): AdmissionTicket {
    const { call, className, cost } = entry;
    const startMilliseconds = this.parts.clock.monotonicMilliseconds();
    let isHeld = true;
    let isAwaitingFirstChunk = true;
    return {
      recordFirstChunk: () => {
        if (isAwaitingFirstChunk) {
          isAwaitingFirstChunk = false;
          const elapsedMilliseconds = this.parts.clock.monotonicMilliseconds() - startMilliseconds;
          this.firstTokenTimes.record(className, elapsedMilliseconds);
        }
      },
      settle: (decodeTokens) => {
        const actualCost = this.parts.costs.settle(call, cost, decodeTokens);
        this.charge(entry.account, actualCost.total - cost.total);
      },
      release: () => {
        if (isHeld) {
          isHeld = false;
          this.admittedCount -= 1;
          this.recordDeparture(entry);
          this.parts.costs.recordRunTime(
            call,
            this.parts.clock.monotonicMilliseconds() - startMilliseconds,
          );
          this.admitQueuedCalls();
        }
      },
    };
  }

  private charge(account: string, cost: number): void {
    this.share.charge(account, cost);
    this.reservation.recordCost(account, cost, this.parts.clock.monotonicMilliseconds());
    this.parts.remoteUsage.publish(account, cost);
  }

  private applyRemoteUsage(): void {
    for (const [account, cost] of this.parts.remoteUsage.takePending()) {
      this.share.charge(account, cost);
      this.reservation.recordCost(account, cost, this.parts.clock.monotonicMilliseconds());
    }
  }

  private hasFreeSlot(entry: PendingCall<TCall>): boolean {
    return this.slotsFor(entry).free > 0;
  }

  private slotsFor(entry: PendingCall<TCall>): CallSlots {
    return this.parts.capacity.slotsFor(entry.call, this.admittedCount);
  }

  /** True if a slot is free and not reserved for other accounts. */
  private canStart(entry: PendingCall<TCall>): boolean {
    const slots = this.slotsFor(entry);
    if (slots.free <= 0) {
      return false;
    }
    this.reservation.refresh(this.parts.clock.monotonicMilliseconds());
    return !this.isReservedForOthers(entry.account, entry.destination, slots);
  }

  private isReservedForOthers(account: string, destination: string, slots: CallSlots): boolean {
    return (
      this.parts.isWorkConserving !== true &&
      this.reservation.isReservedForOthers(account, destination, slots)
    );
  }

  private reject(entry: PendingCall<TCall>, reason: string): void {
    const wait = this.expectedWait(entry, 0);
    if (this.remove(entry)) {
      entry.reject(AdmissionQueue.createRejection(reason, wait));
    }
  }

  private static createRejection(reason: string, waitMilliseconds: number): RelayError {
    const retryAfterSeconds = Math.max(1, Math.ceil(waitMilliseconds / MILLISECONDS_PER_SECOND));
    return new RelayError({ kind: FailureKind.Overloaded, reason, retryAfterSeconds });
  }
}
