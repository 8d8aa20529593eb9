/** Closed lets all calls through, open none, and half-open a single probe at a time. */
export const BreakerState = { Closed: 'closed', Open: 'open', HalfOpen: 'half-open' } as const;

export type BreakerState = (typeof BreakerState)[keyof typeof BreakerState];

/** Consecutive failures that open the breaker. A single failure may be caused by the call itself. */
const FAILURE_THRESHOLD = 3;
const INITIAL_OPEN_MILLISECONDS = 1000;
const MAXIMUM_OPEN_MILLISECONDS = 30_000;

/**
 * Stops calls to a failing endpoint. After the open duration, which doubles with each failed probe,
 * the breaker becomes half-open and lets one call through as a probe. The outcome of the probe
 * closes the breaker or opens it again.
 */
export class CircuitBreaker {
  private consecutiveFailures = 0;

  private openedMilliseconds: number | undefined;

  private openDurationMilliseconds = INITIAL_OPEN_MILLISECONDS;

  private isProbing = false;

  stateAt(nowMilliseconds: number): BreakerState {
    if (this.openedMilliseconds === undefined) {
      return BreakerState.Closed;
    }
    const isProbeDue = nowMilliseconds - this.openedMilliseconds >= this.openDurationMilliseconds;
    return isProbeDue ? BreakerState.HalfOpen : BreakerState.Open;
  }

  /** Returns whether a call may be sent now. A half-open breaker allows one probe at a time. */
  allowsCall(nowMilliseconds: number): boolean {
    const state = this.stateAt(nowMilliseconds);
    return state === BreakerState.Closed || (state === BreakerState.HalfOpen && !this.isProbing);
  }

  /**
   * Records that a call is sent. Returns a function that records the outcome; only its first
   * invocation has an effect. An undefined outcome, as of a cancelled call, is not counted.
   */
  startCall(
    nowMilliseconds: number,
  ): (succeeded: boolean | undefined, atMilliseconds: number) => void {
    const isProbe = this.stateAt(nowMilliseconds) === BreakerState.HalfOpen && !this.isProbing;
    this.isProbing ||= isProbe;
    let isPending = true;
    return (succeeded, atMilliseconds) => {
      if (!isPending) {
        return;
      }
      isPending = false;
      if (isProbe) {
        this.isProbing = false;
      }
      if (succeeded !== undefined) {
        this.record(succeeded, isProbe, atMilliseconds);
      }
    };
  }

  private record(succeeded: boolean, isProbe: boolean, atMilliseconds: number): void {
    if (this.openedMilliseconds !== undefined) {
      // The outcome of a call sent before the breaker opened does not reflect the current state.
      if (isProbe) {
        this.recordProbe(succeeded, atMilliseconds);
      }
      return;
    }
    this.consecutiveFailures = succeeded ? 0 : this.consecutiveFailures + 1;
    if (this.consecutiveFailures >= FAILURE_THRESHOLD) {
      this.openedMilliseconds = atMilliseconds;
    }
  }

  private recordProbe(succeeded: boolean, atMilliseconds: number): void {
    if (succeeded) {
      this.openedMilliseconds = undefined;
      this.openDurationMilliseconds = INITIAL_OPEN_MILLISECONDS;
      this.consecutiveFailures = 0;
    } else {
      this.openedMilliseconds = atMilliseconds;
      this.openDurationMilliseconds = Math.min(
        MAXIMUM_OPEN_MILLISECONDS,
        this.openDurationMilliseconds * 2,
      );
    }
  }
}
