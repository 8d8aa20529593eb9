import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { AdmissionPolicy } from './AdmissionPolicy.js';
import { accountOf } from './CallCost.js';
import { MovingAverages } from './DecodeEstimate.js';
import { DrainRate } from './DrainRate.js';
import { FairShare } from './FairShare.js';
import { RoomReserve } from './RoomReserve.js';
import { WaitingLane } from './WaitingCalls.js';

import type { AdmissionTicket } from './AdmissionPolicy.js';
import type { CallCapacity, CallRoom } from './CallCapacity.js';
import type { CallCostModel } from './CallCost.js';
import type { RemoteUse } from './RemoteUse.js';
import type { WaitingCall } from './WaitingCalls.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Call } from 'hickoryrelay-link/Call';

/** What an admission queue is made of. */
export interface AdmissionQueueParts {
  readonly clock: Clock;
  readonly costs: CallCostModel;
  readonly capacity: CallCapacity;
  readonly remoteUse: RemoteUse;
  /** Time until the first byte that a class of work allows, in milliseconds. */
  readonly latenessMilliseconds: (className: string) => number;
  /** Most calls that wait. */
  readonly limit: number;
  readonly share?: FairShare;
}

const MILLISECONDS_PER_SECOND = 1000;

/** Endpoints gain room without a release (new reports, new endpoints), so waiting calls look again. */
const LOOK_AGAIN_MILLISECONDS = 50;

/** Margin on the learned time to the first token; half of the calls take longer than the average. */
const FIRST_TOKEN_MARGIN = 1.5;

/** A waiting call gives way only if at least this many calls of the newcomer's size fit in its place. */
const REPLACEMENT_RATIO = 2;

/**
 * Part of the target that a call may always wait. Without it, slow engines make every call late at
 * once: only those that happen to arrive when there is room would run, whatever their share.
 */
const LEAST_WAITING_PART = 0.5;

/** A lane whose endpoints have room. */
interface OpenLane {
  readonly name: string;
  readonly lane: WaitingLane;
  readonly room: CallRoom;
}

function laneOf(call: Call): string {
  return call.kind === WorkKind.Model ? `model ${call.model}` : `route ${call.route}`;
}

/**
 * Admits calls when endpoints have room. Among the accounts within their fair share, the call with
 * the least slack goes first; an account beyond its share gets what is left. Calls that can no
 * longer meet their target are refused.
 */
export class AdmissionQueue extends AdmissionPolicy {
  private readonly parts: AdmissionQueueParts;

  private readonly share: FairShare;

  private readonly reserve = new RoomReserve();

  private readonly lanes = new Map<string, WaitingLane>();

  private readonly drainRates = new Map<string, DrainRate>();

  private readonly firstTokenTimes = new MovingAverages();

  private waitingCount = 0;

  private admittedCount = 0;

  private cancelLook: (() => void) | undefined;

  constructor(parts: AdmissionQueueParts) {
    super();
    this.parts = parts;
    this.share = parts.share ?? new FairShare();
  }

  /** Calls that wait. */
  get size(): number {
    return this.waitingCount;
  }

  /** Calls that were admitted and have not ended. */
  get admitted(): number {
    return this.admittedCount;
  }

  override admit(call: Call, signal: AbortSignal): Promise<AdmissionTicket> {
    return new Promise((resolve, reject) => {
      const cancelled = () =>
        new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller has gone' });
      if (signal.aborted) {
        reject(cancelled());
        return;
      }
      this.takeRemoteUse();
      let onAbort = () => {};
      const stopWaiting = () => signal.removeEventListener('abort', onAbort);
      const entry = this.entryOf(call, {
        resolve: (ticket) => {
          stopWaiting();
          resolve(ticket);
        },
        reject: (error) => {
          stopWaiting();
          reject(error);
        },
      });
      onAbort = () => {
        this.remove(entry);
        reject(cancelled());
      };
      this.reserve.arrive(entry.account, entry.lane, this.parts.clock.monotonicMilliseconds());
      const refusal = this.makePlace(entry);
      if (refusal !== undefined) {
        this.leaveReserve(entry);
        reject(refusal);
        return;
      }
      signal.addEventListener('abort', onAbort, { once: true });
      this.insert(entry);
      this.admitWaiting();
    });
  }

  private entryOf(call: Call, outcome: Pick<WaitingCall, 'reject' | 'resolve'>): WaitingCall {
    const cost = this.parts.costs.estimate(call);
    const target = this.parts.latenessMilliseconds(call.className);
    const firstToken = Math.min(
      (this.firstTokenTimes.get(call.className) ?? cost.prefill) * FIRST_TOKEN_MARGIN,
      target * (1 - LEAST_WAITING_PART),
    );
    return {
      call,
      account: accountOf(call),
      lane: laneOf(call),
      cost,
      latestStartMilliseconds: call.arrivalMilliseconds + target - firstToken,
      ...outcome,
    };
  }

  /** Returns the refusal if the call would be late or finds no place. May refuse others instead. */
  private makePlace(entry: WaitingCall): RelayError | undefined {
    const lane = this.lanes.get(entry.lane);
    const isNext = lane === undefined && this.hasRoom(entry);
    const lateBy = isNext ? 0 : this.latenessOf(entry, 0);
    if (lateBy > 0 && !this.replaceCostlier(entry)) {
      return AdmissionQueue.refusal('the queue is longer than the target allows', lateBy);
    }
    if (this.waitingCount >= this.parts.limit && this.mayStart(entry)) {
      // Only calls that leave room to others wait then, or some that may start by now and go first.
      this.admitWaiting();
    }
    if (this.waitingCount < this.parts.limit || this.mayStart(entry)) {
      return undefined;
    }
    return this.evictFor(entry);
  }

  /** Time by which the call would start too late, if calls of the given cost left the queue. */
  private latenessOf(entry: WaitingCall, freedCost: number): number {
    const now = this.parts.clock.monotonicMilliseconds();
    const wait = this.expectedWait(entry, freedCost);
    return now + wait - entry.latestStartMilliseconds;
  }

  /** An account waits for its own calls at its share of the rate, or for all calls at the whole rate. */
  private expectedWait(entry: WaitingCall, freedCost: number): number {
    const lane = this.lanes.get(entry.lane);
    const rate = this.drainRates.get(entry.lane)?.costPerMillisecond;
    if (lane === undefined || rate === undefined) {
      return 0;
    }
    const line = lane.line(entry.account);
    const accounts = lane.accountCount + (line === undefined ? 1 : 0);
    const own = Math.max(0, (line?.queuedCost ?? 0) - freedCost) * accounts;
    return Math.min(own, Math.max(0, lane.queuedCost - freedCost)) / rate;
  }

  /**
   * Refuses a waiting call of the same account and class if it costs so much more that its place
   * serves several calls: one refusal then saves more than one, which keeps the class's loss lower.
   */
  private replaceCostlier(entry: WaitingCall): boolean {
    const line = this.lanes.get(entry.lane)?.line(entry.account);
    const victim = line?.costliest(entry.call.className);
    if (
      victim === undefined ||
      victim.cost.total < entry.cost.total * REPLACEMENT_RATIO ||
      this.latenessOf(entry, victim.cost.total) > 0
    ) {
      return false;
    }
    this.refuse(victim, 'its place serves several smaller calls');
    return true;
  }

  /** The account with the most queued cost gives up the call with the most slack. */
  private evictFor(entry: WaitingCall): RelayError | undefined {
    let most = this.lanes.get(entry.lane)?.line(entry.account);
    const ownCost = (most?.queuedCost ?? 0) + entry.cost.total;
    for (const lane of this.lanes.values()) {
      for (const line of lane.lines) {
        if (line.queuedCost > Math.max(ownCost, most?.queuedCost ?? 0)) {
          most = line;
        }
      }
    }
    const victim = most?.account === entry.account ? undefined : most?.last;
    if (victim === undefined) {
      return AdmissionQueue.refusal('the queue is full', this.expectedWait(entry, 0));
    }
    this.refuse(victim, 'the queue is full');
    return undefined;
  }

  private insert(entry: WaitingCall): void {
    let lane = this.lanes.get(entry.lane);
    if (lane === undefined) {
      lane = new WaitingLane();
      this.lanes.set(entry.lane, lane);
    }
    lane.insert(entry, this.share.beginWaiting(entry.account));
    this.waitingCount += 1;
    this.observeDrain(entry.lane);
  }

  private leaveReserve(entry: WaitingCall): void {
    this.reserve.leave(entry.account, entry.lane, this.parts.clock.monotonicMilliseconds());
  }

  /** Takes out a call that will not start. */
  private remove(entry: WaitingCall): boolean {
    const wasWaiting = this.takeFromLane(entry);
    if (wasWaiting) {
      this.leaveReserve(entry);
    }
    return wasWaiting;
  }

  private takeFromLane(entry: WaitingCall): boolean {
    const lane = this.lanes.get(entry.lane);
    if (lane?.remove(entry) !== true) {
      return false;
    }
    this.waitingCount -= 1;
    this.share.endWaiting(entry.account);
    if (lane.size === 0) {
      this.lanes.delete(entry.lane);
    }
    this.observeDrain(entry.lane);
    return true;
  }

  private observeDrain(laneName: string): DrainRate {
    let rate = this.drainRates.get(laneName);
    if (rate === undefined) {
      rate = new DrainRate();
      this.drainRates.set(laneName, rate);
    }
    rate.observe(this.parts.clock.monotonicMilliseconds(), this.lanes.has(laneName));
    return rate;
  }

  /** Admits waiting calls while there is room, and refuses those that have become too late. */
  private admitWaiting(): void {
    for (;;) {
      const next = this.next();
      if (next === undefined) {
        break;
      }
      this.start(next);
    }
    this.cancelLook?.();
    this.cancelLook = undefined;
    if (this.waitingCount > 0) {
      this.cancelLook = this.parts.clock.schedule(LOOK_AGAIN_MILLISECONDS, () => {
        this.takeRemoteUse();
        this.admitWaiting();
      });
    }
  }

  private next(): WaitingCall | undefined {
    this.refuseLate();
    this.reserve.refresh(this.parts.clock.monotonicMilliseconds());
    const open: OpenLane[] = [];
    for (const [name, lane] of this.lanes) {
      const { first } = lane.calls;
      const room = first === undefined ? undefined : this.roomFor(first);
      if (room !== undefined && room.free > 0) {
        open.push({ name, lane, room });
      }
    }
    this.advanceVirtualTime(open);
    let best: WaitingCall | undefined;
    for (const each of open) {
      const first = this.firstToStart(each);
      const isBefore =
        first !== undefined &&
        (best === undefined || first.latestStartMilliseconds < best.latestStartMilliseconds);
      if (isBefore) {
        best = first;
      }
    }
    return best;
  }

  /** Accounts that leave the room to others do not hold the virtual time back. */
  private advanceVirtualTime(open: readonly OpenLane[]): void {
    let lowest = Number.POSITIVE_INFINITY;
    for (const each of open) {
      for (const line of each.lane.lines) {
        const { value } = line.clock;
        if (value < lowest && !this.reserve.isReservedFrom(line.account, each.name, each.room)) {
          lowest = value;
        }
      }
    }
    if (lowest < Number.POSITIVE_INFINITY) {
      this.share.advance(lowest);
    }
  }

  private firstToStart(open: OpenLane): WaitingCall | undefined {
    for (const entry of open.lane.calls) {
      const line = open.lane.line(entry.account);
      // Of the accounts that may use the room, that with the lowest clock is within its share.
      if (
        line !== undefined &&
        this.share.isWithinShare(line.clock) &&
        !this.reserve.isReservedFrom(line.account, open.name, open.room)
      ) {
        return entry;
      }
    }
    return undefined;
  }

  /** A late call runs only if it is the only one that waits: then it takes nobody's place. */
  private refuseLate(): void {
    const now = this.parts.clock.monotonicMilliseconds();
    for (const lane of [...this.lanes.values()]) {
      for (
        let { first } = lane.calls;
        first !== undefined && first.latestStartMilliseconds < now && lane.size > 1;
        { first } = lane.calls
      ) {
        this.refuse(first, 'the lateness target cannot be met');
      }
    }
  }

  private start(entry: WaitingCall): void {
    this.observeDrain(entry.lane).record(entry.cost.total);
    this.takeFromLane(entry);
    this.charge(entry.account, entry.cost.total);
    this.admittedCount += 1;
    entry.resolve(this.ticketOf(entry));
  }

  private ticketOf(entry: WaitingCall): AdmissionTicket {
    const { call, cost } = entry;
    const started = this.parts.clock.monotonicMilliseconds();
    let isOpen = true;
    let isWaitingForFirst = true;
    return {
      firstPiece: () => {
        if (isWaitingForFirst) {
          isWaitingForFirst = false;
          const taken = this.parts.clock.monotonicMilliseconds() - started;
          this.firstTokenTimes.record(call.className, taken);
        }
      },
      settle: (decodeTokens) => {
        const settled = this.parts.costs.settle(call, cost, decodeTokens);
        this.charge(entry.account, settled.total - cost.total);
      },
      release: () => {
        if (isOpen) {
          isOpen = false;
          this.admittedCount -= 1;
          this.leaveReserve(entry);
          this.recordServiceTime(call, started);
          this.admitWaiting();
        }
      },
    };
  }

  private recordServiceTime(call: Call, started: number): void {
    if (call.kind === WorkKind.Service) {
      const taken = this.parts.clock.monotonicMilliseconds() - started;
      this.parts.costs.recordServiceTime(call.route, taken);
    }
  }

  private charge(account: string, cost: number): void {
    this.share.charge(account, cost);
    this.reserve.charge(account, cost, this.parts.clock.monotonicMilliseconds());
    this.parts.remoteUse.publish(account, cost);
  }

  private takeRemoteUse(): void {
    for (const [account, cost] of this.parts.remoteUse.take()) {
      this.share.charge(account, cost);
      this.reserve.charge(account, cost, this.parts.clock.monotonicMilliseconds());
    }
  }

  private hasRoom(entry: WaitingCall): boolean {
    return this.roomFor(entry).free > 0;
  }

  private roomFor(entry: WaitingCall): CallRoom {
    return this.parts.capacity.room(entry.call, this.admittedCount);
  }

  /** True if there is room that is not reserved for accounts other than that of the call. */
  private mayStart(entry: WaitingCall): boolean {
    const room = this.roomFor(entry);
    if (room.free <= 0) {
      return false;
    }
    this.reserve.refresh(this.parts.clock.monotonicMilliseconds());
    return !this.reserve.isReservedFrom(entry.account, entry.lane, room);
  }

  private refuse(entry: WaitingCall, reason: string): void {
    const wait = this.expectedWait(entry, 0);
    if (this.remove(entry)) {
      entry.reject(AdmissionQueue.refusal(reason, wait));
    }
  }

  private static refusal(reason: string, waitMilliseconds: number): RelayError {
    const retryAfterSeconds = Math.max(1, Math.ceil(waitMilliseconds / MILLISECONDS_PER_SECOND));
    return new RelayError({ kind: FailureKind.Overloaded, reason, retryAfterSeconds });
  }
}
