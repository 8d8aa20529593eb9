import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { AdmissionQueue } from 'hickoryrelay-admission/AdmissionQueue';
import { DrainRate } from 'hickoryrelay-admission/DrainRate';
import { NoRemoteUsage } from 'hickoryrelay-admission/RemoteUsage';

import { CapacityAdmission } from './CapacityAdmission.js';
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

/**
 * Estimates of room are relied on while endpoints take at least this fraction of the requests that are
 * sent by them.
 */
const RELIABLE_ACCEPTANCE = 0.8;

/** A request is sent although all endpoints seem full if it is at least as likely to be taken. */
const MINIMUM_ACCEPTANCE = 0.5;

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
 * loads are 0.1 to 1 s old. Estimates that old are often wrong under shortage, and instances that act on
 * them choose the same endpoints. While endpoints reject more than a fifth of the requests, a request
 * therefore waits for a slot that another request of this instance leaves, and is sent to it.
 */
export class ShortageAdmission extends CapacityAdmission {
  private readonly clock: Clock;

  private readonly room: ServiceRoom;

  private readonly queue: AdmissionQueue<CallContext>;

  private readonly costs: ForwardedCallCosts;

  private readonly reliability = new ForecastReliability();

  private readonly shortages: ServiceShortages;

  /** Requests that end at the endpoints of each service, for this instance. */
  private readonly drainRates = new Map<string, DrainRate>();

  constructor(parts: ShortageAdmissionParts) {
    super();
    const { clock, prefillRate, metrics, log, remoteUsage = new NoRemoteUsage() } = parts;
    this.clock = clock;
    this.costs = new ForwardedCallCosts(prefillRate);
    this.room = new ServiceRoom(parts);
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
    const kind = this.room.kindFor(call);
    const isAdmitted =
      kind === RoomKind.NoEndpoint || (kind === RoomKind.Free && this.mayRely(call));
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

  override recordAcceptance({ admitted: { service } }: CallContext): void {
    this.reliability.record(service, true, this.clock.monotonicMilliseconds());
  }

  override recordRejection({ admitted: { service } }: CallContext): void {
    this.shortages.recordRejection(service);
    this.reliability.record(service, false, this.clock.monotonicMilliseconds());
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
   * True if a call is sent because the estimates show room. If they have often been wrong, it rather
   * waits for a slot that is certain, if one is likely to come in time. Generations are left to the
   * queues of the engines, which start them sooner.
   */
  private mayRely({ admitted: { service }, isGeneration }: CallContext): boolean {
    const now = this.clock.monotonicMilliseconds();
    const isReliable =
      isGeneration || this.reliability.acceptanceOf(service, now) >= RELIABLE_ACCEPTANCE;
    return isReliable && this.queue.sizeOf(service) === 0;
  }

  /**
   * Admits a call that would be refused otherwise, although it may not find room, if endpoints take
   * enough requests. A rejection by the endpoint is no worse for its caller than a refusal.
   */
  private admitDoubtful(call: CallContext): CapacityPermit | undefined {
    const { service } = call.admitted;
    const acceptance = this.reliability.acceptanceOf(service, this.clock.monotonicMilliseconds());
    const isFull = this.room.kindFor(call) === RoomKind.Full;
    return isFull && acceptance < MINIMUM_ACCEPTANCE
      ? undefined
      : this.permit(call, this.queue.admitNow(call));
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
