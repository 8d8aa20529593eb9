import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { AdmissionQueue } from 'hickoryrelay-admission/AdmissionQueue';
import { DrainRate } from 'hickoryrelay-admission/DrainRate';
import { NoRemoteUsage } from 'hickoryrelay-admission/RemoteUsage';

import { CapacityAdmission } from './CapacityAdmission.js';
import { EndpointRoom } from './EndpointRoom.js';
import { ForecastReliability } from './ForecastReliability.js';
import {
  allowedWaitMilliseconds,
  declaredPriorityOf,
  ForwardedCallCosts,
} from './ForwardedCallCosts.js';
import { CLAIM_MILLISECONDS, RoomKind, ServiceRoom } from './ServiceRoom.js';
import { RefusalReason, ServiceShortages } from './ServiceShortages.js';

import type { CallContext } from './CallContext.js';
import type { CapacityPermit } from './CapacityAdmission.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import type { PrefillRate } from './PrefillRate.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { AdmissionTicket } from 'hickoryrelay-admission/AdmissionPolicy';
import type { RemoteUsage } from 'hickoryrelay-admission/RemoteUsage';

/** Bounds the memory of waiting requests. The allowed wait is the usual limit. */
const MAXIMUM_WAITING = 1000;

const MILLISECONDS_PER_SECOND = 1000;

/** Collaborators of the admission. */
export interface ShortageAdmissionParts {
  readonly registry: EndpointRegistry;
  readonly prefillRate: PrefillRate;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: ForwardingMetrics;
  readonly log: ComponentLogger;
  /** Number of instances that are known, including this one. */
  readonly countInstances: () => number;
  /** What other instances report of the accounts' use; without it, only the use here counts. */
  readonly remoteUsage?: RemoteUsage;
}

/**
 * Admission when requests exceed the room at endpoints. A request is sent at once while the estimates
 * show room. Otherwise it waits for a fraction of its latency target if the rate at which requests end
 * makes room likely by then, and is refused at once if not.
 *
 * Designed for bursts that exceed the capacity by up to a few times, on up to 640 instances whose
 * loads are 0.1 to 1 s old. The estimates are trusted until an endpoint rejects a request; for a second
 * after that, a request waits for room that is certain if that is likely to come.
 */
export class ShortageAdmission extends CapacityAdmission {
  private readonly clock: Clock;

  private readonly endpointRoom = new EndpointRoom();

  private readonly room: ServiceRoom;

  private readonly queue: AdmissionQueue<CallContext>;

  private readonly costs: ForwardedCallCosts;

  private readonly random: RandomSource;

  private readonly reliability = new ForecastReliability();

  /** Calls that were sent although the estimates show no room. */
  private readonly doubtfulCalls = new WeakSet<CallContext>();

  private readonly shortages: ServiceShortages;

  /** Requests that end at the endpoints of each service, for this instance. */
  private readonly drainRates = new Map<string, DrainRate>();

  constructor(parts: ShortageAdmissionParts) {
    super();
    const { clock, prefillRate, metrics, log, remoteUsage = new NoRemoteUsage() } = parts;
    this.clock = clock;
    this.random = parts.random;
    this.costs = new ForwardedCallCosts(prefillRate);
    this.room = new ServiceRoom({ ...parts, room: this.endpointRoom });
    this.shortages = new ServiceShortages(clock, metrics, log);
    this.queue = new AdmissionQueue({
      clock,
      costs: this.costs,
      capacity: this.room,
      remoteUsage,
      // Each call states its latest start.
      latenessMilliseconds: () => 0,
      limit: MAXIMUM_WAITING,
      pollMilliseconds: CLAIM_MILLISECONDS,
      isWorkConserving: true,
    });
  }

  /** Number of requests that wait for room. */
  get waiting(): number {
    return this.queue.size;
  }

  override tryAdmit(call: CallContext): CapacityPermit | undefined {
    const { service } = call.admitted;
    if (this.queue.sizeOf(service) > 0) {
      return undefined;
    }
    const kind = this.room.kindFor(call);
    const isAdmitted =
      kind === RoomKind.NoEndpoint ||
      (kind === RoomKind.Free && (this.room.isTrusted(service) || this.room.tryClaim(call)));
    return isAdmitted ? this.permit(call, this.queue.admitNow(call)) : undefined;
  }

  override async wait(call: CallContext): Promise<CapacityPermit | string> {
    if (!this.isRoomExpected(call)) {
      return this.admitDoubtful(call) ?? this.refuse(call, RefusalReason.NotExpected);
    }
    const { service } = call.admitted;
    const endWait = this.shortages.beginWait(service);
    try {
      const permit = this.permit(call, await this.queueUntilLate(call));
      this.shortages.recordAdmitted(service);
      return permit;
    } catch (error) {
      const { kind } = failureOf(error);
      if (call.deadline.signal.aborted) {
        return call.deadline.endReason;
      }
      if (kind !== FailureKind.Cancelled && kind !== FailureKind.Overloaded) {
        throw error;
      }
      const isDisplaced = kind === FailureKind.Overloaded;
      return (
        this.admitDoubtful(call) ??
        this.refuse(call, isDisplaced ? RefusalReason.Displaced : RefusalReason.WaitEnded)
      );
    } finally {
      endWait();
    }
  }

  override isFull(call: CallContext, state: EndpointState): boolean {
    const now = this.clock.monotonicMilliseconds();
    return this.endpointRoom.roomAt(state, call.isGeneration, now) === 0;
  }

  override recordRejection(call: CallContext, state: EndpointState): void {
    const { service } = call.admitted;
    this.recordDoubtful(call, false);
    this.shortages.recordRejection(service);
    this.room.recordRejection(service, state);
  }

  override shortageDrainPerSecond(call: CallContext): number {
    return this.room.kindFor(call) === RoomKind.Full
      ? (this.drainPerSecond(call.admitted.service) ?? 0)
      : 0;
  }

  private drainPerSecond(service: string): number | undefined {
    const rate = this.drainRates.get(service);
    rate?.observe(this.clock.monotonicMilliseconds(), true);
    const perMillisecond = rate?.costPerMillisecond;
    return perMillisecond === undefined ? undefined : perMillisecond * MILLISECONDS_PER_SECOND;
  }

  /**
   * True if a slot for the call is likely to become free in time. The number of requests that end in a
   * time varies by about its square root, which is added to the number that is waited for: of requests
   * that wait for the mean time, a third would wait in vain.
   */
  private isRoomExpected(call: CallContext): boolean {
    const { destination, priority } = this.costs.describe(call);
    const rate = this.drainPerSecond(destination);
    if (rate === undefined || call.deadline.signal.aborted) {
      return false;
    }
    const needed = this.queue.callsAhead(destination, priority) + 1;
    const likelyMilliseconds = ((needed + Math.sqrt(needed)) / rate) * MILLISECONDS_PER_SECOND;
    return likelyMilliseconds <= allowedWaitMilliseconds(call);
  }

  /**
   * Admits a call that would be refused otherwise to room that is only estimated, or although there is
   * none by estimates that have often been wrong, unless another call waits. A rejection by the
   * endpoint is no worse for its caller than a refusal.
   */
  private admitDoubtful(call: CallContext): CapacityPermit | undefined {
    const { service } = call.admitted;
    if (this.queue.sizeOf(service) > 0) {
      return undefined;
    }
    const isFull = this.room.kindFor(call) === RoomKind.Full;
    if (isFull && !this.reliability.mayTry(service, this.random.fraction())) {
      return undefined;
    }
    if (isFull) {
      this.doubtfulCalls.add(call);
    }
    return this.permit(call, this.queue.admitNow(call));
  }

  /** Records the result of a call that was sent against the forecast. */
  private recordDoubtful(call: CallContext, isAccepted: boolean): void {
    if (this.doubtfulCalls.delete(call)) {
      this.reliability.record(call.admitted.service, isAccepted);
    }
  }

  /** Waits in the queue. Throws `cancelled` when the allowed wait or the call ends. */
  private async queueUntilLate(call: CallContext): Promise<AdmissionTicket> {
    const { signal } = call.deadline;
    const controller = new AbortController();
    const abort = () => controller.abort();
    const cancelTimer = this.clock.schedule(allowedWaitMilliseconds(call), abort);
    signal.addEventListener('abort', abort, { once: true });
    try {
      return await this.queue.admit(call, controller.signal);
    } finally {
      cancelTimer();
      signal.removeEventListener('abort', abort);
    }
  }

  private refuse(call: CallContext, reason: RefusalReason): string {
    this.shortages.recordRefused(call.admitted.service, reason, declaredPriorityOf(call));
    return `all endpoints are full: ${reason}`;
  }

  private permit(call: CallContext, ticket: AdmissionTicket): CapacityPermit {
    return {
      end: (endpoint) => {
        if (endpoint !== undefined) {
          this.recordDoubtful(call, true);
          this.recordDrained(call.admitted.service);
          this.room.recordEnd(call, endpoint);
        }
        ticket.release();
      },
    };
  }

  private recordDrained(service: string): void {
    let rate = this.drainRates.get(service);
    if (rate === undefined) {
      rate = new DrainRate();
      this.drainRates.set(service, rate);
    }
    rate.observe(this.clock.monotonicMilliseconds(), true);
    rate.recordDrained(1);
  }
}
