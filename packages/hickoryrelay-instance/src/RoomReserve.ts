import { LaneOccupancy } from './LaneOccupancy.js';
import { RecentUse } from './RecentUse.js';
import type { CallRoom } from './CallCapacity.js';

/**
 * Part of the room that an account with twice an equal part of the recent use leaves free at most.
 * Without a reserve, a flooding account takes every place that is free while no other account
 * happens to wait, and the next calls of the others wait until their slack is used up.
 */
const RESERVED_PART = 0.5;

/** Decides which accounts leave free room to others. A lane holds the calls of one model or route. */
export class RoomReserve {
  private readonly recentUse = new RecentUse();

  private readonly occupancies = new Map<string, LaneOccupancy>();

  /**
   * Records a call that arrived. It counts while it waits, because an account of which no call was
   * admitted lately would have no room reserved and stay so.
   */
  arrive(account: string, lane: string, nowMilliseconds: number): void {
    this.recentUse.arrive(account, nowMilliseconds);
    this.occupancyOf(lane).begin(account, nowMilliseconds);
  }

  /** Records that a call was refused, given up or has ended. */
  leave(account: string, lane: string, nowMilliseconds: number): void {
    this.occupancyOf(lane).end(account, nowMilliseconds);
  }

  /** Records cost at this instance or another, or gives back an over-estimate if negative. */
  charge(account: string, cost: number, nowMilliseconds: number): void {
    this.recentUse.record(account, cost, nowMilliseconds);
  }

  /** Forgets what is no longer recent. */
  refresh(nowMilliseconds: number): void {
    this.recentUse.refresh(nowMilliseconds);
    for (const occupancy of this.occupancies.values()) {
      occupancy.refresh(nowMilliseconds);
    }
  }

  /** True if what is free is reserved for accounts other than this one, as of the last refresh. */
  isReservedFrom(account: string, lane: string, room: CallRoom): boolean {
    const most = RESERVED_PART * room.total;
    return (
      room.free <= most &&
      room.free <= this.recentUse.excess(account) * most &&
      room.free <= this.occupancyOf(lane).peakOfOthers(account)
    );
  }

  private occupancyOf(lane: string): LaneOccupancy {
    let occupancy = this.occupancies.get(lane);
    if (occupancy === undefined) {
      occupancy = new LaneOccupancy();
      this.occupancies.set(lane, occupancy);
    }
    return occupancy;
  }
}
