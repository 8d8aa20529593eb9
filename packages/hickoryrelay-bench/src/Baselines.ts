import { AdmissionPolicy } from 'hickoryrelay-instance/AdmissionPolicy';
import { canAcceptCall, SelectionPolicy } from 'hickoryrelay-zone/SelectionPolicy';

import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { AdmissionTicket } from 'hickoryrelay-instance/AdmissionPolicy';
import type { Call } from 'hickoryrelay-link/Call';
import type { Fleet } from 'hickoryrelay-zone/Fleet';

/** All endpoints in turn. */
export class RoundRobinSelection extends SelectionPolicy {
  private next: number;

  constructor(start: number) {
    super();
    this.next = start;
  }

  override *candidates(call: Call, fleet: Fleet): Generator<Endpoint, void, void> {
    const able = [...fleet.endpoints()].filter((endpoint) => canAcceptCall(endpoint, call));
    this.next += 1;
    const start = able.length === 0 ? 0 : this.next % able.length;
    yield* able.slice(start);
    yield* able.slice(0, start);
  }
}

/** All endpoints by fewest calls in flight; ties in turn, so that no endpoint is preferred. */
export class LeastOfAllSelection extends SelectionPolicy {
  private readonly turns: RoundRobinSelection;

  constructor(start: number) {
    super();
    this.turns = new RoundRobinSelection(start);
  }

  override *candidates(call: Call, fleet: Fleet): Generator<Endpoint, void, void> {
    yield* [...this.turns.candidates(call, fleet)].sort(
      (left, right) => left.callsInFlight - right.callsInFlight,
    );
  }
}

/** Calls run in order of arrival, a fixed number at a time. */
export class FirstComeAdmission extends AdmissionPolicy {
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
