import { DestinationOccupancy } from './DestinationOccupancy.js';
import { RecentUsage } from './RecentUsage.js';
import type { CallSlots } from './CallCapacity.js';

/**
 * Maximum fraction of the slots that an account at twice its equal share of recent usage leaves
 * free. Without a reservation, a flooding account takes every slot that is free while no other
 * account has queued calls, and the next calls of the others then wait until their slack is gone.
 */
const MAXIMUM_RESERVED_FRACTION = 0.5;

/** Decides which accounts must leave free slots to others. A destination is one model or route. */
export class CapacityReservation {
  private readonly recentUsage = new RecentUsage();

  private readonly occupancies = new Map<string, DestinationOccupancy>();

  /**
   * Records an arriving call. Queued calls count too: otherwise no slots would be reserved for an
   * account without recently admitted calls, and it would stay starved.
   */
  recordArrival(account: string, destination: string, nowMilliseconds: number): void {
    this.recentUsage.recordArrival(account, nowMilliseconds);
    this.occupancyOf(destination).begin(account, nowMilliseconds);
  }

  /** Records that a call was rejected, was cancelled or has ended. */
  recordDeparture(account: string, destination: string, nowMilliseconds: number): void {
    this.occupancyOf(destination).end(account, nowMilliseconds);
  }

  /** Records cost at this or another instance. A negative cost refunds an overestimate. */
  recordCost(account: string, cost: number, nowMilliseconds: number): void {
    this.recentUsage.recordCost(account, cost, nowMilliseconds);
  }

  /** Expires usage and occupancy that are no longer recent. */
  refresh(nowMilliseconds: number): void {
    this.recentUsage.refresh(nowMilliseconds);
    for (const occupancy of this.occupancies.values()) {
      occupancy.refresh(nowMilliseconds);
    }
  }

  /**
   * True if all free slots are reserved for accounts other than this one, as of the last refresh.
   */
  isReservedForOthers(account: string, destination: string, slots: CallSlots): boolean {
    const maximumReserved = MAXIMUM_RESERVED_FRACTION * slots.total;
    return (
      slots.free <= maximumReserved &&
      slots.free <= this.recentUsage.excessRatio(account) * maximumReserved &&
      slots.free <= this.occupancyOf(destination).peakOfOthers(account)
    );
  }

  private occupancyOf(destination: string): DestinationOccupancy {
    let occupancy = this.occupancies.get(destination);
    if (occupancy === undefined) {
      occupancy = new DestinationOccupancy();
      this.occupancies.set(destination, occupancy);
    }
    return occupancy;
  }
}
