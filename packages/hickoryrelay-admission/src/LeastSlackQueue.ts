import type { QueuedCall } from './DestinationQueue.js';

/** Negative if the first call is to be admitted before the second one, 0 if they are equal. */
export function compareUrgency(left: QueuedCall, right: QueuedCall): number {
  return (
    left.priority - right.priority || left.latestStartMilliseconds - right.latestStartMilliseconds
  );
}

/** Queued calls sorted by priority and latest start; ties are in insertion order. */
export class LeastSlackQueue<TEntry extends QueuedCall> {
  private readonly calls: TEntry[] = [];

  get size(): number {
    return this.calls.length;
  }

  get first(): TEntry | undefined {
    return this.calls[0];
  }

  get last(): TEntry | undefined {
    return this.calls.at(-1);
  }

  insert(entry: TEntry): void {
    const index = this.lowerBound((other) => compareUrgency(other, entry) <= 0);
    this.calls.splice(index, 0, entry);
  }

  /** Returns false if the call is not in the queue. */
  remove(entry: TEntry): boolean {
    const start = this.lowerBound((other) => compareUrgency(other, entry) < 0);
    const index = this.calls.indexOf(entry, start);
    if (index < 0) {
      return false;
    }
    this.calls.splice(index, 1);
    return true;
  }

  [Symbol.iterator](): IterableIterator<TEntry> {
    return this.calls.values();
  }

  /** Binary search for the first call that does not satisfy `isBefore`. */
  private lowerBound(isBefore: (other: TEntry) => boolean): number {
    let low = 0;
    let high = this.calls.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.calls[middle];
      if (other !== undefined && isBefore(other)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
