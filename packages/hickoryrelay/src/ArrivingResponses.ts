/** Responses of one group that may be arriving at once before further requests of it wait. */
const MAXIMUM_ARRIVING_RESPONSES = 32;

/**
 * Counts the short responses that have arrived in part, for each group of requests. While a group has many, the
 * process completes them before it begins further requests of the group, whose responses would arrive behind them.
 */
export class ArrivingResponses {
  private readonly counts = new Map<string, number>();

  private notify: (group: string) => void = () => {};

  /** Sets the action for a group that has room again. */
  onRoom(notify: (group: string) => void): void {
    this.notify = notify;
  }

  /** True if a further request of the group may begin. */
  hasRoom(group: string): boolean {
    return this.countOf(group) < MAXIMUM_ARRIVING_RESPONSES;
  }

  /** Records that a response of the group arrives. */
  add(group: string): void {
    this.counts.set(group, this.countOf(group) + 1);
  }

  /** Records that a response of the group does not arrive any more, or waits for others than this process. */
  remove(group: string): void {
    const count = this.countOf(group) - 1;
    if (count > 0) {
      this.counts.set(group, count);
    } else {
      this.counts.delete(group);
    }
    if (count === MAXIMUM_ARRIVING_RESPONSES - 1) {
      this.notify(group);
    }
  }

  private countOf(group: string): number {
    return this.counts.get(group) ?? 0;
  }
}
