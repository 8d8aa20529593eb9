import { excludeEjected } from 'hickoryrelay-zone/OutlierEjection';
import { canAcceptCall } from 'hickoryrelay-zone/SelectionPolicy';

import { CallCapacity } from './CallCapacity.js';
import type { CallRoom } from './CallCapacity.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Call } from 'hickoryrelay-link/Call';
import type { EndpointPool } from 'hickoryrelay-zone/EndpointPool';
import type { Fleet } from 'hickoryrelay-zone/Fleet';

/** Room at the endpoints that this instance uses, by their learned limits. */
export class PoolCapacity extends CallCapacity {
  private readonly pool: EndpointPool;

  private readonly fleet: Fleet;

  private readonly clock: Clock;

  constructor(pool: EndpointPool, fleet: Fleet, clock: Clock) {
    super();
    this.pool = pool;
    this.fleet = fleet;
    this.clock = clock;
  }

  override room(call: Call, admitted: number): CallRoom {
    const members = this.pool.membersFor(call).filter((endpoint) => canAcceptCall(endpoint, call));
    if (members.length === 0) {
      // The call is admitted and fails with `no-endpoint`, rather than waiting for what may not come.
      return { free: Number.POSITIVE_INFINITY, total: 0 };
    }
    let free = 0;
    let running = 0;
    for (const endpoint of excludeEjected(members, this.clock.monotonicMilliseconds())) {
      free += endpoint.freeCapacity;
      running += endpoint.callsInFlight;
    }
    const onTheWay = Math.max(0, admitted - this.fleet.callsInFlight);
    return { free: free - onTheWay, total: free + running };
  }
}
