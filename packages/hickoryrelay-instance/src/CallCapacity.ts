import type { Call } from 'hickoryrelay-link/Call';

/**
 * Room for calls at the endpoints. An override derives it from what the endpoints take within
 * their targets; `admitted` is the number of calls that were admitted and have not ended, so that
 * calls on their way to an endpoint are counted.
 */
export abstract class CallCapacity {
  abstract hasRoom(call: Call, admitted: number): boolean;
}

/** Room for a fixed number of calls. For tests and comparisons. */
export class FixedCapacity extends CallCapacity {
  private readonly limit: number;

  constructor(limit: number) {
    super();
    this.limit = limit;
  }

  override hasRoom(call: Call, admitted: number): boolean {
    return admitted < this.limit;
  }
}
