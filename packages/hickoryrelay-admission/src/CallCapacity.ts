/** Slots that are free now, and the total number of slots. A slot runs one call at a time. */
export interface CallSlots {
  readonly free: number;
  readonly total: number;
}

/**
 * Concurrent calls that the endpoints can run within their targets. `admitted` is the number of
 * admitted calls that have not ended; an override uses it to count calls that have not reached an
 * endpoint yet.
 */
export abstract class CallCapacity<TCall> {
  abstract slotsFor(call: TCall, admitted: number): CallSlots;

  /** Called for each call that starts from the queue. Overridden where slots are handed out. */
  recordStart(_call: TCall): void {}
}

/** A fixed number of slots, for tests and benchmarks. */
export class FixedCapacity extends CallCapacity<unknown> {
  private readonly limit: number;

  constructor(limit: number) {
    super();
    this.limit = limit;
  }

  override slotsFor(_call: unknown, admitted: number): CallSlots {
    return { free: this.limit - admitted, total: this.limit };
  }
}
