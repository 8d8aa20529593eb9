import type { QueuedCall } from './DestinationQueue.js';

/** Queued calls sorted by latest start; ties are in insertion order. */
export class LeastSlackQueue {
  private readonly calls: QueuedCall[] = [];

  get size(): number {
    return this.calls.length;
  }

  get first(): QueuedCall | undefined {
    return this.calls[0];
  }

  get last(): QueuedCall | undefined {
    return this.calls.at(-1);
  }

  insert(entry: QueuedCall): void {
    const index = this.lowerBound((other) => other <= entry.latestStartMilliseconds);
    this.calls.splice(index, 0, entry);
  }

  /** Returns false if the call is not in the queue. */
  remove(entry: QueuedCall): boolean {
    const start = this.lowerBound((other) => other < entry.latestStartMilliseconds);
    const index = this.calls.indexOf(entry, start);
    if (index < 0) {
      return false;
    }
    this.calls.splice(index, 1);
    return true;
  }

  [Symbol.iterator](): IterableIterator<QueuedCall> {
    return this.calls.values();
  }

  /** Binary search for the first call whose latest start does not satisfy `isBefore`. */
  private lowerBound(isBefore: (latestStartMilliseconds: number) => boolean): number {
    let low = 0;
    let high = this.calls.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.calls[middle];
      if (other !== undefined && isBefore(other.latestStartMilliseconds)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
