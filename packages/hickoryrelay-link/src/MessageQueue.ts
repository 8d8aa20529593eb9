import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { Clock } from 'hickoryrelay/Clock';

/** Reason why a wait ended without an item. */
export const QueueOutcome = { TimedOut: 'timed-out', Closed: 'closed' } as const;

export type QueueOutcome = (typeof QueueOutcome)[keyof typeof QueueOutcome];

/** A bounded queue with a producer that never blocks and a single consumer that waits. */
export class MessageQueue<Item extends object> {
  private readonly limit: number;

  private readonly items: Item[] = [];

  private wakeConsumer: (() => void) | undefined;

  private isClosed = false;

  constructor(limit: number) {
    this.limit = limit;
  }

  /** Adds an item. Returns false if the queue is full or closed. */
  push(item: Item): boolean {
    if (this.isClosed || this.items.length >= this.limit) {
      return false;
    }
    this.items.push(item);
    this.wakeConsumer?.();
    return true;
  }

  /** Closes the queue. Items already in the queue can still be taken. */
  close(): void {
    this.isClosed = true;
    this.wakeConsumer?.();
  }

  /** Takes the next item, waiting up to the given time. Rejects with `cancelled` on abort. */
  async next(
    clock: Clock,
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<Item | QueueOutcome> {
    if (this.items.length === 0 && !this.isClosed) {
      await this.waitForChange(clock, milliseconds, signal);
    }
    if (signal.aborted) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the wait was aborted' });
    }
    return this.items.shift() ?? (this.isClosed ? QueueOutcome.Closed : QueueOutcome.TimedOut);
  }

  private waitForChange(clock: Clock, milliseconds: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const finish = () => {
        cancelTimer();
        signal.removeEventListener('abort', finish);
        this.wakeConsumer = undefined;
        resolve();
      };
      this.wakeConsumer = finish;
      signal.addEventListener('abort', finish, { once: true });
      if (Number.isFinite(milliseconds)) {
        cancelTimer = clock.schedule(milliseconds, finish);
      }
      if (signal.aborted) {
        finish();
      }
    });
  }
}
