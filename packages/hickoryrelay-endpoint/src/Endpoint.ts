import { CircuitBreaker } from './CircuitBreaker.js';
import { EndpointAvailability } from './EndpointAvailability.js';
import { InFlightLimit } from './InFlightLimit.js';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';

/** Lifecycle of an endpoint. Only a live endpoint accepts new calls. */
export const EndpointState = { Live: 'live', Leaving: 'leaving', Gone: 'gone' } as const;

export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

/** Identifies an endpoint and tells where it runs. */
export interface EndpointLocation {
  readonly identifier: string;
  readonly zone: string;
  /** Base URL. */
  readonly url: string;
}

/** Counts the calls that this instance has in flight on all endpoints together. */
export class CallCounter {
  count = 0;
}

/** A backend process that runs calls, as seen by one entry instance. */
export class Endpoint {
  readonly location: EndpointLocation;

  readonly kind: EndpointKind;

  readonly breaker = new CircuitBreaker();

  readonly limit = new InFlightLimit();

  /** What the endpoint has stated in its responses. */
  readonly availability = new EndpointAvailability();

  private currentState: EndpointState = EndpointState.Live;

  private inFlightCount = 0;

  private readonly callCounter: CallCounter;

  constructor(location: EndpointLocation, kind: EndpointKind, callCounter = new CallCounter()) {
    this.location = location;
    this.kind = kind;
    this.callCounter = callCounter;
  }

  get identifier(): string {
    return this.location.identifier;
  }

  get state(): EndpointState {
    return this.currentState;
  }

  /** Number of calls that this instance has in flight on the endpoint. */
  get callsInFlight(): number {
    return this.inFlightCount;
  }

  /** Number of further calls that this instance may send now without exceeding the latency targets. */
  get freeCapacity(): number {
    return Math.max(0, this.limit.value - this.inFlightCount);
  }

  get acceptsCalls(): boolean {
    return this.currentState === EndpointState.Live && !this.availability.isLeaving;
  }

  /** Records the state that the platform reports. Transitions back to an earlier state are ignored. */
  transitionTo(state: EndpointState): void {
    if (this.currentState === EndpointState.Gone || state === this.currentState) {
      return;
    }
    const isReactivation =
      this.currentState === EndpointState.Leaving && state === EndpointState.Live;
    if (!isReactivation) {
      this.currentState = state;
    }
  }

  /** Counts a call as in flight. Returns an idempotent function that ends it. */
  startCall(): () => void {
    this.inFlightCount += 1;
    this.callCounter.count += 1;
    let isRunning = true;
    return () => {
      if (isRunning) {
        isRunning = false;
        this.inFlightCount -= 1;
        this.callCounter.count -= 1;
      }
    };
  }
}
