import type { Call } from 'hickoryrelay-link/Call';

/** Calls that may start now, and calls that may run at a time. */
export interface CallRoom {
  readonly free: number;
  readonly total: number;
}

/**
 * Room for calls at the endpoints. An override derives it from what the endpoints take within
 * their targets; `admitted` is the number of calls that were admitted and have not ended, so that
 * calls on their way to an endpoint are counted.
 */
export abstract class CallCapacity {
  abstract room(call: Call, admitted: number): CallRoom;
}

/** Room for a fixed number of calls. For tests and comparisons. */
export class FixedCapacity extends CallCapacity {
  private readonly limit: number;

  constructor(limit: number) {
    super();
    this.limit = limit;
  }

  override room(call: Call, admitted: number): CallRoom {
    return { free: this.limit - admitted, total: this.limit };
  }
}
