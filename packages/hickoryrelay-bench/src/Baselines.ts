import { AdmissionPolicy } from 'hickoryrelay-admission/AdmissionPolicy';
import { canAcceptCall, SelectionPolicy } from 'hickoryrelay-zone/SelectionPolicy';

import type { AdmissionTicket } from 'hickoryrelay-admission/AdmissionPolicy';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';
import type { Fleet } from 'hickoryrelay-zone/Fleet';

/** Round robin over all eligible endpoints. */
export class RoundRobinSelection extends SelectionPolicy {
  private next: number;

  constructor(start: number) {
    super();
    this.next = start;
  }

  override *candidates(call: Call, fleet: Fleet): Generator<Endpoint, void, void> {
    const eligible = [...fleet.endpoints()].filter((endpoint) => canAcceptCall(endpoint, call));
    this.next += 1;
    const start = eligible.length === 0 ? 0 : this.next % eligible.length;
    yield* eligible.slice(start);
    yield* eligible.slice(0, start);
  }
}

/** Prefers endpoints with the fewest calls in flight and breaks ties by round robin. */
export class LeastOutstandingSelection extends SelectionPolicy {
  private readonly roundRobin: RoundRobinSelection;

  constructor(start: number) {
    super();
    this.roundRobin = new RoundRobinSelection(start);
  }

  override *candidates(call: Call, fleet: Fleet): Generator<Endpoint, void, void> {
    yield* [...this.roundRobin.candidates(call, fleet)].sort(
      (left, right) => left.callsInFlight - right.callsInFlight,
    );
  }
}

/** Admits calls in order of arrival up to a fixed concurrency limit. */
export class FirstComeFirstServedAdmission extends AdmissionPolicy<unknown> {
  private readonly limit: number;

  private running = 0;

  private readonly waiting: (() => void)[] = [];

  constructor(limit: number) {
    super();
    this.limit = limit;
  }

  override async admit(): Promise<AdmissionTicket> {
    if (this.running >= this.limit) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    } else {
      this.running += 1;
    }
    return {
      recordFirstChunk: () => {},
      settle: () => {},
      release: () => {
        const next = this.waiting.shift();
        if (next === undefined) {
          this.running -= 1;
        } else {
          next();
        }
      },
    };
  }
}
