import { CircuitBreaker } from './CircuitBreaker.js';
import { InFlightLimit } from './InFlightLimit.js';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';

/** Whether an endpoint takes new work. */
export const EndpointState = { Live: 'live', Leaving: 'leaving', Gone: 'gone' } as const;

export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

/** What names an endpoint and where it is. */
export interface EndpointPlace {
  readonly identifier: string;
  readonly zone: string;
  /** Base URL. */
  readonly url: string;
}

/** Counts the calls of this instance that run on any endpoint. */
export class CallTally {
  count = 0;
}

/** A process that runs calls, as one entry instance sees it. */
export class Endpoint {
  readonly place: EndpointPlace;

  readonly kind: EndpointKind;

  readonly breaker = new CircuitBreaker();

  readonly limit = new InFlightLimit();

  private currentState: EndpointState = EndpointState.Live;

  private inFlight = 0;

  private readonly tally: CallTally;

  constructor(place: EndpointPlace, kind: EndpointKind, tally = new CallTally()) {
    this.place = place;
    this.kind = kind;
    this.tally = tally;
  }

  get identifier(): string {
    return this.place.identifier;
  }

  get state(): EndpointState {
    return this.currentState;
  }

  /** Calls of this instance that run on the endpoint now. */
  get callsInFlight(): number {
    return this.inFlight;
  }

  /** Calls that the endpoint can take now and keep its targets. */
  get room(): number {
    return Math.max(0, this.limit.value - this.inFlight);
  }

  /** True if new work may be sent. */
  get takesWork(): boolean {
    return this.currentState === EndpointState.Live;
  }

  /** Records the state that the platform reports. A state never goes back. */
  moveTo(state: EndpointState): void {
    if (this.currentState === EndpointState.Gone || state === this.currentState) {
      return;
    }
    const returns = this.currentState === EndpointState.Leaving && state === EndpointState.Live;
    if (!returns) {
      this.currentState = state;
    }
  }

  /** Counts a call as running. Returns the function that counts it as ended. */
  beginCall(): () => void {
    this.inFlight += 1;
    this.tally.count += 1;
    let isOpen = true;
    return () => {
      if (isOpen) {
        isOpen = false;
        this.inFlight -= 1;
        this.tally.count -= 1;
      }
    };
  }
}
