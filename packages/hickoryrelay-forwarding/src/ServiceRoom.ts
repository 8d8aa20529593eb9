import { CallCapacity } from 'hickoryrelay-admission/CallCapacity';

import { EngineStage } from './EndpointRecord.js';
import { EndpointRoom } from './EndpointRoom.js';

import type { CallContext } from './CallContext.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { CallSlots } from 'hickoryrelay-admission/CallCapacity';

/** Room that was reported is claimed anew after this time, about a fraction of the report period. */
export const CLAIM_MILLISECONDS = 25;

/** A slot that a request of this instance has left is reported to the others after about this time. */
const HAND_OVER_MILLISECONDS = 100;

/** Room that is estimated is not relied on for this long after a rejection: the age of a report. */
const DISTRUST_MILLISECONDS = 1000;

/** What is known of the room at the endpoints of a service. */
export const RoomKind = {
  /** An endpoint has room. */
  Free: 'free',
  /** Endpoints take requests, and all are full. */
  Full: 'full',
  /** No endpoint takes requests. */
  NoEndpoint: 'no-endpoint',
} as const;

export type RoomKind = (typeof RoomKind)[keyof typeof RoomKind];

/** What this instance may claim of the room at the endpoints of one service. */
class ServiceClaims {
  refreshedMilliseconds = Number.NEGATIVE_INFINITY;

  /** Part of the free room that this instance may use until the next refresh. */
  claimable = 0;

  /** Slots that requests of this instance have left since `handOversSinceMilliseconds`. */
  handOvers = 0;

  handOversSinceMilliseconds = Number.NEGATIVE_INFINITY;

  distrustedUntilMilliseconds = Number.NEGATIVE_INFINITY;

  total = 0;

  isKnown = false;
}

/** Collaborators of the room of services. */
export interface ServiceRoomParts {
  readonly registry: EndpointRegistry;
  readonly room: EndpointRoom;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Number of instances that are known, including this one. */
  readonly countInstances: () => number;
}

/**
 * The room that this instance may use at the endpoints of a service.
 *
 * Many instances see the same free room at the same time, so waiting requests get the slots that
 * requests of this instance leave, and of other room a part: that of this instance in the requests in
 * flight, and at least an equal one.
 */
export class ServiceRoom extends CallCapacity<CallContext> {
  private readonly parts: ServiceRoomParts;

  private readonly claims = new Map<string, ServiceClaims>();

  constructor(parts: ServiceRoomParts) {
    super();
    this.parts = parts;
  }

  /** What the estimates say, from the first endpoint with room. */
  kindFor(call: CallContext): RoomKind {
    const { registry, room, clock } = this.parts;
    const { isGeneration } = call;
    const now = clock.monotonicMilliseconds();
    let kind: RoomKind = RoomKind.NoEndpoint;
    for (const state of registry.readyEndpoints(call.admitted.service)) {
      if (!call.tried.has(state) && ServiceRoom.takesRequests(state, now)) {
        if (room.roomAt(state, isGeneration, now) > 0) {
          return RoomKind.Free;
        }
        kind = RoomKind.Full;
      }
    }
    return kind;
  }

  /** True unless an endpoint of the service has rejected a request a short time ago. */
  isTrusted(service: string): boolean {
    const until = this.claims.get(service)?.distrustedUntilMilliseconds;
    return until === undefined || this.parts.clock.monotonicMilliseconds() >= until;
  }

  /** Claims room for a request that does not wait in the queue. Returns false if there is none. */
  tryClaim(call: CallContext): boolean {
    const isClaimed = this.slotsFor(call).free > 0;
    if (isClaimed) {
      this.recordStart(call);
    }
    return isClaimed;
  }

  override slotsFor(call: CallContext): CallSlots {
    const claims = this.claimsOf(call.admitted.service);
    const now = this.parts.clock.monotonicMilliseconds();
    if (now - claims.handOversSinceMilliseconds > HAND_OVER_MILLISECONDS) {
      claims.handOvers = 0;
    }
    if (now - claims.refreshedMilliseconds >= CLAIM_MILLISECONDS) {
      this.refresh(claims, call, now);
    }
    // Without an endpoint, the request is admitted and refused as one that cannot be sent.
    return claims.isKnown
      ? { free: claims.handOvers + claims.claimable, total: claims.total }
      : { free: Number.POSITIVE_INFINITY, total: 0 };
  }

  override recordStart(call: CallContext): void {
    const claims = this.claimsOf(call.admitted.service);
    if (claims.handOvers > 0) {
      claims.handOvers -= 1;
    } else {
      claims.claimable = Math.max(0, claims.claimable - 1);
    }
  }

  /** Records that a request of this instance has ended at an endpoint, which leaves a slot. */
  recordEnd(call: CallContext, state: EndpointState): void {
    const now = this.parts.clock.monotonicMilliseconds();
    if (this.parts.room.roomAt(state, call.isGeneration, now) > 0) {
      const claims = this.claimsOf(call.admitted.service);
      if (now - claims.handOversSinceMilliseconds > HAND_OVER_MILLISECONDS) {
        claims.handOvers = 0;
        claims.handOversSinceMilliseconds = now;
      }
      claims.handOvers += 1;
    }
  }

  /** Records that an endpoint did not take a request, although it was expected to have room. */
  recordRejection(service: string, state: EndpointState): void {
    const now = this.parts.clock.monotonicMilliseconds();
    this.parts.room.recordRejection(state, now);
    this.claimsOf(service).distrustedUntilMilliseconds = now + DISTRUST_MILLISECONDS;
  }

  private refresh(claims: ServiceClaims, call: CallContext, now: number): void {
    const { registry, room, random, countInstances } = this.parts;
    const { isGeneration } = call;
    let free = 0;
    let own = 0;
    let running = 0;
    let total = 0;
    let isKnown = false;
    for (const state of registry.readyEndpoints(call.admitted.service)) {
      if (ServiceRoom.takesRequests(state, now)) {
        const endpointRoom = room.roomAt(state, isGeneration, now);
        const limit = EndpointRoom.limitOf(state, isGeneration);
        isKnown = true;
        free += endpointRoom;
        own += state.running;
        running += limit - endpointRoom;
        total += limit;
      }
    }
    const equalShare = 1 / Math.max(1, countInstances());
    const share = Math.min(1, Math.max(equalShare, own / Math.max(1, running)));
    const others = Math.max(0, free - claims.handOvers);
    Object.assign(claims, {
      refreshedMilliseconds: now,
      claimable: Math.floor(others * share + random.fraction()),
      total,
      isKnown,
    });
  }

  private claimsOf(service: string): ServiceClaims {
    let claims = this.claims.get(service);
    if (claims === undefined) {
      claims = new ServiceClaims();
      this.claims.set(service, claims);
    }
    return claims;
  }

  private static takesRequests(state: EndpointState, now: number): boolean {
    return (
      state.record.stage !== EngineStage.Prefill &&
      state.availability.allowsRequest(now) &&
      !state.isEjected(now) &&
      !state.isUnresponsive(now)
    );
  }
}
