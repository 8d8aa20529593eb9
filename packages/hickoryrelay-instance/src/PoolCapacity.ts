import { CallCapacity } from 'hickoryrelay-admission/CallCapacity';
import { excludeEjected } from 'hickoryrelay-zone/OutlierEjection';
import { canAcceptCall } from 'hickoryrelay-zone/SelectionPolicy';

import type { Clock } from 'hickoryrelay/Clock';
import type { CallSlots } from 'hickoryrelay-admission/CallCapacity';
import type { Call } from 'hickoryrelay-link/Call';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';
import type { Fleet } from 'hickoryrelay-zone/Fleet';

/** Slots at the endpoints that this instance uses, from their learned concurrency limits. */
export class PoolCapacity extends CallCapacity<Call> {
  private readonly pool: EndpointPool;

  private readonly fleet: Fleet;

  private readonly clock: Clock;

  constructor(pool: EndpointPool, fleet: Fleet, clock: Clock) {
    super();
    this.pool = pool;
    this.fleet = fleet;
    this.clock = clock;
  }

  override slotsFor(call: Call, admitted: number): CallSlots {
    const now = this.clock.monotonicMilliseconds();
    const members = this.pool
      .membersFor(call)
      .filter(
        (endpoint) => canAcceptCall(endpoint, call) && endpoint.availability.allowsRequest(now),
      );
    if (members.length === 0) {
      // The call is admitted and fails with `no-endpoint`, instead of waiting for an endpoint that
      // may never appear.
      return { free: Number.POSITIVE_INFINITY, total: 0 };
    }
    let free = 0;
    let running = 0;
    for (const endpoint of excludeEjected(members, now)) {
      free += endpoint.freeCapacity;
      running += endpoint.callsInFlight;
    }
    const notYetSent = Math.max(0, admitted - this.fleet.callsInFlight);
    return { free: free - notYetSent, total: free + running };
  }
}
