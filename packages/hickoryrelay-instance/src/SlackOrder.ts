import type { WaitingCall } from './WaitingCalls.js';

/** Waiting calls in the order of their latest start; equal ones in the order of insertion. */
export class SlackOrder {
  private readonly calls: WaitingCall[] = [];

  get size(): number {
    return this.calls.length;
  }

  get first(): WaitingCall | undefined {
    return this.calls[0];
  }

  get last(): WaitingCall | undefined {
    return this.calls.at(-1);
  }

  insert(entry: WaitingCall): void {
    const index = this.position((other) => other <= entry.latestStartMilliseconds);
    this.calls.splice(index, 0, entry);
  }

  /** Returns false if the call is not in the list. */
  remove(entry: WaitingCall): boolean {
    const start = this.position((other) => other < entry.latestStartMilliseconds);
    const index = this.calls.indexOf(entry, start);
    if (index < 0) {
      return false;
    }
    this.calls.splice(index, 1);
    return true;
  }

  [Symbol.iterator](): IterableIterator<WaitingCall> {
    return this.calls.values();
  }

  /** Index of the first call whose latest start is not before the sought one. */
  private position(isBefore: (latestStartMilliseconds: number) => boolean): number {
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
