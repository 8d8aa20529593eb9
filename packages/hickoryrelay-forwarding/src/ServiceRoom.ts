import { CallCapacity } from 'hickoryrelay-admission/CallCapacity';

import { EngineStage } from './EndpointRecord.js';
import { limitOf, roomAt } from './EndpointRoom.js';

import type { CallContext } from './CallContext.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { CallSlots } from 'hickoryrelay-admission/CallCapacity';

/** Room that was reported is claimed anew after this time, about a fraction of the report period. */
export const CLAIM_MILLISECONDS = 25;

/**
 * A slot that a request of this instance has left is offered for this long. Under shortage, requests
 * of other instances, which are sent without knowing of it, fill it within a few milliseconds.
 */
const OFFER_MILLISECONDS = 5;

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

/** A slot that a request of this instance has left. */
interface OfferedSlot {
  readonly state: EndpointState;
  readonly leftMilliseconds: number;
  /** Requests of this instance at the endpoint after that. With more, one of them has the slot. */
  readonly running: number;
}

/** What this instance may use of the room at the endpoints of one service. */
class ServiceClaims {
  refreshedMilliseconds = Number.NEGATIVE_INFINITY;

  /** Part of the free room that this instance may use until the next refresh. */
  claimable = 0;

  /** The slots that requests of this instance have left, the last one at the end. */
  offers: OfferedSlot[] = [];

  total = 0;

  isKnown = false;
}

/** Collaborators of the room of services. */
export interface ServiceRoomParts {
  readonly registry: EndpointRegistry;
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
    const { isGeneration, acceptingEndpoints } = call;
    const now = this.parts.clock.monotonicMilliseconds();
    let kind: RoomKind = RoomKind.NoEndpoint;
    for (const state of acceptingEndpoints) {
      if (!call.tried.has(state) && ServiceRoom.takesRequests(state, now)) {
        if (roomAt(state, isGeneration) > 0) {
          return RoomKind.Free;
        }
        kind = RoomKind.Full;
      }
    }
    return kind;
  }

  override slotsFor(call: CallContext): CallSlots {
    const claims = this.claimsOf(call.admitted.service);
    const now = this.parts.clock.monotonicMilliseconds();
    claims.offers = claims.offers.filter(
      ({ state, running, leftMilliseconds }) =>
        state.running <= running && now - leftMilliseconds <= OFFER_MILLISECONDS,
    );
    if (now - claims.refreshedMilliseconds >= CLAIM_MILLISECONDS) {
      this.refresh(claims, call, now);
    }
    // Without an endpoint, the request is admitted and refused as one that cannot be sent.
    return claims.isKnown
      ? { free: claims.offers.length + claims.claimable, total: claims.total }
      : { free: Number.POSITIVE_INFINITY, total: 0 };
  }

  override recordStart(call: CallContext): void {
    const claims = this.claimsOf(call.admitted.service);
    const offer = claims.offers.pop();
    if (offer === undefined) {
      claims.claimable = Math.max(0, claims.claimable - 1);
    } else {
      call.offer(offer.state);
    }
  }

  /** Records that a request of this instance has ended at an endpoint, which leaves a slot. */
  recordEnd(call: CallContext, state: EndpointState): void {
    const leftMilliseconds = this.parts.clock.monotonicMilliseconds();
    this.claimsOf(call.admitted.service).offers.push({
      state,
      leftMilliseconds,
      running: state.running,
    });
  }

  private refresh(claims: ServiceClaims, call: CallContext, now: number): void {
    const { registry, random, countInstances } = this.parts;
    const { isGeneration } = call;
    let free = 0;
    let own = 0;
    let total = 0;
    let isKnown = false;
    for (const state of registry.readyEndpoints(call.admitted.service)) {
      if (ServiceRoom.takesRequests(state, now)) {
        isKnown = true;
        free += roomAt(state, isGeneration);
        own += state.running;
        total += limitOf(state, isGeneration);
      }
    }
    const equalShare = 1 / Math.max(1, countInstances());
    const share = Math.min(1, Math.max(equalShare, own / Math.max(1, total - free)));
    const others = Math.max(0, free - claims.offers.length);
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
