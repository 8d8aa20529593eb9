/** Whether calls may be sent: freely, not at all, or one to try. */
export const BreakerState = { Closed: 'closed', Open: 'open', HalfOpen: 'half-open' } as const;

export type BreakerState = (typeof BreakerState)[keyof typeof BreakerState];

/** A single failure can be the call's own fault; three in a row are the endpoint's. */
const FAILURES_TO_OPEN = 3;
const FIRST_OPEN_MILLISECONDS = 1000;
const LONGEST_OPEN_MILLISECONDS = 30_000;

/**
 * Stops sending to an endpoint that fails. After a time, which doubles with each failed probe, one
 * call is let through; its outcome closes the breaker or opens it again.
 */
export class CircuitBreaker {
  private failures = 0;

  private openedMilliseconds: number | undefined;

  private openForMilliseconds = FIRST_OPEN_MILLISECONDS;

  private isProbing = false;

  stateAt(nowMilliseconds: number): BreakerState {
    if (this.openedMilliseconds === undefined) {
      return BreakerState.Closed;
    }
    const isDue = nowMilliseconds - this.openedMilliseconds >= this.openForMilliseconds;
    return isDue ? BreakerState.HalfOpen : BreakerState.Open;
  }

  /** True if a call may be sent now. Half-open, that is so while no probe is under way. */
  allows(nowMilliseconds: number): boolean {
    const state = this.stateAt(nowMilliseconds);
    return state === BreakerState.Closed || (state === BreakerState.HalfOpen && !this.isProbing);
  }

  /** Records that a call is sent. Returns the function that records its outcome, once. */
  begin(nowMilliseconds: number): (succeeded: boolean | undefined, atMilliseconds: number) => void {
    const isProbe = this.stateAt(nowMilliseconds) === BreakerState.HalfOpen && !this.isProbing;
    this.isProbing ||= isProbe;
    let isOpen = true;
    return (succeeded, atMilliseconds) => {
      if (!isOpen) {
        return;
      }
      isOpen = false;
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
      // Calls from before the breaker opened say nothing about the endpoint's state now.
      if (isProbe) {
        this.settleProbe(succeeded, atMilliseconds);
      }
      return;
    }
    this.failures = succeeded ? 0 : this.failures + 1;
    if (this.failures >= FAILURES_TO_OPEN) {
      this.openedMilliseconds = atMilliseconds;
    }
  }

  private settleProbe(succeeded: boolean, atMilliseconds: number): void {
    if (succeeded) {
      this.openedMilliseconds = undefined;
      this.openForMilliseconds = FIRST_OPEN_MILLISECONDS;
      this.failures = 0;
    } else {
      this.openedMilliseconds = atMilliseconds;
      this.openForMilliseconds = Math.min(LONGEST_OPEN_MILLISECONDS, this.openForMilliseconds * 2);
    }
  }
}
